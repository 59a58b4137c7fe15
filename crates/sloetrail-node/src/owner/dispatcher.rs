//! Sending queued samples to engines.

use super::run_handle::{AttemptReport, RunCommand, RunShared};
use super::sample_attempt::{SampleJob, run_sample};
use crate::gateway::{ServicePool, Slot};
use crate::gossip::to_report;
use crate::observer::news_of_status;
use crate::state::NodeState;
use futures_util::future::join_all;
use sloetrail_balance::WorkClass;
use sloetrail_clients::Machine;
use sloetrail_config::Run;
use sloetrail_ledger::Ledger;
use sloetrail_types::{EngineId, Epoch, digest};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const ASK_PERIOD: Duration = Duration::from_millis(1_000);
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts attempts while engines have room.
pub(crate) struct Dispatcher {
    state: Arc<NodeState>,
    run: Run,
    epoch: Epoch,
    commands: mpsc::Sender<RunCommand>,
    shared: Arc<RunShared>,
    cancel: CancellationToken,
}

impl Dispatcher {
    pub(crate) fn new(
        state: Arc<NodeState>,
        run: Run,
        epoch: Epoch,
        commands: mpsc::Sender<RunCommand>,
        shared: Arc<RunShared>,
        cancel: CancellationToken,
    ) -> Self {
        tokio::spawn(ask_remote_engines(
            Arc::clone(&state),
            run.clone(),
            cancel.clone(),
        ));
        Self {
            state,
            run,
            epoch,
            commands,
            shared,
            cancel,
        }
    }

    pub(crate) fn set_run(&mut self, run: Run) {
        self.run = run;
    }

    /// Starts as many attempts as there is room for.
    pub(crate) fn dispatch(&self, ledger: &mut Ledger) {
        let stopped = self.shared.dispatch_stopped.load(Ordering::SeqCst);
        if stopped || !self.state.configuration_is_fresh() {
            return;
        }
        let Some(pool) = self.state.pool(&self.run.service) else {
            return;
        };
        while ledger.queued() > 0 {
            let Some(slot) = pool.try_acquire(WorkClass::Sample, &BTreeSet::new()) else {
                return;
            };
            let version = pool.version_of(slot.engine());
            let Some(record) = ledger.start_next(version) else {
                return;
            };
            let job = SampleJob {
                run: self.run.clone(),
                epoch: self.epoch,
                record,
            };
            self.start(Arc::clone(&pool), slot, job);
        }
    }

    fn start(&self, pool: Arc<ServicePool>, slot: Slot, job: SampleJob) {
        self.shared.running.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&self.state);
        let shared = Arc::clone(&self.shared);
        let commands = self.commands.clone();
        let cancel = self.cancel.clone();
        tokio::spawn(async move {
            let sample = job.record.sample.id.clone();
            let generation = job.record.generation;
            let result = tokio::select! {
                result = run_sample(&state, &pool, &shared.bodies, slot, job) => result,
                () = cancel.cancelled() => return,
            };
            let report = AttemptReport {
                sample,
                generation,
                result,
            };
            // The owner may have ended; a new one runs the sample again.
            let _ = commands.send(RunCommand::AttemptEnded(report)).await;
        });
    }
}

/// Engines of other zones do not report to this node, so their run's owner asks
/// them itself, unless a running sample brings news of them.
async fn ask_remote_engines(state: Arc<NodeState>, run: Run, cancel: CancellationToken) {
    loop {
        let unheard = unheard_remote_engines(&state, &run);
        metrics::counter!("sloetrail_status_calls_total", "part" => "ledger")
            .increment(unheard.len() as u64);
        join_all(unheard.iter().map(|machine| ask(&state, &run, machine))).await;
        tokio::select! {
            () = tokio::time::sleep(ASK_PERIOD) => {}
            () = cancel.cancelled() => return,
        }
    }
}

fn unheard_remote_engines(state: &NodeState, run: &Run) -> Vec<Machine> {
    let Some(pool) = state.pool(&run.service) else {
        return Vec::new();
    };
    let unheard = |machine: &&Machine| {
        let id = EngineId::new(machine.id.clone());
        machine.zone != state.settings.zone && pool.is_unconfirmed(&id, ASK_PERIOD)
    };
    let directory = state.directory();
    let engines = directory.engines_of(&run.service);
    engines.filter(unheard).cloned().collect()
}

async fn ask(state: &NodeState, run: &Run, machine: &Machine) {
    let asked_at = state.now();
    let engines = &state.clients.engines;
    let Ok(status) = engines.status(machine.address, ASK_TIMEOUT).await else {
        return;
    };
    let Some(pool) = state.pool(&run.service) else {
        return;
    };
    if status.engine.as_str() != machine.id {
        return;
    }
    let now = state.now();
    let age_ms = now.since(asked_at).as_millis() as u64;
    let news = news_of_status(digest(machine.id.as_bytes()), &status, age_ms);
    pool.report(&EngineId::new(machine.id.clone()), to_report(now, &news));
}
