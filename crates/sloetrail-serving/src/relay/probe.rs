//! Probes whether an incarnation of another node runs, from this node or from a peer.

use super::message::{
    INCARNATION_PATH, MESSAGE_VERSION, PROBE_PATH, ProbeCall, RelayScope, decode, encode,
};
use super::peers::{PeerEntry, Peers, node_name};
use crate::http::SendFailure;
use crate::table::Row;
use http::Method;
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, Epoch, NodeId, digest};
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of nodes that probe the holder of a lease.
const WATCHERS: usize = 3;
/// A node is near the table if its response time is at most this multiple of the shortest one.
/// Response times from other regions are four to six times as long.
const NEAR_FACTOR: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProbeOutcome {
    Alive,
    /// The probe timed out.
    Silent,
    /// The connection was refused, or another incarnation answered.
    Gone,
}

impl ProbeOutcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Alive => "alive",
            ProbeOutcome::Silent => "silent",
            ProbeOutcome::Gone => "gone",
        }
    }
}

impl Peers {
    /// Probes an incarnation at an address.
    pub(super) async fn probe(&self, incarnation: &NodeId, address: SocketAddr) -> ProbeOutcome {
        let request = (Method::GET, INCARNATION_PATH, Vec::new());
        let started_at = BootInstant::now();
        match self.send_idempotent(address, request, PROBE_TIMEOUT).await {
            Ok(answer) if answer == incarnation.as_str().as_bytes() => ProbeOutcome::Alive,
            Ok(_) => ProbeOutcome::Gone,
            Err(SendFailure::TimedOut) => ProbeOutcome::Silent,
            Err(_) if started_at.elapsed() >= PROBE_TIMEOUT => ProbeOutcome::Silent,
            Err(_) => ProbeOutcome::Gone,
        }
    }

    /// Probes an incarnation at its registered address. A node that is not registered counts as
    /// alive, so that its lease has to expire.
    pub(crate) async fn probe_incarnation(&self, incarnation: &NodeId) -> ProbeOutcome {
        match self.address_of(incarnation) {
            Some(address) => self.probe(incarnation, address).await,
            None => ProbeOutcome::Alive,
        }
    }

    /// Asks a peer to probe an incarnation. Counts as alive if no peer gives a result.
    pub(crate) async fn probe_through_peer(&self, incarnation: &NodeId) -> ProbeOutcome {
        let Some(address) = self.address_of(incarnation) else {
            return ProbeOutcome::Alive;
        };
        let holder = node_name(incarnation);
        let mut others = self.by_preference(RelayScope::Anywhere).into_iter();
        let Some((_, other)) = others.rfind(|(name, _)| name != holder) else {
            return ProbeOutcome::Alive;
        };
        let message = encode(&ProbeCall {
            version: MESSAGE_VERSION,
            token: other.token.clone(),
            life: incarnation.clone(),
            address,
        });
        let request = (Method::POST, PROBE_PATH, message);
        let timeout = PROBE_TIMEOUT * 2;
        let answer = self
            .send_idempotent(other.address, request, timeout)
            .await
            .ok();
        let outcome = answer.and_then(|answer| decode(&answer));
        outcome.unwrap_or(ProbeOutcome::Alive)
    }

    /// Returns whether this node is one of the few in these regions that probe the holder of a
    /// lease. The selection changes with each term. Only nodes of candidate rank 0 are
    /// selected, and nodes near the table first: one of the watchers becomes the next holder,
    /// which opens batches and lists results sooner with short response times.
    pub(crate) fn is_watcher_of(
        &self,
        holder: &NodeId,
        epoch: Epoch,
        regions: &AllowedRegions,
    ) -> bool {
        let view = self.entries.borrow();
        let entry = |row: &Row| serde_json::from_slice::<PeerEntry>(&row.value).ok();
        let known = view
            .rows
            .iter()
            .filter_map(|(name, row)| Some((name, entry(row)?)));
        let candidates = known
            .filter(|(name, entry)| {
                let is_other = name.as_str() != node_name(holder);
                let may_compete = regions.allows(entry.region.as_ref());
                is_other && may_compete && entry.candidate_rank == 0
            })
            .map(|(name, entry)| Candidate {
                name,
                table_time_us: entry.table_time_us,
            });
        let watchers = draw_watchers(candidates.collect(), epoch);
        watchers.contains(&self.own_name.as_str())
    }
}

/// A node that may probe a holder and become the next one.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    name: &'a str,
    /// Usual response time of the table in microseconds.
    table_time_us: Option<u64>,
}

/// Selects the watchers of a term: a pseudo-random choice by epoch, with nodes near the table
/// first.
fn draw_watchers(mut candidates: Vec<Candidate<'_>>, epoch: Epoch) -> Vec<&str> {
    let times = candidates.iter().map(|candidate| candidate.table_time_us);
    let nearest = times.flatten().min().unwrap_or_default();
    candidates.sort_by_cached_key(|candidate| {
        let response_time = candidate.table_time_us;
        let is_near = response_time.is_some_and(|time| time <= nearest.saturating_mul(NEAR_FACTOR));
        let rank = digest(format!("{}/{}", epoch.0, candidate.name).as_bytes());
        (!is_near, rank)
    });
    let drawn = candidates.into_iter().take(WATCHERS);
    drawn.map(|candidate| candidate.name).collect()
}

#[cfg(test)]
mod tests;
