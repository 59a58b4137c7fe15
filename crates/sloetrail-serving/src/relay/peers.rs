//! Registers this node, follows the other nodes and relays calls through them.

use super::message::{
    CALLS_PATH, MESSAGE_VERSION, RelayScope, RelayedCall, TableAnswer, TableCall, decode, encode,
};
use crate::events::{self, Event};
use crate::follow::{FleetScaledDuration, PollTiming, ViewReceiver, follow};
use crate::http::{ConnectionPool, Exchange, FullBody, Reuse, SendFailure};
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::{KeyRange, ReadError, Table, Transaction, scan_all};
use crate::usage::measured_offset;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request};
use parking_lot::{Mutex, MutexGuard};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_types::{Distance, NodeId, RegionName, Topology, ZoneName};
use sloetrail_usage::ClockOffset;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Nodes that start together contend for the table.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay before a node registers again that did not yet know the table's clock.
const CLOCK_UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay after the start until response times of the table are representative: all nodes call it
/// often while they start together.
const SETTLING_DELAY: Duration = Duration::from_secs(5);
/// Bounds the error of the registered clock lead, since clocks drift.
const REGISTER_INTERVAL: Duration = Duration::from_secs(600);
/// The rows change only when nodes start or register again.
const FOLLOW_DELAY: Duration = Duration::from_secs(4);
const FOLLOW_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that are tried for one call.
const MAX_PEERS_PER_CALL: usize = 3;
/// A peer that failed is tried last for this time.
const FAILED_PEER_BACKOFF: Duration = Duration::from_millis(1_000);
/// After no peer could relay a call, only the direct connection is used for this time.
const NO_RELAY_BACKOFF: Duration = Duration::from_millis(400);
/// How long a peer may take over a call, in addition to its long-poll timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Consecutive calls without any answer from peers after which this node counts as isolated. A
/// single peer may have failed.
const MIN_UNANSWERED_CALLS: u32 = 2;
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The row with which a node registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerEntry {
    /// Address of its server for other nodes.
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneName,
    /// None if the region of its zone is unknown.
    #[serde(default)]
    pub(super) region: Option<RegionName>,
    pub(super) candidate_rank: u32,
    /// Token that callers must present. It identifies this incarnation of the node and is known
    /// only to readers of the table.
    pub(super) token: String,
    /// How far wall-clock time is ahead of the table's clock on this node. None until that
    /// clock is known.
    #[serde(default)]
    pub(super) clock_lead: Option<ClockOffset>,
    /// Usual response time of the table in microseconds. None until some time after the start.
    #[serde(default)]
    pub(super) table_time_us: Option<u64>,
}

/// Registers the node, and registers it again at intervals, since clocks drift.
pub(super) async fn register(table: Arc<dyn Table>, node: String, mut entry: PeerEntry) {
    let started_at = BootInstant::now();
    loop {
        entry.clock_lead = measured_offset(&*table);
        let is_settled = started_at.elapsed() >= SETTLING_DELAY;
        let table_time = table.typical_latency().as_micros() as u64;
        entry.table_time_us = is_settled.then_some(table_time);
        let row = serde_json::to_vec(&entry).unwrap_or_default();
        let transaction = Transaction::new().put(rows::node(&node), row);
        let is_registered = table.commit(&transaction).await.is_ok();
        let delay = match (is_registered, entry.clock_lead) {
            (false, _) => REGISTER_RETRY_DELAY,
            (true, None) => CLOCK_UNKNOWN_RETRY_DELAY,
            (true, Some(_)) if !is_settled => SETTLING_DELAY,
            (true, Some(_)) => REGISTER_INTERVAL,
        };
        tokio::time::sleep(delay).await;
    }
}

/// Returns how far wall-clock time is ahead of the table's clock on each node.
pub(crate) async fn read_clock_leads(table: &dyn Table) -> Result<Vec<ClockOffset>, ReadError> {
    let page = scan_all(table, KeyRange::all(rows::NODES, rows::NODES)).await?;
    let entries = page.rows.iter();
    let entries = entries.filter_map(|row| serde_json::from_slice::<PeerEntry>(&row.value).ok());
    Ok(entries.filter_map(|entry| entry.clock_lead).collect())
}

/// The other nodes, through which calls to the table can be relayed.
pub(crate) struct Peers {
    pub(super) own_name: String,
    topology: Topology,
    pub(super) entries: ViewReceiver,
    connections: Arc<ConnectionPool>,
    started_at: BootInstant,
    state: Mutex<PeerState>,
}

#[derive(Default)]
struct PeerState {
    /// The peer that is tried first.
    current: Option<String>,
    failed_at: HashMap<String, BootInstant>,
    /// Until when no peer of a scope is tried.
    no_relay_until: BTreeMap<RelayScope, BootInstant>,
    /// Consecutive calls without any answer from a peer.
    unanswered_calls: u32,
}

