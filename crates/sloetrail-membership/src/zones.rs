//! What is known of each zone.

use crate::{NameDigest, ServiceCapacity, ZoneSummary};
use sloetrail_types::{Revision, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The newest news of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneNews {
    /// The highest revision that a node of the zone was heard to hold.
    pub revision: Revision,
    /// The highest revision that all of its members were heard to hold.
    pub held_by_all: Revision,
    /// When the summary was made, on this node's clock.
    pub made_at: Timestamp,
    /// Engines that may take work there, by service.
    pub capacity: Vec<ServiceCapacity>,
}

/// The newest news of every other zone.
#[derive(Debug, Default)]
pub struct ZoneTable {
    zones: BTreeMap<NameDigest, ZoneNews>,
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
        let held_by_all = known.map_or(Revision(0), |news| news.held_by_all);
        let news = ZoneNews {
            revision: revision.max(summary.revision),
            held_by_all: held_by_all.max(summary.held_by_all),
            made_at,
            capacity: summary.capacity.clone(),
        };
        self.zones.insert(summary.zone, news);
        true
    }

    /// The news of a zone.
    pub fn news_of(&self, zone: &ZoneName) -> Option<&ZoneNews> {
        self.zones.get(&NameDigest::of(zone.as_str()))
    }

    /// The highest revision that any zone was heard to hold.
    pub fn highest_revision(&self) -> Revision {
        let revisions = self.zones.values().map(|news| news.revision);
        revisions.max().unwrap_or_default()
    }

    /// The summaries as this node passes them on.
    pub fn summaries(&self, now: Timestamp) -> Vec<ZoneSummary> {
        let summary = |(zone, news): (&NameDigest, &ZoneNews)| ZoneSummary {
            zone: *zone,
            revision: news.revision,
            held_by_all: news.held_by_all,
            age_ms: now.since(news.made_at).as_millis() as u64,
            capacity: news.capacity.clone(),
        };
        self.zones.iter().map(summary).collect()
    }

    /// The configured zones that were heard from within `age`.
    pub fn heard_within(
        &self,
        now: Timestamp,
        age: Duration,
        configured: &BTreeSet<ZoneName>,
    ) -> usize {
        let times = self.heard_at(configured);
        times.filter(|made_at| now.since(*made_at) <= age).count()
    }

    /// When each configured zone was last heard from.
    pub fn heard_at<'a>(
        &'a self,
        configured: &'a BTreeSet<ZoneName>,
    ) -> impl Iterator<Item = Timestamp> + 'a {
        let news = configured.iter().filter_map(|zone| self.news_of(zone));
        news.map(|news| news.made_at)
    }
}
