//! The owner of one model service: rolls weight versions out and orders drains.
//!
//! Every order carries the owner's epoch, and engines refuse a lower one, so an
//! owner that was frozen cannot undo what its successor did.

use super::weights_handle::{EngineOrder, WeightsHandle};
use crate::state::NodeState;
use crate::sync::rows::value_of;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use sloetrail_clients::{Machine, Order, OrderCommand, OrderOutcome};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_rollout::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep, WeightSource};
use sloetrail_types::{EngineId, Epoch, ServiceName, Timestamp, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const IDLE_PERIOD: Duration = Duration::from_millis(500);
const ACTIVE_PERIOD: Duration = Duration::from_millis(100);
/// Time until an engine is asked again whose weights are known.
const ASK_AGAIN: Duration = Duration::from_secs(30);
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
const ORDER_TIMEOUT: Duration = Duration::from_millis(8_000);
const STORE_READS: usize = 2;
const PEER_READS: usize = 2;
const ORDER_QUEUE: usize = 64;

/// The row that names the newest published version of a service's weights.
pub(crate) fn weights_key(service: &ServiceName) -> String {
    format!("weights/{service}")
}

/// The value of that row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WeightsRecord {
    /// The newest version that the trainer has published.
    pub(crate) published: WeightVersion,
}

/// Starts the owner of a service unless it is running under this epoch.
pub(crate) fn start_weights_owner(state: &Arc<NodeState>, service: &ServiceName, epoch: Epoch) {
    let mut owned = state.weights();
    if owned
        .get(service)
        .is_some_and(|handle| handle.epoch == epoch)
    {
        return;
    }
    let (orders, receiver) = mpsc::channel(ORDER_QUEUE);
    let cancel = state.cancel.child_token();
    let handle = WeightsHandle {
        epoch,
        orders,
        cancel: cancel.clone(),
    };
    if let Some(earlier) = owned.insert(service.clone(), handle) {
        earlier.cancel.cancel();
    }
    log::info!(target: "weights", "Owner of service {service} under epoch {epoch}.");
    let owner = WeightsOwner {
        state: Arc::clone(state),
        service: service.clone(),
        epoch,
        cancel,
    };
    tokio::spawn(owner.serve(receiver));
}

#[derive(Clone)]
struct WeightsOwner {
    state: Arc<NodeState>,
    service: ServiceName,
    epoch: Epoch,
    cancel: CancellationToken,
}

/// What an engine held when it was last asked.
struct KnownEngine {
    weights: EngineWeights,
    asked_at: Timestamp,
}

type KnownEngines = BTreeMap<EngineId, KnownEngine>;

struct StepEnd {
    step: RolloutStep,
    succeeded: bool,
}

impl WeightsOwner {
    async fn serve(self, mut orders: mpsc::Receiver<EngineOrder>) {
        let mut planner = RolloutPlanner::new(self.limits());
        let mut target = self.read_target().await;
        let mut target_read_at = Instant::now();
        let (ended, mut ends) = mpsc::unbounded_channel::<StepEnd>();
        let mut known = KnownEngines::new();
        loop {
            if target_read_at.elapsed() >= IDLE_PERIOD {
                target = self.read_target().await.or(target);
                target_read_at = Instant::now();
            }
            let engines = self.read_engines(&mut known).await;
            let mut active = false;
            if let Some(target) = target {
                planner.set_limits(self.limits());
                let steps = planner.next_steps(self.state.now(), target, &engines);
                active = engines.values().any(|weights| weights.version != target);
                for step in steps {
                    self.start_step(step, ended.clone());
                }
            }
            let period = if active { ACTIVE_PERIOD } else { IDLE_PERIOD };
            tokio::select! {
                () = tokio::time::sleep(period) => {}
                Some(order) = orders.recv() => self.carry_out(order),
                Some(end) = ends.recv() => self.end_step(&mut planner, &mut known, end),
                () = self.cancel.cancelled() => return,
            }
            while let Ok(end) = ends.try_recv() {
                self.end_step(&mut planner, &mut known, end);
            }
        }
    }

    /// An engine's word that it carried a step out is news of what it holds; after
    /// anything else it is asked again.
    fn end_step(&self, planner: &mut RolloutPlanner, known: &mut KnownEngines, end: StepEnd) {
        let engine = end.step.engine();
        planner.finish(self.state.now(), engine, end.succeeded);
        if !end.succeeded {
            known.remove(engine);
            return;
        }
        let Some(held) = known.get_mut(engine) else {
            return;
        };
        match end.step {
            RolloutStep::Load { version, .. } => drop(held.weights.loaded.insert(version)),
            RolloutStep::Switch { version, .. } => {
                held.weights.version = version;
                held.weights.loaded = BTreeSet::from([version]);
            }
        }
    }

