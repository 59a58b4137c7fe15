//! Calls from node to node: CBOR messages over HTTP.

use crate::api::messages::{PullRequest, PullResponse, SubmitRequest, SubmitResponse};
use crate::state::NodeState;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use sloetrail_clients::{CallError, MachineList, OrderCommand};
use sloetrail_config::Bounds;
use sloetrail_result::Problem;
use sloetrail_types::{EngineId, NodeId, Revision, RunName, ServiceName};
use std::time::Duration;

/// The path of peer calls.
pub(crate) const PEER_PATH: &str = "/internal/v1/peer";
const FORMAT: u8 = 1;
/// What a message may need besides the largest body and head.
const MESSAGE_OVERHEAD_BYTES: usize = 65_536;
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A message with its format.
#[derive(Serialize, Deserialize)]
pub(crate) struct Framed<T> {
    pub(crate) format: u8,
    pub(crate) message: T,
}

/// What a node asks another.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The configuration, if it is newer.
    Configuration { newer_than: Revision },
    /// The machine list, if it is newer.
    MachineList { newer_than: u64 },
    /// A trainer's submission, for the owner of the run.
    Submit {
        run: RunName,
        request: SubmitRequest,
    },
    /// A trainer's pull, for the owner of the run.
    Pull { run: RunName, request: PullRequest },
    /// A caller's request, for a zone that has engines for it.
    Forward {
        service: ServiceName,
        request: ForwardedRequest,
    },
    /// An operator's order, for the owner of the service.
    EngineOrder {
        service: ServiceName,
        engine: EngineId,
        command: OrderCommand,
    },
}

/// A caller's request on its way to another zone.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: String,
    pub(crate) path_and_query: String,
    pub(crate) headers: Vec<ForwardedHeader>,
    pub(crate) body: Bytes,
    /// Time that is left until the caller's deadline, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// An engine's answer on its way back.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardedAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<ForwardedHeader>,
    pub(crate) body: Bytes,
}

/// A header of either.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardedHeader {
    pub(crate) name: String,
    pub(crate) value: Bytes,
}

/// What a node answers.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// A newer configuration.
    Configuration { revision: Revision, text: String },
    /// A newer machine list.
    MachineList { list: MachineList },
    /// Nothing newer.
    NothingNewer,
    /// The answer to a submission.
    Submitted(SubmitResponse),
    /// The answer to a pull.
    Pulled(PullResponse),
    /// The whole answer to a caller's request.
    Forwarded(ForwardedAnswer),
    /// The order was carried out.
    OrderDone,
    /// The node does not own what was asked for.
    NotOwner,
    /// The call was refused or failed.
    Refused(Problem),
}

/// Asks a peer and waits for its answer.
pub(crate) async fn ask_peer(
    state: &NodeState,
    peer: &NodeId,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerResponse, CallError> {
    let address = state.directory().node_http(peer);
    let Some(address) = address else {
        return Err(CallError::NotExecuted {
            reason: format!("node {peer} is not on the machine list"),
        });
    };
    let body = to_cbor(request)?;
    let call = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{PEER_PATH}"))
        .header(http::header::CONTENT_TYPE, "application/cbor")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CallError::NotExecuted {
            reason: error.to_string(),
        })?;
    let http = &state.clients.http;
    let response = http.fetch(call, timeout, ANSWER_LIMIT_BYTES).await?;
    if response.status.is_success() {
        return from_cbor(&response.body);
    }
    // The peer refused before it read the message.
    response.json::<Problem>().map(PeerResponse::Refused)
}

/// The largest message that a node with these bounds takes from a peer.
pub(crate) fn message_limit(bounds: &Bounds) -> usize {
    bounds.body_limit_bytes + bounds.header_limit_bytes + MESSAGE_OVERHEAD_BYTES
}

/// A message as CBOR.
pub(crate) fn to_cbor<T: Serialize>(message: &T) -> Result<Vec<u8>, CallError> {
    let mut bytes = Vec::new();
    let framed = Framed {
        format: FORMAT,
        message,
    };
    ciborium::into_writer(&framed, &mut bytes).map_err(|error| CallError::NotExecuted {
        reason: error.to_string(),
    })?;
    Ok(bytes)
}

/// Reads a message; formats that are not known are refused.
pub(crate) fn from_cbor<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, CallError> {
    let framed: Framed<T> = ciborium::from_reader(bytes).map_err(|error| CallError::Unknown {
        reason: error.to_string(),
    })?;
    if framed.format != FORMAT {
        return Err(CallError::Unknown {
            reason: format!("format {} is not known", framed.format),
        });
    }
    Ok(framed.message)
}