impl PeerState {
    /// Records that a peer relayed a call. Returns whether it is the new first choice. An
    /// existing first choice is kept until it fails, since calls in flight may also return from
    /// other peers.
    fn record_relayed(&mut self, name: &str) -> bool {
        self.failed_at.remove(name);
        let is_new_relay = self.current.is_none();
        if is_new_relay {
            self.current = Some(name.to_owned());
        }
        is_new_relay
    }

    /// Records that a peer did not answer a call.
    fn record_unanswered(&mut self) {
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
    }

    /// Records any answer of a peer: peers are reachable.
    fn record_answered(&mut self) {
        self.unanswered_calls = 0;
    }

    fn are_unresponsive(&self) -> bool {
        self.unanswered_calls >= MIN_UNANSWERED_CALLS
    }

    /// Records that the table answers directly and discards the state of peers, which would be
    /// outdated in the next outage. Returns the peer that relayed calls, if any.
    fn record_direct_answer(&mut self) -> Option<String> {
        self.unanswered_calls = 0;
        self.current.take()
    }

    /// Records that a peer could not relay a call. Returns whether it was the first choice.
    fn record_failure(&mut self, name: &str, now: BootInstant) -> bool {
        self.failed_at.insert(name.to_owned(), now);
        let was_current = self.current.as_deref() == Some(name);
        if was_current {
            self.current = None;
        }
        was_current
    }
}

impl Peers {
    pub(super) fn follow(settings: &ServingSettings, table: &Arc<dyn Table>) -> Self {
        let poll_timing = PollTiming {
            delay: FleetScaledDuration::fixed(FOLLOW_DELAY),
            long_poll_timeout: FleetScaledDuration::fixed(FOLLOW_LONG_POLL_TIMEOUT),
            max_age: None,
        };
        Self {
            own_name: settings.node.clone(),
            topology: settings.topology.clone(),
            entries: follow(Arc::clone(table), rows::NODES, rows::NODES, poll_timing),
            connections: Arc::new(ConnectionPool::new()),
            started_at: BootInstant::now(),
            state: Mutex::default(),
        }
    }

    /// Returns the table's answer to a call, if a permitted peer gets one. A transaction that
    /// may have been committed is not sent to another peer: its outcome is unknown.
    pub(super) async fn relay(&self, call: TableCall) -> Option<TableAnswer> {
        let scope = match self.topology.has_regions() {
            true => call.relay_scope(),
            false => RelayScope::Anywhere,
        };
        if self.has_no_relay(scope) {
            return None;
        }
        for (name, entry) in self.by_preference(scope) {
            let result = self.relay_through(&entry, &call).await;
            // An unresponsive reused connection does not show that the peer is unreachable.
            if result
                .as_ref()
                .is_err_and(|failure| *failure != SendFailure::ConnectionUnresponsive)
            {
                self.state().record_unanswered();
            }
            let (answer, cause) = match result {
                Ok(answer) => (answer, "the table does not answer the peer either"),
                Err(SendFailure::NotSent) => (call.not_sent(), "the peer is unreachable"),
                Err(_) => (call.lost_answer(), "the peer did not answer"),
            };
            if answer.is_from_table() {
                self.record_relayed(&name);
                return Some(answer);
            }
            self.record_failure(&name, cause);
            if answer.may_have_been_done() {
                return Some(answer);
            }
        }
        self.record_no_relay(scope);
        None
    }

    /// Records that the table answers this node directly.
    pub(super) fn record_direct_answer(&self) {
        let relay = self.state().record_direct_answer();
        if let Some(peer) = relay {
            let cause = "the table answers this node again";
            events::emit(&Event::RelayEnded { peer: &peer, cause });
        }
    }

    /// Returns the peers to try: the one that relayed last, then the others by distance, with
    /// those that failed recently last.
    pub(super) fn by_preference(&self, scope: RelayScope) -> Vec<(String, PeerEntry)> {
        let view = self.entries.borrow().clone();
        let others = view.rows.iter().filter(|(name, _)| **name != self.own_name);
        let mut peers: Vec<(String, PeerEntry)> = others
            .filter_map(|(name, row)| {
                Some((name.clone(), serde_json::from_slice(&row.value).ok()?))
            })
            .filter(|(_, entry)| self.may_relay(entry, scope))
            .collect();
        peers.shuffle(&mut rand::rng());
        let state = self.state();
        let now = BootInstant::now();
        peers.sort_by_key(|(name, entry)| {
            let failed_at = state.failed_at.get(name);
            let has_failed = failed_at.is_some_and(|at| now < *at + FAILED_PEER_BACKOFF);
            let is_current = state.current.as_ref() == Some(name);
            (has_failed, !is_current, self.distance(entry))
        });
        peers.truncate(MAX_PEERS_PER_CALL);
        peers
    }

    fn may_relay(&self, entry: &PeerEntry, scope: RelayScope) -> bool {
        match scope {
            RelayScope::OwnRegion => self.distance(entry) < Distance::Elsewhere,
            RelayScope::Anywhere => true,
        }
    }

