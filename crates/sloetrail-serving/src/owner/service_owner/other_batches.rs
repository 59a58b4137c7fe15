//! Batches of the service that other owners run, as far as their headers tell.
//!
//! The owner that is in charge of the engines keeps them up to date for these batches too,
//! without reading what they hold.

use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::WeightVersion;
use std::collections::BTreeMap;

/// Batches of the service that other owners run and that were not ended.
#[derive(Default)]
pub(super) struct OtherBatches {
    headers: BTreeMap<BatchId, BatchHeader>,
}

impl OtherBatches {
    /// Takes a batch in.
    pub(super) fn insert(&mut self, id: BatchId, header: BatchHeader) {
        self.headers.insert(id, header);
    }

    /// Forgets the batches for which this is not true.
    pub(super) fn retain(&mut self, is_open: impl Fn(&BatchId) -> bool) {
        self.headers.retain(|id, _| is_open(id));
    }

    /// The items of a model that may be running or waiting now. What is listed is not
    /// known: a batch counts whole for as long as it may take.
    pub(super) fn items(&self, model: &str, now_ms: u64) -> usize {
        let open = self.of_model(model);
        open.filter(|header| may_be_active(header, now_ms))
            .map(|header| header.total)
            .sum()
    }

    /// True if items of some of them for which this is true may be running or waiting now.
    pub(super) fn any_active(&self, now_ms: u64, matches: impl Fn(&BatchHeader) -> bool) -> bool {
        let mut headers = self.headers.values();
        headers.any(|header| may_be_active(header, now_ms) && matches(header))
    }

    /// The newest of the versions from which on the batches of a model take samples.
    pub(super) fn demanded_version(&self, model: &str) -> Option<WeightVersion> {
        let open = self.of_model(model);
        open.map(|header| header.oldest_version).max()
    }

    fn of_model(&self, model: &str) -> impl Iterator<Item = &BatchHeader> {
        let headers = self.headers.values();
        headers.filter(move |header| header.model.as_deref() == Some(model))
    }
}

fn may_be_active(header: &BatchHeader, now_ms: u64) -> bool {
    now_ms < header.accepted_at_ms + active_for_ms(header)
}

/// How long after its acceptance a batch may be at work.
fn active_for_ms(header: &BatchHeader) -> u64 {
    match header.run_target_ms {
        0 => header.retention_ms,
        target => target,
    }
}

#[cfg(test)]
mod tests;
