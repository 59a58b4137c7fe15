//! Probes of another node: whether a life of it answers, from here or from elsewhere.

use super::message::{LIFE_PATH, MESSAGE_VERSION, PROBE_PATH, ProbeCall, decode, encode};
use super::peers::{PeerEntry, Peers, node_name};
use crate::http::SendFailure;
use crate::table::Row;
use http::Method;
use serde::{Deserialize, Serialize};
use sloetrail_types::{Epoch, NodeId, digest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long a node may take to say that it lives.
const PROBE_TIME: Duration = Duration::from_millis(150);
/// Nodes that watch over the holder of a lease.
const WATCHERS: usize = 3;

/// What a probe of a node has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProbeOutcome {
    /// It has answered.
    Alive,
    /// Nothing came.
    Silent,
    /// Its machine says that it is not there, or another life has taken its place.
    Gone,
}

impl ProbeOutcome {
    /// A word for logs.
    pub(crate) fn word(self) -> &'static str {
        match self {
            ProbeOutcome::Alive => "alive",
            ProbeOutcome::Silent => "silent",
            ProbeOutcome::Gone => "gone",
        }
    }
}

impl Peers {
    /// Whether a life of a node answers at an address.
    pub(super) async fn probe(&self, life: &NodeId, address: SocketAddr) -> ProbeOutcome {
        let request = (Method::GET, LIFE_PATH, Vec::new());
        let began = Instant::now();
        match self.send_repeatable(address, request, PROBE_TIME).await {
            Ok(answer) if answer == life.as_str().as_bytes() => ProbeOutcome::Alive,
            // Another life of the node answers.
            Ok(_) => ProbeOutcome::Gone,
            Err(SendFailure::OutOfTime) => ProbeOutcome::Silent,
            Err(_) if began.elapsed() >= PROBE_TIME => ProbeOutcome::Silent,
            Err(_) => ProbeOutcome::Gone,
        }
    }

    /// Whether a life of a node answers. A node that is not known counts as alive: its
    /// lease still has to run out.
    pub(crate) async fn probe_life(&self, life: &NodeId) -> ProbeOutcome {
        match self.address_of(life) {
            Some(address) => self.probe(life, address).await,
            None => ProbeOutcome::Alive,
        }
    }

    /// Whether a life of a node answers another peer. Where none can say, it counts as
    /// alive.
    pub(crate) async fn probe_through_another(&self, life: &NodeId) -> ProbeOutcome {
        let Some(address) = self.address_of(life) else {
            return ProbeOutcome::Alive;
        };
        let holder = node_name(life);
        let mut others = self.in_order().into_iter();
        let Some((_, other)) = others.rfind(|(name, _)| name != holder) else {
            return ProbeOutcome::Alive;
        };
        let message = encode(&ProbeCall {
            version: MESSAGE_VERSION,
            token: other.token.clone(),
            life: life.clone(),
            address,
        });
        let request = (Method::POST, PROBE_PATH, message);
        let time = PROBE_TIME * 2;
        let answer = self
            .send_repeatable(other.address, request, time)
            .await
            .ok();
        let seen = answer.and_then(|answer| decode(&answer));
        seen.unwrap_or(ProbeOutcome::Alive)
    }

    /// True if this node is among the few that watch over the holder of a lease. Which
    /// ones they are changes with each term; small machines are not among them.
    pub(crate) fn watches_over(&self, holder: &NodeId, epoch: Epoch) -> bool {
        let view = self.entries.borrow();
        let entry = |row: &Row| serde_json::from_slice::<PeerEntry>(&row.value).ok();
        let candidates = view.rows.iter().filter(|(name, row)| {
            let rank = entry(row).map(|entry| entry.candidate_rank);
            name.as_str() != node_name(holder) && rank == Some(0)
        });
        let mut drawn: Vec<(u64, &String)> = candidates
            .map(|(name, _)| (digest(format!("{}/{name}", epoch.0).as_bytes()), name))
            .collect();
        drawn.sort_unstable();
        let mut watchers = drawn.iter().take(WATCHERS);
        watchers.any(|(_, name)| **name == self.own_name)
    }
}
