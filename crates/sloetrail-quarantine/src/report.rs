//! Records of crashes and clearances that nodes exchange.

use crate::RequestDigest;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// A request at one service. A request that crashes the back ends of one service may be harmless
/// at another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspect {
    pub service: ServiceName,
    pub digest: RequestDigest,
}

/// A crash of a back end, with the requests that one node was running there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub service: ServiceName,
    /// The incarnation that crashed.
    pub back_end: EngineId,
    /// The software version of the back end, if it reported one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// When the first of the requests was lost, in milliseconds of the table's clock.
    pub at_ms: u64,
    /// The requests that may have caused the crash. Items and reward calls are not among them.
    pub requests: BTreeSet<RequestDigest>,
    /// Of requests and items with streamed answers, the last event that each had received, by number;
    /// zero before the first event.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub last_events: BTreeMap<RequestDigest, u64>,
    /// True if all requests of the report have been answered since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub are_answered: bool,
}

/// A back end has answered the request, or an operator has released it. Crashes up to `at_ms` no
/// longer count against it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    pub suspect: Suspect,
    /// In milliseconds of the table's clock.
    pub at_ms: u64,
}
