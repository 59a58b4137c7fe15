//! The datagrams that nodes exchange. Field names on the wire are one letter,
//! because their size is most of a node's control traffic.

use crate::MemberUpdate;
use serde::{Deserialize, Serialize};
use sloetrail_types::{NodeId, Revision, ZoneName};

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

/// News of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNews {
    /// The digest of the engine's id.
    #[serde(rename = "e")]
    pub engine: u64,
    /// Its state.
    #[serde(rename = "s")]
    pub state: EngineNewsState,
    /// Requests running and waiting on it.
    #[serde(rename = "l")]
    pub load: u32,
    /// Requests that it can run at a time.
    #[serde(rename = "c")]
    pub capacity: u32,
    /// Milliseconds since the observer asked it.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Engines of one service that may take work in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The digest of the service's name.
    #[serde(rename = "s")]
    pub service: u64,
    /// How many there are.
    #[serde(rename = "n")]
    pub available: u32,
}

/// What one zone tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The node that made the summary.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// The revision that it held.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Engines that may take work there, by service.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub capacity: Vec<ServiceCapacity>,
    /// Milliseconds since it was made.
    #[serde(rename = "a")]
    pub age_ms: u64,
}
