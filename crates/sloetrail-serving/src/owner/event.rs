//! What the parts of an owner tell it.

use super::loading::LoadedBatch;
use super::reward::RewardOutcome;
use super::reward_queue::ScoringTask;
use super::run::RunOutcome;
use crate::back_end::{EngineStatus, OrderAnswer};
use crate::leases::OrderWindow;
use crate::quarantine::Passage;
use sloetrail_batch::{BatchId, ItemIndex, ListedResult, Transcript};
use sloetrail_types::{EngineId, WeightVersion};
use std::time::Duration;

/// What happens to an owner.
pub(super) enum OwnerEvent {
    /// A batch has been loaded, or could not be.
    Loaded(BatchId, Box<Option<LoadedBatch>>),
    /// A run of an item has ended.
    RunEnded {
        /// The batch.
        batch: BatchId,
        /// The item's place in its submission.
        index: ItemIndex,
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: RunOutcome,
        /// The text as far as it came.
        transcript: Transcript,
        /// How long it took.
        took: Duration,
    },
    /// The table was asked for a trial of an item that is kept from engines; its passage is
    /// on trial if it may be tried.
    TrialAnswered((BatchId, ItemIndex), Box<Passage>),
    /// A try to score a text has ended.
    RewardEnded(ScoringTask, RewardOutcome),
    /// A result was committed.
    Committed(Committed),
    /// The window for orders was opened, or could not be.
    WindowAnswered(OrderWindow),
    /// An order was given, or could not be.
    OrderEnded(OrderEnd),
    /// How many engines there were before any were ordered; nothing if the table did not
    /// tell.
    FloorRead(Option<usize>),
    /// The number of engines was ordered, or could not be.
    SupplyAnswered(SupplyAnswered),
    /// What the batches take of the engines was written down, or could not be.
    DemandWritten(DemandWritten),
}

/// A result that was committed.
pub(super) struct Committed {
    pub(super) batch: BatchId,
    pub(super) index: ItemIndex,
    pub(super) position: usize,
    pub(super) result: ListedResult,
    pub(super) took: Duration,
}

/// An order that should be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    pub(super) engine: EngineId,
    pub(super) model: String,
    pub(super) version: WeightVersion,
}

/// What became of an order.
#[derive(Clone, Debug)]
pub(super) struct OrderEnd {
    pub(super) order: PlannedOrder,
    /// What the engine said of itself before; nothing if it did not answer.
    pub(super) status: Option<EngineStatus>,
    /// Its answer to the order; nothing if none was sent or no answer came.
    pub(super) answer: Option<OrderAnswer>,
}

/// What became of orders for numbers of engines that were given together.
#[derive(Debug)]
pub(super) struct SupplyAnswered {
    /// A later holder has given orders already.
    pub(super) fenced: bool,
}

/// What became of a row that tells what the batches take of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DemandWritten {
    /// It is in the table.
    Done,
    /// It may not be.
    Unknown,
    /// A later holder has the lease.
    Fenced,
}

impl DemandWritten {
    /// A word for logs.
    pub(super) fn word(self) -> &'static str {
        match self {
            DemandWritten::Done => "written",
            DemandWritten::Unknown => "no answer",
            DemandWritten::Fenced => "fenced",
        }
    }
}
