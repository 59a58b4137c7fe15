//! Events that the tasks of an owner send to its loop.

use super::loading::LoadedBatch;
use super::retirement::RetirementOutcome;
use super::reward::RewardOutcome;
use super::reward_queue::ScoringTask;
use super::run::RunOutcome;
use crate::back_end::{EngineStatus, OrderAnswer};
use crate::leases::OrderWindow;
use sloetrail_batch::{BatchId, ItemIndex, ListedResult, Transcript};
use sloetrail_types::{EngineId, WeightVersion};
use std::time::Duration;

pub(super) enum OwnerEvent {
    /// Loading a batch ended; None if it could not be loaded.
    BatchLoaded(BatchId, Box<Option<LoadedBatch>>),
    RunEnded {
        batch: BatchId,
        index: ItemIndex,
        engine: EngineId,
        outcome: RunOutcome,
        /// The text so far, including events of earlier runs.
        transcript: Transcript,
        took: Duration,
    },
    RewardEnded(ScoringTask, RewardOutcome),
    Committed(Committed),
    /// An attempt to open the order window ended; the window may still be closed.
    WindowOpenEnded(OrderWindow),
    /// An attempt to order a weight version from an engine ended.
    OrderEnded(WeightOrderOutcome),
    /// The engine count before any order; None if the table could not be read or written.
    BaselineRead(Option<usize>),
    /// Orders for engine counts ended.
    SupplyOrdersEnded(SupplyOrdersOutcome),
    /// A write of the set's slot demand ended.
    DemandWritten(ReportWriteOutcome),
    /// A write of the set's backlog ended.
    BacklogWritten(ReportWriteOutcome),
    RetirementEnded(RetirementOutcome),
}

pub(super) struct Committed {
    pub(super) batch: BatchId,
    pub(super) index: ItemIndex,
    pub(super) position: usize,
    pub(super) result: ListedResult,
    pub(super) took: Duration,
}

/// An order to an engine to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    pub(super) engine: EngineId,
    pub(super) model: String,
    pub(super) version: WeightVersion,
}

#[derive(Clone, Debug)]
pub(super) struct WeightOrderOutcome {
    pub(super) order: PlannedOrder,
    /// The engine's status before the order; None if it did not answer.
    pub(super) status: Option<EngineStatus>,
    /// None if no order was sent or no answer arrived.
    pub(super) answer: Option<OrderAnswer>,
}

/// Outcome of a series of orders for engine counts.
#[derive(Debug)]
pub(super) struct SupplyOrdersOutcome {
    /// A later lease holder has already sent orders.
    pub(super) fenced: bool,
}

/// Outcome of a write of a slot demand row or a backlog row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportWriteOutcome {
    Done,
    /// The table did not answer; the row may or may not be written.
    Unknown,
    /// Another node holds the lease by now.
    Fenced,
}

impl ReportWriteOutcome {
    /// The label in log events.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ReportWriteOutcome::Done => "written",
            ReportWriteOutcome::Unknown => "no answer",
            ReportWriteOutcome::Fenced => "fenced",
        }
    }
}
