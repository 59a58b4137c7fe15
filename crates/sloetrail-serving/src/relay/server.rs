//! Answering other nodes: carrying their calls, and telling of lives.

use super::message::{
    CALLS_PATH, CarriedCall, LIFE_PATH, MESSAGE_VERSION, PROBE_PATH, ProbeCall, TableAnswer,
    TableCall, decode, encode,
};
use super::peers::Peers;
use crate::gateway::response::{CallerResponse, empty_response, full_body};
use crate::http::{ConnectionTracker, ListenerSettings, serve_connections};
use crate::settings::ServingSettings;
use crate::table::Table;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use sloetrail_types::NodeId;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Calls that are carried at a time; further ones are turned away.
const CALLS_MOST: usize = 64;
/// Bytes of one call: a transaction of the largest size, and its frame.
const CALL_BYTES: usize = 2 * 1024 * 1024;
const HEAD_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What a node does for others.
pub(super) struct PeerServer {
    life: NodeId,
    direct: Arc<dyn Table>,
    peers: Arc<Peers>,
    token: String,
    places: Semaphore,
}

impl PeerServer {
    /// A server of this life of a node, over its direct way to the table.
    pub(super) fn new(
        settings: &ServingSettings,
        direct: Arc<dyn Table>,
        peers: &Arc<Peers>,
        token: String,
    ) -> Self {
        Self {
            life: settings.instance.clone(),
            direct,
            peers: Arc::clone(peers),
            token,
            places: Semaphore::new(CALLS_MOST),
        }
    }

    /// Answers until the process ends.
    pub(super) async fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        let settings = || ListenerSettings {
            header_bytes: HEAD_BYTES,
            idle_timeout: IDLE_TIMEOUT,
        };
        let tracker = ConnectionTracker::default();
        let answering = move |request| {
            let server = Arc::clone(&server);
            async move { server.answer(request).await }
        };
        serve_connections(listener, settings, tracker, answering).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let answered = match request.uri().path() {
            LIFE_PATH => Ok(Response::new(full_body(self.life.as_str().to_owned()))),
            CALLS_PATH => self.carry_call(request).await,
            PROBE_PATH => self.probe_another(request).await,
            _ => Err(StatusCode::NOT_FOUND),
        };
        answered.unwrap_or_else(empty_response)
    }

    async fn carry_call(&self, request: Request<Incoming>) -> Result<CallerResponse, StatusCode> {
        let _place = self.take_place()?;
        let body = read_body(request).await?;
        let carried: CarriedCall = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
        self.check(carried.version, &carried.token)?;
        Ok(encoded(&self.carry(&carried.call).await))
    }

    async fn probe_another(
        &self,
        request: Request<Incoming>,
    ) -> Result<CallerResponse, StatusCode> {
        let _place = self.take_place()?;
        let body = read_body(request).await?;
        let probe: ProbeCall = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
        self.check(probe.version, &probe.token)?;
        Ok(encoded(&self.peers.probe(&probe.life, probe.address).await))
    }

    fn take_place(&self) -> Result<SemaphorePermit<'_>, StatusCode> {
        let place = self.places.try_acquire();
        place.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Refuses messages of another version, and of those who have not read the token.
    fn check(&self, version: u8, token: &str) -> Result<(), StatusCode> {
        match version == MESSAGE_VERSION && token == self.token {
            true => Ok(()),
            false => Err(StatusCode::FORBIDDEN),
        }
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

async fn read_body(request: Request<Incoming>) -> Result<Bytes, StatusCode> {
    let body = Limited::new(request.into_body(), CALL_BYTES)
        .collect()
        .await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(body.to_bytes())
}

fn encoded(answer: &impl Serialize) -> CallerResponse {
    Response::new(full_body(encode(answer)))
}
