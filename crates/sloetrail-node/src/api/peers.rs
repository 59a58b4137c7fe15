//! Calls from other nodes.

use super::run_calls::owned_run;
use crate::gateway::serve_forwarded;
use crate::peer::{PeerRequest, PeerResponse, from_cbor, to_cbor};
use crate::problem_response::ProblemResponse;
use crate::state::NodeState;
use axum::extract::State;
use bytes::Bytes;
use http::header;
use sloetrail_result::{Problem, ResultCode};
use std::sync::Arc;

/// `POST /internal/v1/peer`
pub(crate) async fn answer(
    State(state): State<Arc<NodeState>>,
    body: Bytes,
) -> Result<([(header::HeaderName, &'static str); 1], Vec<u8>), ProblemResponse> {
    let request: PeerRequest = from_cbor(&body)
        .map_err(|error| ProblemResponse::new(ResultCode::MalformedRequest, error.to_string()))?;
    let response = carry_out(&state, request).await;
    let bytes = to_cbor(&response)
        .map_err(|error| ProblemResponse::new(ResultCode::InternalError, error.to_string()))?;
    Ok(([(header::CONTENT_TYPE, "application/cbor")], bytes))
}

async fn carry_out(state: &Arc<NodeState>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Configuration { newer_than } => {
            let held = state.configuration();
            match held.revision > newer_than {
                true => PeerResponse::Configuration {
                    revision: held.revision,
                    text: held.text.to_string(),
                },
                false => PeerResponse::NothingNewer,
            }
        }
        PeerRequest::MachineList { newer_than } => {
            let directory = state.directory();
            match directory.version() > newer_than {
                true => PeerResponse::MachineList {
                    list: directory.list().clone(),
                },
                false => PeerResponse::NothingNewer,
            }
        }
        PeerRequest::Submit { run, request } => match owned_run(state, &run) {
            None => PeerResponse::NotOwner,
            Some(handle) => answered(handle.submit(request).await, PeerResponse::Submitted),
        },
        PeerRequest::Pull { run, request } => match owned_run(state, &run) {
            None => PeerResponse::NotOwner,
            Some(handle) => answered(handle.pull(state, request).await, PeerResponse::Pulled),
        },
        PeerRequest::Forward { service, request } => {
            let result = serve_forwarded(state, &service, request).await;
            answered(result, PeerResponse::Forwarded)
        }
        PeerRequest::EngineOrder {
            service,
            engine,
            command,
        } => {
            let owned = state.weights().get(&service).cloned();
            match owned {
                None => PeerResponse::NotOwner,
                Some(handle) => answered(handle.order(engine, command).await, |()| {
                    PeerResponse::OrderDone
                }),
            }
        }
    }
}

fn answered<T>(result: Result<T, Problem>, wrap: impl FnOnce(T) -> PeerResponse) -> PeerResponse {
    result.map_or_else(PeerResponse::Refused, wrap)
}
