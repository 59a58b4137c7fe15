//! Which other nodes there are, and which one carries calls for this one.

use super::message::{
    CALLS_PATH, CarriedCall, MESSAGE_VERSION, Reach, TableAnswer, TableCall, decode, encode,
};
use crate::events::{self, Event};
use crate::follow::{FleetScaledDuration, PollTiming, ViewReceiver, follow};
use crate::http::{ConnectionPool, Exchange, Reuse, SendFailure, WholeBody};
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::{KeyRange, ReadError, Table, Transaction, scan_all};
use crate::usage::seen_lead;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_types::{Distance, NodeId, RegionName, Topology, ZoneName};
use sloetrail_usage::ClockLead;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Nodes start together, and all of them write their rows then.
const REGISTER_RETRY: Duration = Duration::from_millis(400);
/// A node that registered before it had any answer of the table does so again soon.
const CLOCK_UNKNOWN_PAUSE: Duration = Duration::from_millis(500);
/// All nodes ask the table much when they start together. Its answers some seconds later
/// tell how near it is.
const SETTLED_PAUSE: Duration = Duration::from_secs(5);
/// Clocks drift apart by under 0.1 ms a second.
const REGISTER_PERIOD: Duration = Duration::from_secs(600);
/// How often the rows are asked for: they change when nodes start.
const FOLLOW_PAUSE: Duration = Duration::from_secs(4);
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
/// Peers that are asked for one call.
const PEERS_ASKED_MOST: usize = 3;
/// A peer that failed is not asked for this long, if there are others.
const FAILED_PAUSE: Duration = Duration::from_millis(1_000);
/// After no peer could help, the direct way is tried alone for this long.
const HELPLESS_PAUSE: Duration = Duration::from_millis(400);
/// How long a peer may take over a call, beyond the time for which it is held.
const CALL_TIME: Duration = Duration::from_millis(600);
/// Calls in a row that peers left without any answer after which the node counts as cut
/// off from all of them: a single peer may be frozen or gone.
const SILENCES_LEAST: u32 = 2;
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What a node tells the others of itself, in a row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerEntry {
    /// Where it listens for other nodes.
    pub(super) address: SocketAddr,
    /// Its zone.
    pub(super) zone: ZoneName,
    /// The region of its zone; nothing if that is not known.
    #[serde(default)]
    pub(super) region: Option<RegionName>,
    /// Its rank among candidates for a lease.
    pub(super) candidate_rank: u32,
    /// What a caller must show: it knows the row, and means this life of the node.
    pub(super) token: String,
    /// How far it sees wall-clock time ahead of the table's clock; nothing before it knows
    /// that clock.
    #[serde(default)]
    pub(super) clock_lead: Option<ClockLead>,
    /// How long an ordinary answer of the table takes to reach it, in microseconds; nothing
    /// before some time has passed since its start.
    #[serde(default)]
    pub(super) table_time_us: Option<u64>,
}

/// Writes the node's row until the table has taken it, and anew from time to time, for
/// clocks drift.
pub(super) async fn register(table: Arc<dyn Table>, node: String, mut entry: PeerEntry) {
    let started_at = BootInstant::now();
    loop {
        entry.clock_lead = seen_lead(&*table);
        let is_settled = started_at.elapsed() >= SETTLED_PAUSE;
        let table_time = table.ordinary_time().as_micros() as u64;
        entry.table_time_us = is_settled.then_some(table_time);
        let row = serde_json::to_vec(&entry).unwrap_or_default();
        let transaction = Transaction::new().put(rows::node(&node), row);
        let is_registered = table.commit(&transaction).await.is_ok();
        let pause = match (is_registered, entry.clock_lead) {
            (false, _) => REGISTER_RETRY,
            (true, None) => CLOCK_UNKNOWN_PAUSE,
            (true, Some(_)) if !is_settled => SETTLED_PAUSE,
            (true, Some(_)) => REGISTER_PERIOD,
        };
        tokio::time::sleep(pause).await;
    }
}

/// How far each node sees wall-clock time ahead of the table's clock.
pub(crate) async fn read_clock_leads(table: &dyn Table) -> Result<Vec<ClockLead>, ReadError> {
    let page = scan_all(table, KeyRange::all(rows::NODES, rows::NODES)).await?;
    let entries = page.rows.iter();
    let entries = entries.filter_map(|row| serde_json::from_slice::<PeerEntry>(&row.value).ok());
    Ok(entries.filter_map(|entry| entry.clock_lead).collect())
}

/// The other nodes.
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
    /// The peer that is asked first.
    current: Option<String>,
    failed_at: HashMap<String, BootInstant>,
    /// Until when peers that may carry such calls are not asked.
    helpless_until: BTreeMap<Reach, BootInstant>,
    /// Calls in a row that peers left without any answer.
    silences: u32,
}

