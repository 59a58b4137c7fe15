//! What is known of each zone.

use crate::{ServiceCapacity, ZoneSummary};
use sloetrail_types::{NodeId, Revision, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The newest news of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneNews {
    /// The node that made the summary.
    pub node: NodeId,
    /// The highest revision that the zone was heard to hold.
    pub revision: Revision,
    /// When the summary was made, on this node's clock.
    pub made_at: Timestamp,
    /// Engines that may take work there, by service.
    pub capacity: Vec<ServiceCapacity>,
}

/// The newest news of every other zone.
#[derive(Debug, Default)]
pub struct ZoneTable {
    zones: BTreeMap<ZoneName, ZoneNews>,
}

impl ZoneTable {
    /// Takes in a summary; true if it is newer than what was known.
    pub fn observe(&mut self, now: Timestamp, summary: &ZoneSummary) -> bool {
        let made_at = Timestamp(now.0.saturating_sub(summary.age_ms));
        let known = self.zones.get(&summary.zone);
        if known.is_some_and(|news| news.made_at >= made_at) {
            return false;
        }
        let revision = known.map_or(Revision(0), |news| news.revision);
        let news = ZoneNews {
            node: summary.node.clone(),
            revision: revision.max(summary.revision),
            made_at,
            capacity: summary.capacity.clone(),
        };
        self.zones.insert(summary.zone.clone(), news);
        true
    }

    /// The news by zone.
    pub fn news(&self) -> &BTreeMap<ZoneName, ZoneNews> {
        &self.zones
    }

    /// The summaries as this node passes them on.
    pub fn summaries(&self, now: Timestamp) -> Vec<ZoneSummary> {
        let summary = |(zone, news): (&ZoneName, &ZoneNews)| ZoneSummary {
            zone: zone.clone(),
            node: news.node.clone(),
            revision: news.revision,
            capacity: news.capacity.clone(),
            age_ms: now.since(news.made_at).as_millis() as u64,
        };
        self.zones.iter().map(summary).collect()
    }

    /// Zones heard from within `age`.
    pub fn heard_within(&self, now: Timestamp, age: Duration) -> usize {
        self.zones
            .values()
            .filter(|news| now.since(news.made_at) <= age)
            .count()
    }
}
