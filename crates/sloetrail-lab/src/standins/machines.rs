//! The machine list, which lags behind the truth.

use super::fault_layer::FaultControl;
use super::stand_in::StandIn;
use axum::extract::{Query, State};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use sloetrail_clients::{Machine, MachineList, MachineState};
use sloetrail_types::ZoneName;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Gives the addresses that one zone uses to reach a machine.
pub type MachineRewrite = Arc<dyn Fn(&ZoneName, Machine) -> Machine + Send + Sync>;

/// The lists and how late they are served.
pub struct MachineListState {
    /// Each list since its time; the newest one that is old enough is served.
    lists: Mutex<Vec<(Instant, MachineList)>>,
    lag: Duration,
    rewrite: MachineRewrite,
}

impl MachineListState {
    fn served(&self) -> MachineList {
        let lists = self.lists.lock().expect("not poisoned");
        let old_enough = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        old_enough.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Machine>)) {
        let mut lists = self.lists.lock().expect("not poisoned");
        let mut next = lists
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        next.version += 1;
        edit(&mut next.machines);
        lists.push((Instant::now(), next));
    }
}

/// The machine list stand-in.
pub type MachineListStandIn = StandIn<MachineListState>;

impl MachineListStandIn {
    /// Starts an empty list that shows changes after `lag`.
    pub async fn start(
        address: SocketAddr,
        lag: Duration,
        rewrite: MachineRewrite,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let state = MachineListState {
            lists: Mutex::default(),
            lag,
            rewrite,
        };
        let router = Router::new()
            .route("/v1/machines", get(read))
            .route("/lab/machines", post(add));
        Self::serve(address, state, router, faults).await
    }

    /// Adds a machine, or replaces the one with its id.
    pub fn add(&self, machine: Machine) {
        self.shared.change(|machines| {
            machines.retain(|known| known.id != machine.id);
            machines.push(machine);
        });
    }

    /// Adds many machines in one change.
    pub fn add_all(&self, added: Vec<Machine>) {
        self.shared.change(|machines| machines.extend(added));
    }

    /// Marks a machine as leaving.
    pub fn mark_leaving(&self, id: &str) {
        self.shared.change(|machines| {
            for machine in machines.iter_mut().filter(|machine| machine.id == id) {
                machine.state = MachineState::Leaving;
            }
        });
    }

    /// Removes a machine.
    pub fn remove(&self, id: &str) {
        self.shared
            .change(|machines| machines.retain(|machine| machine.id != id));
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    zone: ZoneName,
    #[serde(default)]
    newer_than: u64,
}

async fn read(
    State(shared): State<Arc<MachineListState>>,
    Query(query): Query<ReadQuery>,
) -> Json<Option<MachineList>> {
    let mut list = shared.served();
    if list.version <= query.newer_than {
        return Json(None);
    }
    let rewritten = list
        .machines
        .into_iter()
        .map(|machine| (shared.rewrite)(&query.zone, machine));
    list.machines = rewritten.collect();
    Json(Some(list))
}

async fn add(State(shared): State<Arc<MachineListState>>, Json(added): Json<Vec<Machine>>) {
    shared.change(|machines| machines.extend(added));
}