impl PeerState {
    /// A peer has carried a call; true if it is now the one that is asked first. It stays
    /// that until it fails: calls that were under way come back from others too.
    fn note_carried(&mut self, name: &str) -> bool {
        self.failed_at.remove(name);
        let has_begun = self.current.is_none();
        if has_begun {
            self.current = Some(name.to_owned());
        }
        has_begun
    }

    /// A peer did not answer a call at all.
    fn note_silence(&mut self) {
        self.silences = self.silences.saturating_add(1);
    }

    /// A peer gave an answer, whatever it says: others can be reached.
    fn note_answered(&mut self) {
        self.silences = 0;
    }

    fn are_silent(&self) -> bool {
        self.silences >= SILENCES_LEAST
    }

    /// The table answers this node directly: what was seen of peers before is out of date
    /// when it is away the next time. Returns the peer that carried calls, if one did.
    fn note_direct(&mut self) -> Option<String> {
        self.silences = 0;
        self.current.take()
    }

    /// A peer could not carry a call; true if it was the one that is asked first.
    fn note_failed(&mut self, name: &str, now: BootInstant) -> bool {
        self.failed_at.insert(name.to_owned(), now);
        let has_ended = self.current.as_deref() == Some(name);
        if has_ended {
            self.current = None;
        }
        has_ended
    }
}

impl Peers {
    /// Follows the rows of the other nodes.
    pub(super) fn follow(settings: &ServingSettings, table: &Arc<dyn Table>) -> Self {
        let pace = PollTiming {
            delay: FleetScaledDuration::fixed(FOLLOW_PAUSE),
            long_poll_timeout: FleetScaledDuration::fixed(FOLLOW_WAIT),
        };
        Self {
            own_name: settings.node.clone(),
            topology: settings.topology.clone(),
            entries: follow(Arc::clone(table), rows::NODES, rows::NODES, pace),
            connections: Arc::new(ConnectionPool::new()),
            started_at: BootInstant::now(),
            state: Mutex::default(),
        }
    }

    /// The table's answer to a call, if a peer that may carry it can get one. A transaction
    /// that a peer may have carried out is not given to another one: its outcome is unknown.
    pub(super) async fn carry(&self, call: TableCall) -> Option<TableAnswer> {
        let reach = match self.topology.has_regions() {
            true => call.reach(),
            false => Reach::Anywhere,
        };
        if self.is_helpless(reach) {
            return None;
        }
        for (name, entry) in self.in_order(reach) {
            let asked = self.ask(&entry, &call).await;
            // A kept connection that is silent says nothing of the peer.
            if asked
                .as_ref()
                .is_err_and(|failure| *failure != SendFailure::KeptSilent)
            {
                self.state().note_silence();
            }
            let (answer, cause) = match asked {
                Ok(answer) => (answer, "the table does not answer it either"),
                Err(SendFailure::NotSent) => (call.not_made(), "it cannot be reached"),
                Err(_) => (call.without_answer(), "it did not answer"),
            };
            if answer.is_of_table() {
                self.note_carried(&name);
                return Some(answer);
            }
            self.note_failed(&name, cause);
            if answer.may_have_been_done() {
                return Some(answer);
            }
        }
        self.note_helpless(reach);
        None
    }

    /// The table answers this node directly again.
    pub(super) fn note_direct(&self) {
        let carried_by = self.state().note_direct();
        if let Some(peer) = carried_by {
            let cause = "the table answers again";
            events::emit(&Event::RelayEnded { peer: &peer, cause });
        }
    }

    /// The peers to ask: the one that helped last, then others, the nearest first and those
    /// that failed lately last.
    pub(super) fn in_order(&self, reach: Reach) -> Vec<(String, PeerEntry)> {
        let view = self.entries.borrow().clone();
        let others = view.rows.iter().filter(|(name, _)| **name != self.own_name);
        let mut peers: Vec<(String, PeerEntry)> = others
            .filter_map(|(name, row)| {
                Some((name.clone(), serde_json::from_slice(&row.value).ok()?))
            })
            .filter(|(_, entry)| self.may_carry(entry, reach))
            .collect();
        peers.shuffle(&mut rand::rng());
        let state = self.state();
        let now = BootInstant::now();
        peers.sort_by_key(|(name, entry)| {
            let failed_at = state.failed_at.get(name);
            let has_failed = failed_at.is_some_and(|at| now < *at + FAILED_PAUSE);
            let is_current = state.current.as_ref() == Some(name);
            (has_failed, !is_current, self.distance(entry))
        });
        peers.truncate(PEERS_ASKED_MOST);
        peers
    }

    fn may_carry(&self, entry: &PeerEntry, reach: Reach) -> bool {
        match reach {
            Reach::OwnRegion => self.distance(entry) < Distance::Elsewhere,
            Reach::Anywhere => true,
        }
    }

