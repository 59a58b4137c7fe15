//! Orders to load another weight version.

use super::connection::EngineBody;
use super::{EngineFault, FakeEngine, LOAD_TIME, OrderRecord};
use crate::wire::ReadOrder;
use http::{Response, StatusCode};
use std::io;
use std::sync::Arc;
use std::time::Instant;

impl FakeEngine {
    /// Handles an order request, subject to the current fault.
    pub(super) async fn take_order(
        self: Arc<Self>,
        body: &[u8],
    ) -> Result<Response<EngineBody>, io::Error> {
        let Some(order) = self.wire.order(body) else {
            return Ok(self.plain(StatusCode::BAD_REQUEST));
        };
        if let EngineFault::OrdersLate(after) = self.take_fault() {
            let engine = Arc::clone(&self);
            self.state().late_orders.push(order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                engine.apply_order(order);
            });
            return Err(io::Error::other("fault: order left without a response"));
        }
        let status = self.apply_order(order);
        Ok(self.plain(status))
    }

    /// Checks an order and returns its status immediately. An accepted order takes effect after
    /// [`LOAD_TIME`].
    fn apply_order(self: &Arc<Self>, order: ReadOrder) -> StatusCode {
        let mut state = self.state();
        let current = state
            .versions
            .get(&order.model)
            .copied()
            .unwrap_or_default();
        let status = if current == order.version {
            StatusCode::OK
        } else if state.busy || state.orders_taken != order.orders_taken {
            StatusCode::CONFLICT
        } else {
            state.busy = true;
            state.orders_taken += 1;
            StatusCode::ACCEPTED
        };
        state.orders.push(OrderRecord {
            order: order.clone(),
            at: Instant::now(),
            status: status.as_u16(),
        });
        if status == StatusCode::ACCEPTED {
            let engine = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(LOAD_TIME).await;
                let mut state = engine.state();
                state.versions.insert(order.model, order.version);
                state.busy = false;
            });
        }
        status
    }
}
