//! Sends one version order to an engine.
//!
//! The engine's status is read first. The order carries the number of orders that the engine has
//! accepted so far, so that the engine refuses an order that is overtaken by a later one.

use super::event::{OwnerEvent, PlannedOrder, WeightOrderOutcome};
use crate::back_end::{BackEnd, EngineStatus, OrderAnswer, VersionChange, VersionOrder};
use crate::back_end_connections::Purpose;
use crate::context::NodeContext;
use crate::dialect::EngineCall;
use crate::events::{self, Event};
use crate::gateway::headers;
use crate::http::{CompleteAnswer, FullBody, Reuse, SendFailure};
use crate::leases::Term;
use crate::telemetry;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request};
use sloetrail_clock::BootInstant;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

pub(super) struct OrderTask {
    pub(super) context: Arc<NodeContext>,
    pub(super) term: Term,
    pub(super) back_end: Arc<BackEnd>,
    pub(super) order: PlannedOrder,
    pub(super) change: VersionChange,
    /// The order is not sent after this time.
    pub(super) send_before: BootInstant,
    pub(super) events: mpsc::UnboundedSender<OwnerEvent>,
}

impl OrderTask {
    /// Reads the engine's status and sends the order if the engine needs and can take it.
    pub(super) async fn run(self) {
        let status = self.fetch_status().await;
        let answer = match &status {
            Some(status) if self.should_order(status) => self.send_order(status).await,
            _ => None,
        };
        let order = self.order.clone();
        let end = WeightOrderOutcome {
            order,
            status,
            answer,
        };
        // Fails only if the owner has stopped; the result is not needed then.
        let _ = self.events.send(OwnerEvent::OrderEnded(end));
    }

    fn should_order(&self, status: &EngineStatus) -> bool {
        let version = status.versions.get(&self.order.model).copied();
        let is_behind = version.unwrap_or_default() < self.order.version;
        let in_time = BootInstant::now() < self.send_before && !self.term.ended.is_cancelled();
        is_behind && !status.busy && in_time
    }

    async fn fetch_status(&self) -> Option<EngineStatus> {
        let dialect = &self.context.dialect;
        let answer = self.call(dialect.status_call()).await.ok()?;
        if !answer.status.is_success() {
            return None;
        }
        let status = dialect.status(&answer.body).ok()?;
        // A later incarnation answers under the same name. Its versions and order count do not
        // apply to this one.
        let is_other_incarnation =
            status.started_ms.is_some() && status.started_ms != self.back_end.started_ms;
        (!is_other_incarnation).then_some(status)
    }

    async fn send_order(&self, status: &EngineStatus) -> Option<OrderAnswer> {
        let order = VersionOrder {
            model: self.order.model.clone(),
            version: self.order.version,
            change: self.change,
            holder: self.context.settings.node.clone(),
            fence: self.term.epoch.0,
            orders_taken: status.orders_taken,
        };
        let dialect = &self.context.dialect;
        let answer = self.call(dialect.order_call(&order)).await;
        let answer = answer
            .ok()
            .map(|answer| dialect.order_answer(answer.status));
        telemetry::order_given(outcome_label(answer));
        events::emit(&Event::OrderGiven {
            back_end: self.back_end.id.as_str(),
            model: &self.order.model,
            version: self.order.version.0,
            epoch: self.term.epoch.0,
            outcome: outcome_label(answer),
        });
        answer
    }

    async fn call(&self, call: EngineCall) -> Result<CompleteAnswer, SendFailure> {
        let names = self.context.dialect.headers();
        let mut request = Request::new(FullBody::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|_| SendFailure::NotSent)?;
        let sent = request.headers_mut();
        let instance = &self.back_end.instance;
        headers::set_text(sent, &names.expected_instance, instance);
        let host = self.back_end.address.to_string();
        headers::set_text(sent, &http::header::HOST, &host);
        sent.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let deadline = BootInstant::now() + CALL_TIMEOUT;
        let connections = &self.context.connections;
        let sending = connections.send(
            &self.back_end,
            (Purpose::NewWork, request),
            None,
            Reuse::Any,
            deadline,
        );
        let exchange = sending.await?;
        exchange.read_to_end(MAX_ANSWER_BYTES, deadline).await
    }
}

fn outcome_label(answer: Option<OrderAnswer>) -> &'static str {
    match answer {
        Some(OrderAnswer::Accepted) => "accepted",
        Some(OrderAnswer::AlreadyInForce) => "already in force",
        Some(OrderAnswer::Conflict) => "conflict",
        Some(OrderAnswer::Fenced) => "fenced",
        Some(OrderAnswer::Refused) => "refused",
        None => "no answer",
    }
}