    fn distance(&self, entry: &PeerEntry) -> Distance {
        self.topology
            .distance_to(&entry.zone, entry.region.as_ref())
    }

    async fn ask(&self, entry: &PeerEntry, call: &TableCall) -> Result<TableAnswer, SendFailure> {
        let held = match call {
            TableCall::Changes { wait_ms, .. } => Duration::from_millis(*wait_ms),
            TableCall::Commit(_) | TableCall::Scan(_) => Duration::ZERO,
        };
        let deadline = BootInstant::now() + CALL_TIME + held;
        let message = encode(&CarriedCall {
            version: MESSAGE_VERSION,
            token: entry.token.clone(),
            call: call.clone(),
        });
        let request = (Method::POST, CALLS_PATH, message);
        let answer = self.send(entry.address, request, deadline).await?;
        decode(&answer).ok_or(SendFailure::Lost)
    }

    /// Sends a request that may repeat: once more over a new connection, with as much time,
    /// if a kept one says nothing.
    pub(super) async fn send_repeatable(
        &self,
        address: SocketAddr,
        request: (Method, &'static str, Vec<u8>),
        time: Duration,
    ) -> Result<Bytes, SendFailure> {
        let began = BootInstant::now();
        let first = self.send_over(address, request.clone(), Reuse::Any, began + time);
        match first.await {
            Err(SendFailure::KeptSilent) => {
                let (reuse, deadline) = (Reuse::AnsweredSince(began), BootInstant::now() + time);
                self.send_over(address, request, reuse, deadline).await
            }
            answered => answered,
        }
    }

    /// Sends a request to a peer and reads its answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: (Method, &'static str, Vec<u8>),
        deadline: BootInstant,
    ) -> Result<Bytes, SendFailure> {
        self.send_over(address, request, Reuse::Any, deadline).await
    }

    async fn send_over(
        &self,
        address: SocketAddr,
        (method, path, body): (Method, &'static str, Vec<u8>),
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Bytes, SendFailure> {
        let mut request = Request::new(WholeBody::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = http::Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let pool = &self.connections;
        let exchange = Exchange::send(pool, address, request, reuse, deadline).await?;
        let answer = exchange.whole(ANSWER_BYTES, deadline).await?;
        self.state().note_answered();
        match answer.status.is_success() {
            true => Ok(answer.body),
            false => Err(SendFailure::NotSent),
        }
    }

    /// The names of the nodes that have registered, this one included; nothing before this
    /// node is among them and has read them once more since its start. Until then nodes that
    /// started together may each take themselves for the only one.
    pub(crate) fn names(&self) -> Option<Vec<String>> {
        let view = self.entries.borrow();
        let is_read_again = self.started_at.elapsed() >= FOLLOW_PAUSE + FOLLOW_WAIT;
        let is_known = is_read_again && view.rows.contains_key(&self.own_name);
        is_known.then(|| view.rows.keys().cloned().collect())
    }

    /// Where the node of a life listens for others, as its row says.
    pub(super) fn address_of(&self, life: &NodeId) -> Option<SocketAddr> {
        let view = self.entries.borrow();
        let row = view.rows.get(node_name(life))?;
        let entry: PeerEntry = serde_json::from_slice(&row.value).ok()?;
        Some(entry.address)
    }

    fn note_carried(&self, name: &str) {
        let has_begun = self.state().note_carried(name);
        if has_begun {
            events::emit(&Event::RelayBegan { peer: name });
        }
    }

    fn note_failed(&self, name: &str, cause: &str) {
        let has_ended = self.state().note_failed(name, BootInstant::now());
        if has_ended {
            events::emit(&Event::RelayEnded { peer: name, cause });
        }
    }

    fn note_helpless(&self, reach: Reach) {
        let until = BootInstant::now() + HELPLESS_PAUSE;
        self.state().helpless_until.insert(reach, until);
    }

    fn is_helpless(&self, reach: Reach) -> bool {
        let until = self.state().helpless_until.get(&reach).copied();
        until.is_some_and(|until| BootInstant::now() < until)
    }

    /// True if the peers that were asked last did not answer at all.
    pub(super) fn are_silent(&self) -> bool {
        self.state().are_silent()
    }

    /// True while peers carry this node's calls, but none of its own region can.
    pub(super) fn are_far_away(&self) -> bool {
        self.is_helping() && self.is_helpless(Reach::OwnRegion)
    }

    /// True while a peer carries this node's calls.
    pub(super) fn is_helping(&self) -> bool {
        self.state().current.is_some()
    }

    fn state(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().expect("not poisoned")
    }
}

/// The name of the node that a life is of.
pub(super) fn node_name(life: &NodeId) -> &str {
    life.as_str().split('/').next().unwrap_or_default()
}

#[cfg(test)]
mod tests;
