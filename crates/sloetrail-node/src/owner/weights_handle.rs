//! How the rest of the node talks to a service's owner.

use sloetrail_clients::OrderCommand;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{EngineId, Epoch};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// An operator's order for one engine.
pub(crate) struct EngineOrder {
    pub(crate) engine: EngineId,
    pub(crate) command: OrderCommand,
    pub(crate) reply: oneshot::Sender<Result<(), Problem>>,
}

/// A service that this node owns.
#[derive(Clone)]
pub(crate) struct WeightsHandle {
    pub(crate) epoch: Epoch,
    pub(crate) orders: mpsc::Sender<EngineOrder>,
    pub(crate) cancel: CancellationToken,
}

impl WeightsHandle {
    /// Has the owner give an engine an order.
    pub(crate) async fn order(
        &self,
        engine: EngineId,
        command: OrderCommand,
    ) -> Result<(), Problem> {
        let (reply, answer) = oneshot::channel();
        let order = EngineOrder {
            engine,
            command,
            reply,
        };
        let sent = self.orders.send_timeout(order, ANSWER_TIMEOUT).await;
        if sent.is_err() {
            let detail = "the owner of the service takes no orders now";
            return Err(Problem::new(ResultCode::NoOwner, detail));
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(result)) => result,
            _ => Err(Problem::new(
                ResultCode::OwnerLost,
                "the order's outcome is unknown; give it again",
            )),
        }
    }
}
