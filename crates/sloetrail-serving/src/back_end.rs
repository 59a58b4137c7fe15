//! Back ends: the engines and applications that run requests.

use crate::dialect::DialectError;
use sloetrail_types::{EngineId, ServiceName, WeightVersion, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One incarnation of a back end, as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEnd {
    /// The incarnation's id. A restart gets a new one, even under the same name.
    pub id: EngineId,
    /// The name that the back end gives itself; a restart may reuse it.
    pub instance: String,
    /// Start time in Unix milliseconds of the back end's clock, if reported. It distinguishes
    /// incarnations with the same name but doesn't order them: the clock may have jumped.
    pub started_ms: Option<u64>,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// True if it accepts no new work.
    pub draining: bool,
    /// The remaining cold time when the row was written; zero if warm.
    pub cold_remaining: Duration,
    /// The weight version in use, by model.
    pub versions: BTreeMap<String, WeightVersion>,
    /// The software version, if reported.
    pub software: Option<String>,
}

/// The largest accepted slot count, far above what a back end runs. It keeps sums over all back
/// ends from overflowing: rows with 2^64 slots ended the owner that read them.
const MAX_SLOTS: usize = 100_000;
const MAX_COLD_TIME: Duration = Duration::from_secs(86_400);

impl BackEnd {
    /// Returns the back end if its numbers are in range. A back end that claims more than it can
    /// have is not to be trusted with work, so its numbers are not held at their maximum.
    ///
    /// # Errors
    ///
    /// If the slot count or the cold time is out of range.
    pub fn checked(self) -> Result<Self, DialectError> {
        let (slots, cold_remaining) = (self.slots, self.cold_remaining);
        let message = if !(1..=MAX_SLOTS).contains(&slots) {
            format!("slots must be 1 to {MAX_SLOTS}, got {slots}")
        } else if cold_remaining > MAX_COLD_TIME {
            format!(
                "the remaining cold time must be at most {MAX_COLD_TIME:?}, got {cold_remaining:?}"
            )
        } else {
            return Ok(self);
        };
        Err(DialectError { message })
    }
}

/// The status that an engine reports on request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// The weight version in use, by model.
    pub versions: BTreeMap<String, WeightVersion>,
    /// True while the engine carries out an order.
    pub busy: bool,
    /// The number of orders accepted in this incarnation.
    pub orders_taken: u64,
    /// Start time of the answering incarnation in Unix milliseconds, if reported.
    pub started_ms: Option<u64>,
}

/// What happens to running samples when an engine changes its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChange {
    /// Samples continue with the new weights.
    Continue,
    /// The change waits until running samples have finished.
    Wait,
}

/// An order to switch a model to a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    pub model: String,
    pub version: WeightVersion,
    pub change: VersionChange,
    /// The machine that gives the order.
    pub holder: String,
    /// The epoch of the holder's lease.
    pub fence: u64,
    /// The number of orders that the engine must have accepted before this one.
    pub orders_taken: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries out the order.
    Accepted,
    /// The engine uses that version already.
    AlreadyInForce,
    /// Another order is in progress, or the order count differs.
    Conflict,
    /// The engine has seen a higher fence.
    Fenced,
    /// The engine refuses the order for another reason.
    Refused,
}
