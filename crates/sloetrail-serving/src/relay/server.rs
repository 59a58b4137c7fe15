//! Carrying calls for other nodes.

use super::message::{CarriedCall, MESSAGE_VERSION, TableAnswer, TableCall, decode, encode};
use crate::gateway::message::{CallerResponse, empty_response, whole_body};
use crate::http::{ConnectionTracker, ListenerSettings, serve_connections};
use crate::table::Table;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Calls that are carried at a time; further ones are turned away.
const CALLS_MOST: usize = 64;
/// Bytes of one call: a transaction of the largest size, and its frame.
const CALL_BYTES: usize = 2 * 1024 * 1024;
const HEAD_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Carries calls until the process ends.
pub(super) async fn serve(direct: Arc<dyn Table>, listener: TcpListener, token: String) {
    let carrier = Arc::new(Carrier {
        direct,
        token,
        places: Semaphore::new(CALLS_MOST),
    });
    let settings = || ListenerSettings {
        header_bytes: HEAD_BYTES,
        idle_timeout: IDLE_TIMEOUT,
    };
    let tracker = ConnectionTracker::default();
    let answering = move |request| {
        let carrier = Arc::clone(&carrier);
        async move { carrier.answer(request).await }
    };
    serve_connections(listener, settings, tracker, answering).await;
}

struct Carrier {
    direct: Arc<dyn Table>,
    token: String,
    places: Semaphore,
}

impl Carrier {
    async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let Ok(_place) = self.places.try_acquire() else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let body = Limited::new(request.into_body(), CALL_BYTES);
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let Some(carried) = decode::<CarriedCall>(&body.to_bytes()) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if carried.version != MESSAGE_VERSION || carried.token != self.token {
            return empty_response(StatusCode::FORBIDDEN);
        }
        let answer = self.carry(&carried.call).await;
        Response::new(whole_body(encode(&answer)))
    }

    async fn carry(&self, call: &TableCall) -> TableAnswer {
        if !self.direct.is_answering() {
            return call.not_made();
        }
        match call {
            TableCall::Commit(transaction) => {
                TableAnswer::Commit(self.direct.commit(transaction).await)
            }
            TableCall::Scan(range) => TableAnswer::Scan(self.direct.scan(range).await),
            TableCall::Changes {
                table,
                since,
                wait_ms,
            } => {
                let wait = Duration::from_millis(*wait_ms);
                TableAnswer::Changes(self.direct.changes(table, *since, wait).await)
            }
        }
    }
}