    fn distance(&self, entry: &PeerEntry) -> Distance {
        self.topology
            .distance_to(&entry.zone, entry.region.as_ref())
    }

    async fn relay_through(
        &self,
        entry: &PeerEntry,
        call: &TableCall,
    ) -> Result<TableAnswer, SendFailure> {
        let hold_time = match call {
            TableCall::Changes { wait_ms, .. } => Duration::from_millis(*wait_ms),
            TableCall::Commit(_) | TableCall::Scan(_) => Duration::ZERO,
        };
        let deadline = BootInstant::now() + CALL_TIMEOUT + hold_time;
        let message = encode(&RelayedCall {
            version: MESSAGE_VERSION,
            token: entry.token.clone(),
            call: call.clone(),
        });
        let request = (Method::POST, CALLS_PATH, message);
        let answer = self.send(entry.address, request, deadline).await?;
        decode(&answer).ok_or(SendFailure::Lost)
    }

    /// Sends an idempotent request. Retries it once over a new connection, with the same
    /// timeout, if a reused connection is unresponsive.
    pub(super) async fn send_idempotent(
        &self,
        address: SocketAddr,
        request: (Method, &'static str, Vec<u8>),
        timeout: Duration,
    ) -> Result<Bytes, SendFailure> {
        let started_at = BootInstant::now();
        let first =
            self.send_with_reuse(address, request.clone(), Reuse::Any, started_at + timeout);
        match first.await {
            Err(SendFailure::ConnectionUnresponsive) => {
                let (reuse, deadline) = (
                    Reuse::RespondedSince(started_at),
                    BootInstant::now() + timeout,
                );
                self.send_with_reuse(address, request, reuse, deadline)
                    .await
            }
            response => response,
        }
    }

    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: (Method, &'static str, Vec<u8>),
        deadline: BootInstant,
    ) -> Result<Bytes, SendFailure> {
        self.send_with_reuse(address, request, Reuse::Any, deadline)
            .await
    }

    async fn send_with_reuse(
        &self,
        address: SocketAddr,
        (method, path, body): (Method, &'static str, Vec<u8>),
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Bytes, SendFailure> {
        let mut request = Request::new(FullBody::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = http::Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let pool = &self.connections;
        let exchange = Exchange::send(pool, address, request, reuse, deadline).await?;
        let answer = exchange.read_to_end(MAX_ANSWER_BYTES, deadline).await?;
        self.state().record_answered();
        match answer.status.is_success() {
            true => Ok(answer.body),
            false => Err(SendFailure::NotSent),
        }
    }

    /// Returns the names of all registered nodes, including this one. None until this node has
    /// found its own row and read the rows again after its start; otherwise nodes that start
    /// together might each see only themselves.
    pub(crate) fn names(&self) -> Option<Vec<String>> {
        let view = self.entries.borrow();
        let is_reread = self.started_at.elapsed() >= FOLLOW_DELAY + FOLLOW_LONG_POLL_TIMEOUT;
        let is_known = is_reread && view.rows.contains_key(&self.own_name);
        is_known.then(|| view.rows.keys().cloned().collect())
    }

    /// Returns the registered address of the node of an incarnation.
    pub(super) fn address_of(&self, incarnation: &NodeId) -> Option<SocketAddr> {
        let view = self.entries.borrow();
        let row = view.rows.get(node_name(incarnation))?;
        let entry: PeerEntry = serde_json::from_slice(&row.value).ok()?;
        Some(entry.address)
    }

    fn record_relayed(&self, name: &str) {
        let is_new_relay = self.state().record_relayed(name);
        if is_new_relay {
            events::emit(&Event::RelayBegan { peer: name });
        }
    }

    fn record_failure(&self, name: &str, cause: &str) {
        let was_current = self.state().record_failure(name, BootInstant::now());
        if was_current {
            events::emit(&Event::RelayEnded { peer: name, cause });
        }
    }

    fn record_no_relay(&self, scope: RelayScope) {
        let until = BootInstant::now() + NO_RELAY_BACKOFF;
        self.state().no_relay_until.insert(scope, until);
    }

    fn has_no_relay(&self, scope: RelayScope) -> bool {
        let until = self.state().no_relay_until.get(&scope).copied();
        until.is_some_and(|until| BootInstant::now() < until)
    }

    /// Returns whether the last calls to peers got no answer at all.
    pub(super) fn are_unresponsive(&self) -> bool {
        self.state().are_unresponsive()
    }

    /// Returns whether peers relay this node's calls, but none of its own region can.
    pub(super) fn lacks_regional_relay(&self) -> bool {
        self.has_relay() && self.has_no_relay(RelayScope::OwnRegion)
    }

    /// Returns whether a peer relays this node's calls.
    pub(super) fn has_relay(&self) -> bool {
        self.state().current.is_some()
    }

    fn state(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock()
    }
}

pub(super) fn node_name(incarnation: &NodeId) -> &str {
    incarnation.as_str().split('/').next().unwrap_or_default()
}

#[cfg(test)]
mod tests;
