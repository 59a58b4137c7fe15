//! The addresses that a node serves: callers, the readiness check and metrics.

use crate::context::NodeContext;
use crate::gateway::call_handler::CallHandler;
use crate::gateway::response::{empty_response, full_body};
use crate::http::{ConnectionTracker, ListenerSettings, spawn_listener};
use crate::telemetry::{self, NodeGauges};
use http::StatusCode;
use sloetrail_clock::BootInstant;
use sloetrail_types::digest;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Limits of connections from the platform and operators.
const PLATFORM_LISTENER: ListenerSettings = ListenerSettings {
    header_bytes: 8 * 1024,
    idle_timeout: Duration::from_secs(15),
};

pub(super) fn serve_callers(
    context: &Arc<NodeContext>,
    listener: TcpListener,
    tracker: ConnectionTracker,
) {
    let seed = digest(context.settings.instance.as_str().as_bytes()) as f64 / u64::MAX as f64;
    let call_handler = Arc::new(CallHandler::new(Arc::clone(context), seed));
    let context = Arc::clone(context);
    let settings = move || {
        let limits = context.limits();
        ListenerSettings {
            header_bytes: limits.header_bytes,
            idle_timeout: limits.idle_timeout,
        }
    };
    spawn_listener(listener, settings, tracker, move |request| {
        let call_handler = Arc::clone(&call_handler);
        async move { call_handler.answer(request).await }
    });
}

/// Serves the readiness check. The node is ready once it has read a configuration, the back ends
/// and the quarantined requests, until it stops.
pub(super) fn serve_ready(
    context: &Arc<NodeContext>,
    listener: TcpListener,
    stopping: CancellationToken,
) {
    let context = Arc::clone(context);
    let settings = || PLATFORM_LISTENER;
    let tracker = ConnectionTracker::default();
    spawn_listener(listener, settings, tracker, move |_| {
        let knows_back_ends = !context.directory.borrow().back_ends.is_empty();
        let knows_requests = context.leases.borrow().confirmed_at.is_some();
        let is_ready = context.configuration().is_some()
            && knows_back_ends
            && knows_requests
            && !stopping.is_cancelled();
        let status = match is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { empty_response(status) }
    });
}

/// Serves metrics, and the quarantined requests under a separate path.
pub(super) fn serve_metrics(
    context: &Arc<NodeContext>,
    listener: TcpListener,
    callers: ConnectionTracker,
) {
    let context = Arc::clone(context);
    let settings = || PLATFORM_LISTENER;
    let tracker = ConnectionTracker::default();
    spawn_listener(listener, settings, tracker, move |request| {
        let (method, path) = (request.method(), request.uri().path());
        let answer = context.quarantine.answer_operator(method, path);
        let response = answer.unwrap_or_else(|| {
            telemetry::set_node_gauges(&node_gauges(&context, &callers));
            http::Response::new(full_body(telemetry::render()))
        });
        async move { response }
    });
}

fn node_gauges(context: &NodeContext, callers: &ConnectionTracker) -> NodeGauges {
    let configuration = context.configuration();
    let directory = Arc::clone(&context.directory.borrow());
    let age = |requested_at: Option<BootInstant>| requested_at.map(|at| at.elapsed());
    NodeGauges {
        configuration_revision: configuration.as_ref().map_or(0, |known| known.revision.0),
        configuration_numbers_held: configuration.map_or(0, |known| known.held_numbers.len()),
        directory_version: directory.version.0,
        back_ends_known: directory.back_ends.len(),
        back_ends_listed: directory.total_rows,
        directory_age: age(*context.directory_applied.borrow()),
        operator_age: age(*context.operator_applied.borrow()),
        zones: context.zone_work.evacuated_zones(),
        zones_evacuated: context.in_force.borrow().evacuations.count(),
        back_ends_cold: directory.cold_count(BootInstant::now()),
        requests_quarantined: context.quarantine.assessment().quarantined().count(),
        lease_view_age: context.leases.borrow().age(BootInstant::now()),
        requests: callers.requests(),
        connections: callers.connections(),
    }
}