    fn limits(&self) -> RolloutLimits {
        let configuration = self.state.configuration().configuration;
        let service = configuration.services.get(&self.service);
        RolloutLimits {
            store_reads: STORE_READS,
            peer_reads: PEER_READS,
            capacity_floor_percent: service.map_or(0, |service| service.capacity_floor_percent),
        }
    }

    /// The pinned version, or the newest published one; nothing if unknown now.
    async fn read_target(&self) -> Option<WeightVersion> {
        let configuration = self.state.configuration().configuration;
        let service = configuration.services.get(&self.service)?;
        if let Some(pinned) = service.pinned_weight_version {
            return Some(pinned);
        }
        let key = weights_key(&self.service);
        let row = self.state.clients.table.read(&key).await.ok()??;
        let record: WeightsRecord = value_of(&row).ok()?;
        Some(record.published)
    }

    /// What the engines hold. Those of which it is known are only asked now and
    /// then: nobody else gives them orders.
    async fn read_engines(&self, known: &mut KnownEngines) -> BTreeMap<EngineId, EngineWeights> {
        let directory = self.state.directory();
        let listed: Vec<&Machine> = directory.engines_of(&self.service).collect();
        known.retain(|id, _| listed.iter().any(|machine| machine.id == id.as_str()));
        let now = self.state.now();
        let must_ask = |machine: &&Machine| {
            let held = known.get(&EngineId::new(machine.id.clone()));
            held.is_none_or(|held| now.since(held.asked_at) >= ASK_AGAIN)
        };
        let asked: Vec<&Machine> = listed.into_iter().filter(must_ask).collect();
        let ask = |machine: &Machine| {
            let address = machine.address;
            async move {
                let engines = &self.state.clients.engines;
                engines.status(address, STATUS_TIMEOUT).await.ok()
            }
        };
        metrics::counter!("sloetrail_status_calls_total", "part" => "weights")
            .increment(asked.len() as u64);
        for machine in &asked {
            known.remove(&EngineId::new(machine.id.clone()));
        }
        let answers = join_all(asked.into_iter().map(ask)).await;
        for status in answers.into_iter().flatten() {
            let weights = EngineWeights {
                version: status.version,
                loaded: BTreeSet::from_iter(status.loaded),
            };
            let asked_at = now;
            known.insert(status.engine, KnownEngine { weights, asked_at });
        }
        let weights = |(id, held): (&EngineId, &KnownEngine)| (id.clone(), held.weights.clone());
        known.iter().map(weights).collect()
    }

    fn start_step(&self, step: RolloutStep, ended: mpsc::UnboundedSender<StepEnd>) {
        let owner = self.clone();
        tokio::spawn(async move {
            let engine = step.engine().clone();
            let command = owner.command_of(&step);
            let outcome = owner.order(&engine, command).await;
            if let Err(problem) = &outcome {
                log::warn!(target: "weights", "Engine {engine}: {}.", problem.detail);
            }
            let succeeded = outcome.is_ok();
            let _ = ended.send(StepEnd { step, succeeded });
        });
    }

    fn command_of(&self, step: &RolloutStep) -> OrderCommand {
        match step {
            RolloutStep::Switch { version, .. } => OrderCommand::Switch { version: *version },
            RolloutStep::Load {
                version, source, ..
            } => {
                let directory = self.state.directory();
                let peer = match source {
                    WeightSource::Store => None,
                    WeightSource::Peer(peer) => directory.engine(peer.as_str()),
                };
                OrderCommand::Load {
                    version: *version,
                    peer: peer.map(|machine| machine.address),
                }
            }
        }
    }

    fn carry_out(&self, order: EngineOrder) {
        let owner = self.clone();
        tokio::spawn(async move {
            let result = owner.order(&order.engine, order.command).await;
            // The caller may have gone away.
            let _ = order.reply.send(result);
        });
    }

    async fn order(&self, engine: &EngineId, command: OrderCommand) -> Result<(), Problem> {
        let directory = self.state.directory();
        let machine = directory.engine(engine.as_str());
        let Some(address) = machine.map(|machine| machine.address) else {
            let detail = format!("no engine is named {engine}");
            return Err(Problem::new(ResultCode::NoEngine, detail));
        };
        let number = self.state.unique_number();
        let order = Order {
            order: format!("{}/{number}", self.state.settings.node),
            epoch: self.epoch,
            command,
        };
        let engines = &self.state.clients.engines;
        match engines.order(address, &order, ORDER_TIMEOUT).await {
            Ok(OrderOutcome::Done) => Ok(()),
            Ok(OrderOutcome::Failed(reason)) => Err(refused(&reason)),
            Ok(OrderOutcome::StaleEpoch(seen)) => {
                Err(refused(&format!("the engine has seen epoch {seen}")))
            }
            Err(error) if error.is_not_executed() => Err(refused(&error.to_string())),
            Err(error) => Err(Problem::new(ResultCode::EngineLost, error.to_string())),
        }
    }
}

fn refused(reason: &str) -> Problem {
    Problem::new(ResultCode::EngineRefused, reason)
}
