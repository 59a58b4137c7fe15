//! Predicted sample lengths from the lengths of a group's earlier samples.

use std::collections::{BTreeMap, VecDeque};

const GROUP_LIMIT: usize = 4_096;
const SMOOTHING: f64 = 0.5;

/// A bounded memory of group lengths, in tokens.
#[derive(Debug, Default)]
pub struct LengthHistory {
    groups: BTreeMap<String, f64>,
    order: VecDeque<String>,
    overall: f64,
}

impl LengthHistory {
    /// Takes in the length of a finished sample.
    pub fn record(&mut self, group: Option<&str>, token_count: u32) {
        let length = f64::from(token_count);
        self.overall = match self.overall > 0.0 {
            true => self.overall * 0.99 + length * 0.01,
            false => length,
        };
        let Some(group) = group else { return };
        if let Some(known) = self.groups.get_mut(group) {
            *known = *known * (1.0 - SMOOTHING) + length * SMOOTHING;
            return;
        }
        self.groups.insert(group.to_owned(), length);
        self.order.push_back(group.to_owned());
        if self.order.len() > GROUP_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.groups.remove(&oldest);
        }
    }

    /// The predicted length: the group's, or the overall mean where the group is new.
    pub fn predict(&self, group: Option<&str>) -> u32 {
        let known = group.and_then(|group| self.groups.get(group));
        known.copied().unwrap_or(self.overall).round() as u32
    }
}
