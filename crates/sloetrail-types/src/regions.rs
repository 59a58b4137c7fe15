//! Zones, regions, and restrictions of work to regions.

use crate::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

/// The distance from a node. Nearer compares as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The node's own zone.
    SameZone,
    /// Another zone of the node's region.
    SameRegion,
    Elsewhere,
}

/// The zones of a deployment and their regions, as seen from one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// Creates the topology as seen from a node in `zone`, with the region of each zone. If
    /// `regions` is empty, all zones count as one region.
    pub fn new(zone: ZoneName, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { zone, regions }
    }

    /// Creates a topology without regions.
    pub fn of_zone(zone: ZoneName) -> Self {
        Self::new(zone, BTreeMap::new())
    }

    /// Returns false if no regions are configured and all zones count as one.
    pub fn has_regions(&self) -> bool {
        !self.regions.is_empty()
    }

    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the region of a zone, or None if it is unknown.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Returns the node's own region, or None if it is unknown.
    pub fn own_region(&self) -> Option<&RegionName> {
        self.region_of(&self.zone)
    }

    /// Returns the distance of a zone from the node.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        self.distance_to(zone, self.region_of(zone))
    }

    /// Returns the distance from the node to a process that reports its zone and region.
    pub fn distance_to(&self, zone: &ZoneName, region: Option<&RegionName>) -> Distance {
        if *zone == self.zone {
            Distance::SameZone
        } else if !self.has_regions() || self.is_own_region(region) {
            Distance::SameRegion
        } else {
            Distance::Elsewhere
        }
    }

    /// Returns true if the zone's region is allowed.
    pub fn allows(&self, allowed: &AllowedRegions, zone: &ZoneName) -> bool {
        allowed.allows(self.region_of(zone))
    }

    fn is_own_region(&self, region: Option<&RegionName>) -> bool {
        region.is_some() && region == self.own_region()
    }
}

/// The regions in which work may run.
///
/// Invariant: a restriction is never widened. [`AllowedRegions::and`] returns the
/// intersection of two restrictions.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<BTreeSet<RegionName>>);

impl AllowedRegions {
    /// Allows all regions.
    pub fn everywhere() -> Self {
        Self(None)
    }

    /// Allows only these regions. An empty set allows none.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns the regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(other)) => Self(Some(own.intersection(other).cloned().collect())),
        }
    }

    /// Returns true if a region is allowed. An unknown region is allowed only if all are.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }

    /// Returns true if all regions are allowed.
    pub fn is_everywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Returns true if no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the allowed regions in order of name. Empty if all or none are allowed.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter().flatten()
    }
}

/// Formats as region names joined by `+`, or as `everywhere` or `nowhere`.
impl Display for AllowedRegions {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.is_everywhere() {
            return formatter.write_str("everywhere");
        }
        if self.is_nowhere() {
            return formatter.write_str("nowhere");
        }
        let names: Vec<&str> = self.names().map(RegionName::as_str).collect();
        formatter.write_str(&names.join("+"))
    }
}

#[cfg(test)]
mod tests;
