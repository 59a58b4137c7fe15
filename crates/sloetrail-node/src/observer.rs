//! Asking engines how they are, and telling the zone.
//!
//! Each engine of the zone has one observer among the zone's nodes, by rendezvous
//! hashing, which asks it each period. News of a changed state goes out at once,
//! news of load on a slower period.

use crate::gateway::ServicePool;
use crate::gossip::to_report;
use crate::state::NodeState;
use futures_util::future::join_all;
use sloetrail_clients::{CallError, EngineLoadState, EngineStatus, Machine};
use sloetrail_membership::{EngineNews, EngineNewsState, NameDigest, ServiceCapacity};
use sloetrail_types::{EngineId, Timestamp, WeightVersion, digest, rendezvous_weight};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const ASK_PERIOD: Duration = Duration::from_millis(1_000);
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
const NEWS_PERIOD: Duration = Duration::from_millis(2_500);
const FAILURES_UNTIL_UNREACHABLE: u32 = 2;

#[derive(Default)]
struct Observed {
    state: Option<EngineNewsState>,
    version: WeightVersion,
    failures: u32,
    told_at: Timestamp,
}

/// Observes until the node ends.
pub(crate) async fn observe_engines(state: Arc<NodeState>) {
    let mut observed: BTreeMap<String, Observed> = BTreeMap::new();
    loop {
        let machines = observed_engines(&state);
        observed.retain(|id, _| machines.iter().any(|machine| machine.id == *id));
        let asked_at = state.now();
        metrics::counter!("sloetrail_status_calls_total", "part" => "observer")
            .increment(machines.len() as u64);
        let answers = join_all(machines.iter().map(|machine| ask(&state, machine))).await;
        let mut news = Vec::new();
        for (machine, answer) in machines.iter().zip(answers) {
            let entry = observed.entry(machine.id.clone()).or_default();
            if let Some(item) = judge(entry, machine, answer, asked_at, state.now()) {
                take_in(&state, machine, &item);
                if must_tell(entry, &item, state.now()) {
                    news.push(item);
                }
            }
        }
        state.membership().set_capacity(capacity(&state));
        if !news.is_empty() {
            let outgoing = state.membership().engine_news(state.now(), &news);
            state.send_all(outgoing);
        }
        tokio::select! {
            () = tokio::time::sleep(ASK_PERIOD) => {}
            () = state.pools_changed.notified() => {}
            () = state.cancel.cancelled() => return,
        }
    }
}

/// What the zone's engines can do for other zones.
fn capacity(state: &NodeState) -> Vec<ServiceCapacity> {
    let pools = state.pools();
    let of_pool = |pool: &Arc<ServicePool>| ServiceCapacity {
        service: NameDigest::of(pool.name().as_str()),
        available: pool.available() as u32,
    };
    pools.iter().map(of_pool).collect()
}

/// The engines of the zone of which this node is the observer.
fn observed_engines(state: &NodeState) -> Vec<Machine> {
    let alive = state.membership().alive();
    let directory = state.directory();
    let own = &state.settings.node;
    let observer_of = |engine: &str| {
        alive
            .iter()
            .max_by_key(|node| rendezvous_weight(engine, node.as_str()))
    };
    directory
        .engines_in(&state.settings.zone)
        .filter(|machine| observer_of(&machine.id) == Some(own))
        .cloned()
        .collect()
}

enum Asked {
    Status(EngineStatus),
    /// Nobody listens there, or another engine has taken the address over.
    Gone,
    /// No answer in time.
    Silent,
}

async fn ask(state: &NodeState, machine: &Machine) -> Asked {
    let engines = &state.clients.engines;
    match engines.status(machine.address, ASK_TIMEOUT).await {
        Ok(status) if status.engine.as_str() == machine.id => Asked::Status(status),
        Ok(_) | Err(CallError::NotExecuted { .. }) => Asked::Gone,
        Err(CallError::Unknown { .. }) => Asked::Silent,
    }
}

/// What an answer, or its absence, says of an engine.
fn judge(
    entry: &mut Observed,
    machine: &Machine,
    answer: Asked,
    asked_at: Timestamp,
    now: Timestamp,
) -> Option<EngineNews> {
    let engine = digest(machine.id.as_bytes());
    let age_ms = now.since(asked_at).as_millis() as u64;
    let Asked::Status(status) = answer else {
        entry.failures += 1;
        let unreachable =
            matches!(answer, Asked::Gone) || entry.failures >= FAILURES_UNTIL_UNREACHABLE;
        return unreachable.then_some(EngineNews {
            engine,
            state: EngineNewsState::Unreachable,
            load: 0,
            capacity: 0,
            version: WeightVersion(0),
            age_ms,
        });
    };
    entry.failures = 0;
    Some(news_of_status(engine, &status, age_ms))
}

/// An engine's own status as news.
pub(crate) fn news_of_status(engine: u64, status: &EngineStatus, age_ms: u64) -> EngineNews {
    EngineNews {
        engine,
        state: match status.state {
            EngineLoadState::Serving => EngineNewsState::Serving,
            EngineLoadState::Draining => EngineNewsState::Draining,
        },
        load: status.running + status.queued,
        capacity: status.capacity,
        version: status.version,
        age_ms,
    }
}

fn take_in(state: &NodeState, machine: &Machine, news: &EngineNews) {
    let pool = machine
        .service
        .as_ref()
        .and_then(|service| state.pool(service));
    if let Some(pool) = pool {
        pool.report(
            &EngineId::new(machine.id.clone()),
            to_report(state.now(), news),
        );
    }
}

fn must_tell(entry: &mut Observed, news: &EngineNews, now: Timestamp) -> bool {
    let changed = entry.state != Some(news.state) || entry.version != news.version;
    if !changed && now.since(entry.told_at) < NEWS_PERIOD {
        return false;
    }
    if entry.state != Some(news.state) {
        log::info!(target: "engine", "Engine state is {:?}.", news.state);
    }
    entry.state = Some(news.state);
    entry.version = news.version;
    entry.told_at = now;
    true
}
