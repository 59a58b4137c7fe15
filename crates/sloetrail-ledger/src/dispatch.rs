//! The order in which queued samples go to engines.

use sloetrail_types::{SampleId, StepNumber};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Earlier steps first; within a step the longest predicted first, so that the
/// long ones do not end last.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    ordered: BTreeSet<(StepNumber, Reverse<u32>, SampleId)>,
    places: BTreeMap<SampleId, (StepNumber, u32)>,
}

impl DispatchQueue {
    /// Adds a sample with its predicted length in tokens.
    pub fn insert(&mut self, step: StepNumber, predicted: u32, id: SampleId) {
        self.remove(&id);
        self.places.insert(id.clone(), (step, predicted));
        self.ordered.insert((step, Reverse(predicted), id));
    }

    /// Takes the sample that goes first, if its step is not after `latest`.
    pub fn pop_through(&mut self, latest: StepNumber) -> Option<SampleId> {
        let (step, _, _) = self.ordered.first()?;
        if *step > latest {
            return None;
        }
        let (_, _, id) = self.ordered.pop_first()?;
        self.places.remove(&id);
        Some(id)
    }

    /// Removes a sample if it is queued.
    pub fn remove(&mut self, id: &SampleId) {
        if let Some((step, predicted)) = self.places.remove(id) {
            self.ordered.remove(&(step, Reverse(predicted), id.clone()));
        }
    }

    /// How many samples are queued.
    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    /// True if none is queued.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }
}
