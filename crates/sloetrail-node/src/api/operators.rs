//! Operators' calls: apply, read back, status, drain.

use super::callers::refusal_of_phase;
use super::messages::{
    ApplyAccepted, ApplyRequest, ConfigurationReport, EngineLine, ServiceReport, StatusReport,
    ZoneReport,
};
use super::run_calls::order_engine;
use super::trainers::bad_body;
use crate::directory::is_leaving;
use crate::lifecycle::Phase;
use crate::problem_response::ProblemResponse;
use crate::state::NodeState;
use crate::sync::apply;
use axum::Json;
use axum::extract::rejection::JsonRejection;
use axum::extract::{Path, State};
use futures_util::future::join_all;
use http::StatusCode;
use sloetrail_clients::{EngineClient, EngineLoadState, Machine, OrderCommand};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{ApplyId, EngineId, ZoneName};
use std::sync::Arc;
use std::time::Duration;

const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const ZONE_HEARD_BOUND: Duration = Duration::from_millis(3_000);

/// `POST /v1/configuration`
pub(crate) async fn apply(
    State(state): State<Arc<NodeState>>,
    body: Result<Json<ApplyRequest>, JsonRejection>,
) -> Result<Json<ApplyAccepted>, ProblemResponse> {
    if state.lifecycle.phase() == Phase::Leaving {
        return Err(refusal_of_phase(Phase::Leaving).into());
    }
    let Json(request) = body.map_err(|rejection| bad_body(&rejection))?;
    Ok(Json(apply::apply(&state, request).await?))
}

/// `GET /v1/applies/{apply}`
pub(crate) async fn read_back(
    State(state): State<Arc<NodeState>>,
    Path(id): Path<ApplyId>,
) -> Result<Json<ApplyAccepted>, ProblemResponse> {
    Ok(Json(apply::read_back(&state, &id).await?))
}

/// `GET /v1/configuration`
pub(crate) async fn configuration(
    State(state): State<Arc<NodeState>>,
) -> Json<ConfigurationReport> {
    let held = state.configuration();
    let zones = held.configuration.zones.iter();
    Json(ConfigurationReport {
        node: state.settings.node.clone(),
        revision: held.revision,
        confirmed: state.configuration_is_fresh(),
        text: held.text.to_string(),
        zones: zones.map(|zone| zone_report(&state, zone)).collect(),
    })
}

fn zone_report(state: &NodeState, zone: &ZoneName) -> ZoneReport {
    if *zone == state.settings.zone {
        return ZoneReport {
            zone: zone.clone(),
            revision: Some(state.revision()),
            heard_ms_ago: Some(0),
        };
    }
    let membership = state.membership();
    let news = membership.zones().news_of(zone);
    let heard = news.map(|news| state.now().since(news.made_at));
    let recent = heard.is_some_and(|age| age <= ZONE_HEARD_BOUND);
    ZoneReport {
        zone: zone.clone(),
        revision: news.filter(|_| recent).map(|news| news.held_by_all),
        heard_ms_ago: heard.map(|age| age.as_millis() as u64),
    }
}

/// `POST /v1/engines/{engine}/drain`
pub(crate) async fn drain(
    State(state): State<Arc<NodeState>>,
    Path(engine): Path<EngineId>,
) -> Result<StatusCode, ProblemResponse> {
    give_order(&state, engine, OrderCommand::Drain).await
}

/// `POST /v1/engines/{engine}/resume`
pub(crate) async fn resume(
    State(state): State<Arc<NodeState>>,
    Path(engine): Path<EngineId>,
) -> Result<StatusCode, ProblemResponse> {
    give_order(&state, engine, OrderCommand::Resume).await
}

async fn give_order(
    state: &NodeState,
    engine: EngineId,
    command: OrderCommand,
) -> Result<StatusCode, ProblemResponse> {
    let directory = state.directory();
    let service = directory
        .engine(engine.as_str())
        .and_then(|machine| machine.service.clone());
    let Some(service) = service else {
        let detail = format!("no engine is named {engine}");
        return Err(ProblemResponse::new(ResultCode::NoEngine, detail));
    };
    order_engine(state, service, engine, command).await?;
    Ok(StatusCode::NO_CONTENT)
}

/// `GET /v1/status`
pub(crate) async fn status(State(state): State<Arc<NodeState>>) -> Json<StatusReport> {
    let mut services = Vec::new();
    for pool in state.pools() {
        services.push(service_report(&state, &pool).await);
    }
    Json(StatusReport {
        node: state.settings.node.clone(),
        zone: state.settings.zone.clone(),
        phase: format!("{:?}", state.lifecycle.phase()).to_lowercase(),
        revision: state.revision(),
        members: state.membership().alive().into_iter().collect(),
        services,
        owned_runs: state.runs().keys().cloned().collect(),
        owned_services: state.weights().keys().cloned().collect(),
    })
}

async fn service_report(state: &NodeState, pool: &crate::gateway::ServicePool) -> ServiceReport {
    let name = pool.name();
    let directory = state.directory();
    let machines: Vec<Machine> = directory.engines_of(&name).cloned().collect();
    let engines = &state.clients.engines;
    let mut lines = Vec::new();
    for machine in &machines {
        lines.push(engine_line(engines, machine.clone()));
    }
    ServiceReport {
        listed: machines.len(),
        available: pool.available(),
        in_flight: pool.in_flight(),
        waiting: pool.waiting(),
        engines: join_all(lines).await,
        service: name,
    }
}

async fn engine_line(engines: &EngineClient, machine: Machine) -> EngineLine {
    let status = engines.status(machine.address, STATUS_TIMEOUT).await.ok();
    let described = match status.as_ref().map(|status| status.state) {
        None => "unreachable",
        Some(EngineLoadState::Draining) => "draining",
        Some(EngineLoadState::Serving) if is_leaving(&machine) => "leaving",
        Some(EngineLoadState::Serving) => "serving",
    };
    EngineLine {
        engine: EngineId::new(machine.id),
        zone: machine.zone,
        state: described.to_owned(),
        version: status.map(|status| status.version),
    }
}

/// `GET /healthz`: the process answers.
pub(crate) async fn healthz() -> &'static str {
    "ok"
}

/// `GET /readyz`: the node takes work.
pub(crate) async fn readyz(
    State(state): State<Arc<NodeState>>,
) -> Result<&'static str, ProblemResponse> {
    match state.lifecycle.phase() {
        Phase::Ready if state.configuration_is_fresh() => Ok("ready"),
        Phase::Ready => Err(Problem::new(
            ResultCode::ConfigurationStale,
            "the node could not confirm its configuration",
        )
        .into()),
        phase => Err(refusal_of_phase(phase).into()),
    }
}
