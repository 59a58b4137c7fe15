//! Back ends: the engines and applications that run requests.

use crate::dialect::DialectError;
use sloetrail_types::{EngineId, ServiceName, WeightVersion, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One life of a back end, as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEnd {
    /// This life's id; a restart has another, also under the same name.
    pub id: EngineId,
    /// What it calls itself; a restart may have the same name.
    pub instance: String,
    /// When this life began, in Unix milliseconds of its own clock, if it tells. Lives of one
    /// name are told apart by it, but not put in order: the clock may have jumped.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// True if it takes no new work.
    pub draining: bool,
    /// How much longer it was cold when it wrote its row; zero once it is warm.
    pub cold_remaining: Duration,
    /// The version of each model's weights that it uses.
    pub versions: BTreeMap<String, WeightVersion>,
    /// The version of its software, if it tells one.
    pub software: Option<String>,
}

/// Requests at a time that a row may tell: far more than a back end runs, and few enough that sums
/// over all back ends stay in range.
const SLOTS_MOST: usize = 100_000;
/// How long a back end may be cold: a day.
const COLD_MOST: Duration = Duration::from_secs(86_400);

impl BackEnd {
    /// The back end, if its figures are those of one. Rows may come from other writers: sums with
    /// 2^64 places ended the owner that read them.
    ///
    /// # Errors
    ///
    /// If a figure is out of range.
    pub fn checked(self) -> Result<Self, DialectError> {
        let is_sound = (1..=SLOTS_MOST).contains(&self.slots) && self.cold_remaining <= COLD_MOST;
        match is_sound {
            true => Ok(self),
            false => Err(DialectError {
                message: "a figure is out of range".to_owned(),
            }),
        }
    }
}

/// What an engine says of itself when asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// The version of each model's weights that it uses.
    pub versions: BTreeMap<String, WeightVersion>,
    /// True if an order is under way.
    pub busy: bool,
    /// How many orders it has taken in this life.
    pub orders_taken: u64,
    /// When the life began that answers, if it tells.
    pub started_ms: Option<u64>,
}

/// What becomes of running samples when an engine changes its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChange {
    /// They go on under the new weights.
    Continue,
    /// The change waits until they have ended.
    Wait,
}

/// An order to use a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightVersion,
    /// What becomes of running samples.
    pub change: VersionChange,
    /// Who gives the order: one name for each machine.
    pub holder: String,
    /// The epoch under which the holder gives it.
    pub fence: u64,
    /// How many orders the engine must have taken before this one.
    pub orders_taken: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// The engine uses that version already.
    AlreadyInForce,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// The engine has seen a higher fence.
    Fenced,
    /// It is refused for another reason.
    Refused,
}
