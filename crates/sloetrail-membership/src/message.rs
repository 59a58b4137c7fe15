//! The datagrams that nodes exchange. Field names on the wire are one letter,
//! because their size is most of a node's control traffic.

use crate::MemberUpdate;
use serde::{Deserialize, Serialize};
use sloetrail_types::{NodeId, Revision, WeightVersion, digest};

/// What a node knows of the shared documents; it rides on every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The revision of the configuration that the node holds.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The version of the machine list that the node holds.
    #[serde(rename = "l")]
    pub list_version: u64,
    /// Milliseconds since the table is known to have held no higher revision.
    #[serde(rename = "t")]
    pub table_age_ms: Option<u64>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The format; a node drops formats that it does not know.
    #[serde(rename = "f")]
    pub format: u8,
    /// The sender.
    #[serde(rename = "n")]
    pub from: NodeId,
    /// What the sender knows.
    #[serde(rename = "v")]
    pub view: View,
    /// News of members.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
    /// News of other zones.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
    /// What the datagram is for.
    #[serde(rename = "b")]
    pub body: Body,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    #[serde(rename = "p")]
    Ping(u64),
    /// Acknowledges a ping.
    #[serde(rename = "a")]
    Ack(u64),
    /// Asks the receiver to ping a third node and pass the acknowledgement on.
    #[serde(rename = "q")]
    PingRequest(u64, NodeId),
    /// Carries news of engines.
    #[serde(rename = "e")]
    Engines(Vec<EngineNews>),
    /// Carries news of members and zones only.
    #[serde(rename = "s")]
    News,
}

/// What an observer found an engine to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineNewsState {
    /// It takes new work.
    #[serde(rename = "s")]
    Serving,
    /// It finishes what it has.
    #[serde(rename = "d")]
    Draining,
    /// It does not answer.
    #[serde(rename = "u")]
    Unreachable,
}

/// News of one engine. On the wire it is an array, not a map: it is most of what
/// a node sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EngineNewsArray", into = "EngineNewsArray")]
pub struct EngineNews {
    /// The digest of the engine's id.
    pub engine: u64,
    /// Its state.
    pub state: EngineNewsState,
    /// Requests running and waiting on it.
    pub load: u32,
    /// Requests that it can run at a time.
    pub capacity: u32,
    /// The weights that it uses.
    pub version: WeightVersion,
    /// Milliseconds since the observer asked it.
    pub age_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct EngineNewsArray(u64, EngineNewsState, u32, u32, WeightVersion, u64);

impl From<EngineNewsArray> for EngineNews {
    fn from(array: EngineNewsArray) -> Self {
        Self {
            engine: array.0,
            state: array.1,
            load: array.2,
            capacity: array.3,
            version: array.4,
            age_ms: array.5,
        }
    }
}

impl From<EngineNews> for EngineNewsArray {
    fn from(news: EngineNews) -> Self {
        Self(
            news.engine,
            news.state,
            news.load,
            news.capacity,
            news.version,
            news.age_ms,
        )
    }
}

/// A short digest of a zone's or service's name. There are tens of them, so that
/// 32 bits keep them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NameDigest(u32);

impl NameDigest {
    /// The digest of a name.
    pub fn of(name: &str) -> Self {
        Self(digest(name.as_bytes()) as u32)
    }
}

/// Engines of one service that may take work in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NameDigest, u32)", into = "(NameDigest, u32)")]
pub struct ServiceCapacity {
    /// The service.
    pub service: NameDigest,
    /// How many there are.
    pub available: u32,
}

impl From<(NameDigest, u32)> for ServiceCapacity {
    fn from((service, available): (NameDigest, u32)) -> Self {
        Self { service, available }
    }
}

impl From<ServiceCapacity> for (NameDigest, u32) {
    fn from(capacity: ServiceCapacity) -> Self {
        (capacity.service, capacity.available)
    }
}

/// What one zone tells the others. An array on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ZoneSummaryArray", into = "ZoneSummaryArray")]
pub struct ZoneSummary {
    /// The zone.
    pub zone: NameDigest,
    /// The revision that the node held that made the summary.
    pub revision: Revision,
    /// The revision that every member of the zone held that it took for alive.
    pub held_by_all: Revision,
    /// Milliseconds since it was made.
    pub age_ms: u64,
    /// Engines that may take work there, by service.
    pub capacity: Vec<ServiceCapacity>,
}

#[derive(Serialize, Deserialize)]
struct ZoneSummaryArray(NameDigest, Revision, Revision, u64, Vec<ServiceCapacity>);

impl From<ZoneSummaryArray> for ZoneSummary {
    fn from(array: ZoneSummaryArray) -> Self {
        Self {
            zone: array.0,
            revision: array.1,
            held_by_all: array.2,
            age_ms: array.3,
            capacity: array.4,
        }
    }
}

impl From<ZoneSummary> for ZoneSummaryArray {
    fn from(summary: ZoneSummary) -> Self {
        Self(
            summary.zone,
            summary.revision,
            summary.held_by_all,
            summary.age_ms,
            summary.capacity,
        )
    }
}
