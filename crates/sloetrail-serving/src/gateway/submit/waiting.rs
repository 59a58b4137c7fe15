//! Submissions that wait for an outage of the table to end.

use crate::byte_budget::ByteBudget;
use crate::table::Table;
use sloetrail_clock::BootInstant;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Interval at which a waiting submission checks the state of the table client. A check makes no
/// call to the table, which the client alone probes every 250 ms in an outage.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Divides the budget for request bodies to get the share of waiting submissions. Live requests
/// use the rest.
const BODY_BUDGET_DIVISOR: usize = 2;

/// Budget for the bodies of submissions that wait for the table.
pub(crate) struct WaitingSubmissions(ByteBudget);

impl WaitingSubmissions {
    /// `body_budget_bytes` is the budget for all request bodies of the node.
    pub(crate) fn new(body_budget_bytes: usize) -> Self {
        Self(ByteBudget::new(body_budget_bytes / BODY_BUDGET_DIVISOR))
    }
}

/// Why a batch was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptanceError {
    /// The table did not answer again before the acceptance deadline.
    OutagePersists,
    /// This node reaches neither the table nor a node that could relay. Other nodes may still
    /// reach the table.
    Isolated,
    /// The budget for waiting submissions is used up. The newest submission is refused: it has
    /// the most time left for a retry at another node.
    TooManyWaiting,
    /// The table refused every attempt at the transaction, or did not answer.
    NotCommitted,
}

impl Display for AcceptanceError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OutagePersists => "the table does not answer",
            Self::Isolated => {
                "this node reaches neither the table nor a node that can relay its calls"
            }
            Self::TooManyWaiting => "too many batches are waiting for the table",
            Self::NotCommitted => "the table did not commit it in time",
        })
    }
}

/// Waits until the table answers again.
///
/// # Errors
///
/// If the body exceeds the budget, the node is isolated, or the acceptance deadline passes.
pub(super) async fn wait_for_table(
    table: &dyn Table,
    waiting: &WaitingSubmissions,
    body_bytes: usize,
    acceptance_deadline: BootInstant,
) -> Result<(), AcceptanceError> {
    let mut reservation = waiting.0.new_reservation();
    if !reservation.try_grow(body_bytes) {
        return Err(AcceptanceError::TooManyWaiting);
    }
    while !table.is_answering() {
        if table.is_isolated() {
            return Err(AcceptanceError::Isolated);
        }
        tokio::time::sleep(TABLE_CHECK_INTERVAL).await;
        if BootInstant::now() >= acceptance_deadline {
            return Err(AcceptanceError::OutagePersists);
        }
    }
    Ok(())
}
