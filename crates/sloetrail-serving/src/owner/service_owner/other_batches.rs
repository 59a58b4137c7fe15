//! Headers of open batches that other owners of the service run.
//!
//! The owner that orders weight versions and engines takes these batches into account without
//! reading their items.

use crate::owner::bound_demand::BoundDemand;
use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::{AllowedRegions, Timestamp, WeightVersion};
use std::collections::BTreeMap;

#[derive(Default)]
pub(super) struct OtherBatches {
    headers: BTreeMap<BatchId, BatchHeader>,
}

impl OtherBatches {
    pub(super) fn insert(&mut self, id: BatchId, header: BatchHeader) {
        self.headers.insert(id, header);
    }

    pub(super) fn retain(&mut self, is_open: impl Fn(&BatchId) -> bool) {
        self.headers.retain(|id, _| is_open(id));
    }

    pub(super) fn headers(&self) -> impl Iterator<Item = &BatchHeader> {
        self.headers.values()
    }

    /// Upper bound of a model's items that may be running or waiting. Results are not read, so
    /// all items of a batch count for as long as it may be active.
    pub(super) fn items(&self, model: &str, now_ms: u64) -> usize {
        let open = self.of_model(model);
        open.filter(|header| may_be_active(header, now_ms))
            .map(|header| header.total)
            .sum()
    }

    /// True if any batch that matches may have running or waiting items.
    pub(super) fn any_active(&self, now_ms: u64, matches: impl Fn(&BatchHeader) -> bool) -> bool {
        let mut headers = self.headers.values();
        headers.any(|header| may_be_active(header, now_ms) && matches(header))
    }

    /// The newest among the oldest versions that the batches of a model accept.
    pub(super) fn demanded_version(&self, model: &str) -> Option<WeightVersion> {
        let open = self.of_model(model);
        open.map(|header| header.oldest_version).max()
    }

    /// The models that open batches need in restricted regions.
    pub(super) fn bound_demands(&self) -> Vec<BoundDemand> {
        let mut oldest_versions: BTreeMap<(&str, &AllowedRegions), WeightVersion> = BTreeMap::new();
        for header in self.headers.values() {
            let Some(model) = &header.model else {
                continue;
            };
            let key = (model.as_str(), &header.allowed_regions);
            let oldest_version = oldest_versions.entry(key).or_default();
            *oldest_version = header.oldest_version.max(*oldest_version);
        }
        let demands = oldest_versions.into_iter();
        demands
            .map(|((model, regions), oldest_version)| BoundDemand {
                model: model.to_owned(),
                regions: regions.clone(),
                oldest_version,
            })
            .collect()
    }

    fn of_model(&self, model: &str) -> impl Iterator<Item = &BatchHeader> {
        let headers = self.headers.values();
        headers.filter(move |header| header.model.as_deref() == Some(model))
    }
}

/// True if the batch may have running or waiting items.
fn may_be_active(header: &BatchHeader, now_ms: u64) -> bool {
    let active_until = match header.run_target.is_zero() {
        true => header.expires_at(),
        false => header.due_at(),
    };
    Timestamp(now_ms) < active_until
}

#[cfg(test)]
mod tests;
