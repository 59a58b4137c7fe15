//! Where things are: zones in regions, and the regions in which work may be done.

use crate::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

/// How far something is from a node. Nearer ones are less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the node's own zone.
    SameZone,
    /// In another zone of its region.
    SameRegion,
    /// In another region.
    Elsewhere,
}

/// The zones of a deployment and their regions, as seen from one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// A deployment with this zone of the node, and the region of each zone. Without any,
    /// all zones count as one region.
    pub fn new(zone: ZoneName, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { zone, regions }
    }

    /// A deployment without regions.
    pub fn of_zone(zone: ZoneName) -> Self {
        Self::new(zone, BTreeMap::new())
    }

    /// True if the deployment has regions; otherwise all zones count as one.
    pub fn has_regions(&self) -> bool {
        !self.regions.is_empty()
    }

    /// The node's own zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// The region of a zone; nothing if it is not known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// The node's own region; nothing if it is not known.
    pub fn own_region(&self) -> Option<&RegionName> {
        self.region_of(&self.zone)
    }

    /// How far a zone is from the node.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        self.distance_to(zone, self.region_of(zone))
    }

    /// How far something is from the node that tells its own zone and region.
    pub fn distance_to(&self, zone: &ZoneName, region: Option<&RegionName>) -> Distance {
        if *zone == self.zone {
            Distance::SameZone
        } else if !self.has_regions() || self.is_own_region(region) {
            Distance::SameRegion
        } else {
            Distance::Elsewhere
        }
    }

    /// True if work that is bound to regions may be done in a zone.
    pub fn allows(&self, allowed: &AllowedRegions, zone: &ZoneName) -> bool {
        allowed.allows(self.region_of(zone))
    }

    fn is_own_region(&self, region: Option<&RegionName>) -> bool {
        region.is_some() && region == self.own_region()
    }
}

/// The regions in which work may be done.
///
/// Invariant: a restriction is never widened; what both of two restrictions allow is their
/// [`AllowedRegions::and`].
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<BTreeSet<RegionName>>);

impl AllowedRegions {
    /// Work that may be done anywhere.
    pub fn everywhere() -> Self {
        Self(None)
    }

    /// Work that may be done in these regions only; in none if there are none.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// What both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(other)) => Self(Some(own.intersection(other).cloned().collect())),
        }
    }

    /// True if a region is allowed. One that is not known is allowed only where all are.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }

    /// True if the work may be done anywhere.
    pub fn is_everywhere(&self) -> bool {
        self.0.is_none()
    }

    /// True if there is no region in which the work may be done.
    pub fn is_nowhere(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// The regions by name, if the work is bound to some.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter().flatten()
    }
}

/// The regions joined by plus signs; `everywhere` or `nowhere` where there is none to name.
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
