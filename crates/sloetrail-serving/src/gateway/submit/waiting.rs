//! Submissions that wait for the end of an outage of the table.

use crate::gateway::body_budget::BodyBudget;
use crate::table::Table;
use sloetrail_clock::BootInstant;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// How often a waiting submission checks whether the table answers again. The table is
/// asked by its client alone, every 250 ms in an outage; a check costs no call.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Waiting submissions may take one byte in this many of those for request bodies. Live
/// requests need the rest.
const BODY_BUDGET_DIVISOR: usize = 2;

/// The bytes of the submissions that wait at a node.
pub(crate) struct WaitingSubmissions(BodyBudget);

impl WaitingSubmissions {
    /// None waits yet; all request bodies together may take `body_budget_bytes`.
    pub(crate) fn new(body_budget_bytes: usize) -> Self {
        Self(BodyBudget::new(body_budget_bytes / BODY_BUDGET_DIVISOR))
    }
}

/// What kept a batch from being accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hindrance {
    /// The table has not come back in the time that there was.
    OutageLasts,
    /// No other node that may help can be reached either: another one may well reach the
    /// table.
    Isolated,
    /// Too many submissions wait here already. The newest is refused, since it has the
    /// most time left to ask elsewhere.
    TooManyWait,
    /// The table refused the transaction, or did not answer, to the end.
    NotTaken,
}

impl Display for Hindrance {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OutageLasts => "the table does not answer",
            Self::Isolated => "this node reaches neither the table nor a node that may help",
            Self::TooManyWait => "too many batches wait for the table",
            Self::NotTaken => "the table did not take it",
        })
    }
}

/// Waits until the table answers again, if that can be hoped for.
pub(super) async fn wait_for_table(
    table: &dyn Table,
    waiting: &WaitingSubmissions,
    body_bytes: usize,
    give_up_at: BootInstant,
) -> Result<(), Hindrance> {
    let mut held = waiting.0.new_reservation();
    if !held.try_grow(body_bytes) {
        return Err(Hindrance::TooManyWait);
    }
    while !table.is_answering() {
        if table.is_isolated() {
            return Err(Hindrance::Isolated);
        }
        tokio::time::sleep(CHECK_PERIOD).await;
        if BootInstant::now() >= give_up_at {
            return Err(Hindrance::OutageLasts);
        }
    }
    Ok(())
}
