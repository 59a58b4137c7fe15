//! Serves other nodes: relays their calls and answers probes.

use super::message::{
    CALLS_PATH, INCARNATION_PATH, MESSAGE_VERSION, PROBE_PATH, ProbeCall, RelayedCall, TableAnswer,
    TableCall, decode, encode,
};
use super::peers::Peers;
use crate::gateway::response::{CallerResponse, empty_response, full_body};
use crate::http::{ConnectionTracker, ListenerSettings, spawn_listener};
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

/// Concurrent calls; further ones are refused.
const MAX_CALLS: usize = 64;
/// Bounds a transaction of the largest size with its envelope.
const MAX_CALL_BYTES: usize = 2 * 1024 * 1024;
const MAX_HEADER_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

pub(super) struct PeerServer {
    incarnation: NodeId,
    direct: Arc<dyn Table>,
    peers: Arc<Peers>,
    token: String,
    slots: Semaphore,
}

impl PeerServer {
    /// Creates a server that relays calls over the direct connection to the table.
    pub(super) fn new(
        settings: &ServingSettings,
        direct: Arc<dyn Table>,
        peers: &Arc<Peers>,
        token: String,
    ) -> Self {
        Self {
            incarnation: settings.instance.clone(),
            direct,
            peers: Arc::clone(peers),
            token,
            slots: Semaphore::new(MAX_CALLS),
        }
    }

    /// Starts to serve, until the process ends.
    pub(super) fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        let settings = || ListenerSettings {
            header_bytes: MAX_HEADER_BYTES,
            idle_timeout: IDLE_TIMEOUT,
        };
        let tracker = ConnectionTracker::default();
        let handler = move |request| {
            let server = Arc::clone(&server);
            async move { server.answer(request).await }
        };
        spawn_listener(listener, settings, tracker, handler);
    }

    async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let response = match request.uri().path() {
            INCARNATION_PATH => Ok(Response::new(full_body(
                self.incarnation.as_str().to_owned(),
            ))),
            CALLS_PATH => self.relay_call(request).await,
            PROBE_PATH => self.probe_for_peer(request).await,
            _ => Err(StatusCode::NOT_FOUND),
        };
        response.unwrap_or_else(empty_response)
    }

    async fn relay_call(&self, request: Request<Incoming>) -> Result<CallerResponse, StatusCode> {
        let _slot = self.acquire_slot()?;
        let body = read_body(request).await?;
        let relayed: RelayedCall = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
        self.check(relayed.version, &relayed.token)?;
        Ok(encoded(&self.call_table(&relayed.call).await))
    }

    async fn probe_for_peer(
        &self,
        request: Request<Incoming>,
    ) -> Result<CallerResponse, StatusCode> {
        let _slot = self.acquire_slot()?;
        let body = read_body(request).await?;
        let probe: ProbeCall = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
        self.check(probe.version, &probe.token)?;
        Ok(encoded(&self.peers.probe(&probe.life, probe.address).await))
    }

    fn acquire_slot(&self) -> Result<SemaphorePermit<'_>, StatusCode> {
        let slot = self.slots.try_acquire();
        slot.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Refuses messages of another version or without this node's token.
    fn check(&self, version: u8, token: &str) -> Result<(), StatusCode> {
        match version == MESSAGE_VERSION && token == self.token {
            true => Ok(()),
            false => Err(StatusCode::FORBIDDEN),
        }
    }

    async fn call_table(&self, call: &TableCall) -> TableAnswer {
        if !self.direct.is_answering() {
            return call.not_sent();
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
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES)
        .collect()
        .await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(body.to_bytes())
}

fn encoded(answer: &impl Serialize) -> CallerResponse {
    Response::new(full_body(encode(answer)))
}
