//! Competes for a lease, renews it and runs its task. Each node has one manager per lease.

use super::owner_watch::{OwnerWatch, WatchedTerm};
use super::{LeaseResource, LeaseTask, Term};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::follow::{OwnedServiceGuard, TableView, ViewReceiver};
use crate::rows;
use crate::table::{Commit, Row, Transaction};
use crate::telemetry;
use rand::Rng;
use sloetrail_clock::BootInstant;
use sloetrail_lease::{LeaseAction, LeaseRecord, LeaseWatcher, ObservedLease};
use sloetrail_types::{Epoch, NodeId, RowVersion, Timestamp, whole_millis};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long the task may take to stop when the lease is released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum lease duration, as a multiple of the table's usual response time.
const LEASE_ANSWER_TIMES: u32 = 8;
const MAX_LEASE_DURATION: Duration = Duration::from_secs(5);
/// A longer gap between two confirmations, beyond the poll interval and some response times,
/// means that the table did not answer even if no call failed.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(700);
const CONFIRMATION_ANSWER_TIMES: u32 = 4;
const CANDIDATE_DELAY_STEPS: u32 = 8;
const MAX_CANDIDATE_DELAY: Duration = Duration::from_secs(2);
/// How long a node whose term ended by a panic leaves the lease to others. Longer than a lease
/// usually lasts.
const PANIC_BACKOFF: Duration = Duration::from_secs(3);

struct ActiveTerm {
    term: Term,
    task: JoinHandle<()>,
    /// When the table last confirmed the lease.
    confirmed_at: watch::Sender<BootInstant>,
    /// Keeps the directory's poll interval at its minimum.
    _owned: Option<OwnedServiceGuard>,
}

impl Drop for ActiveTerm {
    fn drop(&mut self) {
        self.term.ended.cancel();
    }
}

pub(crate) struct LeaseManager {
    context: Arc<NodeContext>,
    resource: LeaseResource,
    task: Arc<dyn LeaseTask>,
    leases: ViewReceiver,
    origin: BootInstant,
    watcher: LeaseWatcher,
    observed_version: Option<RowVersion>,
    unchanged_since: BootInstant,
    interruptions: u64,
    /// When the last processed view was confirmed.
    confirmed_at: Option<BootInstant>,
    /// Random position of this candidate among those that see the lease expire.
    candidate_delay_step: u32,
    active_term: Option<ActiveTerm>,
    /// This node does not compete for the lease before this time.
    no_candidate_until: Option<BootInstant>,
    /// Probes the holder while it is another node.
    owner_watch: OwnerWatch,
    /// Cancelled when the lease has to be released.
    stopping: CancellationToken,
}

impl LeaseManager {
    /// Creates a manager without any observation. `task` runs while this node holds the lease, until
    /// `stopping` is cancelled.
    pub(crate) fn new(
        context: Arc<NodeContext>,
        resource: LeaseResource,
        task: Arc<dyn LeaseTask>,
        stopping: CancellationToken,
    ) -> Self {
        let watcher = new_watcher(&context);
        Self {
            leases: context.leases.clone(),
            context,
            resource,
            task,
            origin: BootInstant::now(),
            watcher,
            observed_version: None,
            unchanged_since: BootInstant::now(),
            interruptions: 0,
            confirmed_at: None,
            candidate_delay_step: 0,
            active_term: None,
            no_candidate_until: None,
            owner_watch: OwnerWatch::default(),
            stopping,
        }
    }

    /// Runs until the lease has to be released, and releases it.
    pub(crate) async fn run(mut self) {
        let stopping = self.stopping.clone();
        while !stopping.is_cancelled() {
            self.step().await;
            let is_candidate = self.active_term.is_none();
            tokio::select! {
                () = tokio::time::sleep(STEP_INTERVAL) => {}
                Ok(()) = self.leases.changed(), if is_candidate => {}
                () = stopping.cancelled() => {}
            }
        }
        self.release().await;
    }

    async fn step(&mut self) {
        let view = self.leases.borrow_and_update().clone();
        self.watcher.set_duration(self.lease_duration());
        self.observe_view(&view);
        self.watcher.set_epoch_floor(epoch_floor(&view));
        self.check_active_term();
        let now = match self.active_term {
            Some(_) => self.timestamp(BootInstant::now()),
            // A candidate's time advances only as the table confirms the view.
            None => match view.confirmed_at {
                Some(confirmed_at) => self.timestamp(confirmed_at),
                None => return,
            },
        };
        if self.is_backing_off() {
            return;
        }
        let own_lease = self.take_over_from_own_node();
        let action = match own_lease.or_else(|| self.take_over_from_gone_holder()) {
            Some(action) => Some(action),
            None => self
                .watcher
                .next_action(now, self.context.settings.candidate_rank),
        };
        let Some(action) = action else {
            return;
        };
        if action.expected.is_none() && !self.task.needs_lease(&view) {
            return;
        }
        match self.active_term.is_some() {
            true => self.renew(action).await,
            false => self.take_over(action, &view).await,
        }
    }

    /// Returns whether this node leaves the lease to others after a term that ended by a panic.
    fn is_backing_off(&self) -> bool {
        let until = self.no_candidate_until;
        self.active_term.is_none() && until.is_some_and(|until| BootInstant::now() < until)
    }

    /// Returns how long the lease lasts without a renewal. It is extended while the table is
    /// slow, since renewals then take longer to commit and to be seen.
    fn lease_duration(&self) -> Duration {
        let configured = self.context.settings.bounds.lease;
        let adapted = self.context.table.typical_latency() * LEASE_ANSWER_TIMES;
        let duration = adapted.clamp(configured, configured.max(MAX_LEASE_DURATION));
        match self.active_term.is_some() {
            true => duration,
            false => duration + self.candidate_delay(),
        }
    }

    /// Returns an extra wait for this candidate, so that others see its take-over before they
    /// attempt theirs.
    fn candidate_delay(&self) -> Duration {
        let round_trip = self.context.table.typical_latency() * 2;
        (round_trip * self.candidate_delay_step).min(MAX_CANDIDATE_DELAY)
    }

    /// Applies the lease row. After an interruption the expiry restarts, since the holder could
    /// not renew the lease meanwhile either.
    fn observe_view(&mut self, view: &TableView) {
        let Some(confirmed_at) = view.confirmed_at else {
            return;
        };
        let last = self.confirmed_at.replace(confirmed_at);
        let has_missed_confirmations = last.is_some_and(|last| {
            confirmed_at.saturating_duration_since(last) > self.confirmation_gap()
        });
        let was_interrupted = has_missed_confirmations || view.interruptions != self.interruptions;
        if was_interrupted && self.active_term.is_none() {
            self.interruptions = view.interruptions;
            self.restart_expiry();
        }
        let row = view.rows.get(&rows::lease(self.resource.name()).key);
        let version = row.map(|row| row.version);
        if version < self.observed_version {
            return;
        }
        self.observe_row(row, confirmed_at);
    }

    /// Returns the maximum time between two confirmations while the table answers.
    fn confirmation_gap(&self) -> Duration {
        let answers = self.context.table.typical_latency() * CONFIRMATION_ANSWER_TIMES;
        self.context.lease_poll_timing.max_confirmation_interval() + CONFIRMATION_MARGIN + answers
    }

    fn observe_row(&mut self, row: Option<&Row>, at: BootInstant) {
        let version = row.map(|row| row.version);
        if version != self.observed_version {
            self.observed_version = version;
            self.unchanged_since = at;
            self.candidate_delay_step = rand::rng().random_range(0..CANDIDATE_DELAY_STEPS);
        }
        let lease = row.and_then(|row| {
            let record = serde_json::from_slice(&row.value).ok()?;
            let version = row.version;
            Some(ObservedLease { version, record })
        });
        let at = self.timestamp(at);
        self.watcher.observe(at, lease);
    }

    /// Ends the term if another holder has been observed, or if the task has ended it after a
    /// fenced write.
    fn check_active_term(&mut self) {
        let Some(active_term) = &self.active_term else {
            return;
        };
        let is_own_epoch = self.watcher.held_epoch() == Some(active_term.term.epoch);
        if is_own_epoch && !active_term.term.ended.is_cancelled() {
            return;
        }
        let has_failed = active_term.term.failed.is_cancelled();
        if has_failed {
            self.no_candidate_until = Some(BootInstant::now() + PANIC_BACKOFF);
        }
        let cause = match is_own_epoch {
            _ if has_failed => "a task of the term panicked",
            _ if active_term.term.retired.is_cancelled() => "the batch set was retired",
            true => "a write was fenced off",
            false => "another holder is in the lease row",
        };
        self.end_active_term(cause);
    }

    fn end_active_term(&mut self, cause: &str) {
        if let Some(active_term) = self.active_term.take() {
            active_term.term.ended.cancel();
            telemetry::set_lease_epoch(self.resource.name(), 0);
            events::emit(&Event::LeaseLost {
                service: self.resource.name(),
                epoch: active_term.term.epoch.0,
                cause,
            });
        }
    }

    /// Returns the write that takes over a lease in this node's name without an active term. Such
    /// a lease belongs to an earlier incarnation, or to a take-over whose answer was lost.
    fn take_over_from_own_node(&self) -> Option<LeaseAction> {
        if self.active_term.is_some() {
            return None;
        }
        let holder = self.watcher.holder()?;
        let is_own_node = self.context.settings.is_same_node(holder);
        is_own_node.then(|| self.watcher.take_over()).flatten()
    }

    /// Returns the write that takes the lease over before it expires, if its holder was found to
    /// be gone.
    fn take_over_from_gone_holder(&mut self) -> Option<LeaseAction> {
        let watched = match self.active_term {
            Some(_) => None,
            None => self.watcher.term().map(|(holder, epoch)| WatchedTerm {
                holder: holder.clone(),
                epoch,
            }),
        };
        let regions = self.resource.regions();
        let is_gone = self
            .owner_watch
            .is_holder_gone(&self.context, watched, &regions);
        is_gone.then(|| self.watcher.take_over()).flatten()
    }

    async fn renew(&mut self, action: LeaseAction) {
        let transaction = write_lease(&self.resource, &action);
        match self.context.table.commit(&transaction).await {
            Ok(Commit::Done(version)) => {
                self.record_own_write(version, action.record);
                if let Some(active_term) = &self.active_term {
                    active_term.confirmed_at.send_replace(BootInstant::now());
                }
            }
            Ok(Commit::Conflict(rows)) => self.record_conflict(&rows),
            // A retry at the usual interval would come after other candidates have taken over.
            Err(_) => self.watcher.renewal_failed(),
        }
    }

    async fn take_over(&mut self, action: LeaseAction, view: &TableView) {
        let previous = self.watcher.holder().map(NodeId::to_string);
        let unchanged = self.unchanged_since.elapsed();
        let fence = rows::fence(self.resource.name());
        let fence_version = view.rows.get(&fence.key).map(|row| row.version);
        let epoch = action.record.epoch;
        let mut transaction = write_lease(&self.resource, &action)
            .require(fence.clone(), fence_version)
            .put(fence, epoch.to_string());
        if action.expected.is_none() {
            // The lease may have been deleted since the view was confirmed.
            let deleted = rows::last_deleted_lease();
            let deletion = view.rows.get(&deleted.key).map(|row| row.version);
            transaction = transaction.require(deleted, deletion);
        }
        let commit = self.context.table.commit(&transaction).await;
        match commit {
            Ok(Commit::Done(version)) => {
                self.record_own_write(version, action.record);
                events::emit(&Event::LeaseTaken {
                    service: self.resource.name(),
                    epoch: epoch.0,
                    previous: previous.as_deref().unwrap_or("-"),
                    unchanged_ms: whole_millis(unchanged),
                });
                telemetry::set_lease_epoch(self.resource.name(), epoch.0);
                self.begin_term(epoch, version);
            }
            Ok(Commit::Conflict(rows)) => self.record_conflict(&rows),
            // If the write took effect, the row names this node, which then takes over again
            // under the next epoch. If not, the holder could not renew the lease either, so the
            // expiry restarts.
            Err(_) => self.restart_expiry(),
        }
    }

    /// Forgets the observed lease, so that its expiry is counted from the next observation.
    fn restart_expiry(&mut self) {
        self.watcher = new_watcher(&self.context);
        self.observed_version = None;
        self.unchanged_since = BootInstant::now();
    }

    fn begin_term(&mut self, epoch: Epoch, fence: RowVersion) {
        let (sender, confirmed_at) = watch::channel(BootInstant::now());
        let term = Term {
            resource: self.resource.clone(),
            epoch,
            fence,
            // The task stops at once, also while a renewal waits for the table.
            releasing: self.stopping.child_token(),
            ended: CancellationToken::new(),
            failed: CancellationToken::new(),
            retired: CancellationToken::new(),
            confirmed_at,
        };
        let (task, task_term) = (Arc::clone(&self.task), term.clone());
        let task = term.spawn("lease task", async move { task.run(task_term).await });
        let uses_min_interval = self.task.uses_min_poll_interval();
        self.active_term = Some(ActiveTerm {
            term,
            task,
            confirmed_at: sender,
            _owned: uses_min_interval.then(|| self.context.fleet.own_service()),
        });
    }

    fn record_own_write(&mut self, version: RowVersion, record: LeaseRecord) {
        self.observed_version = Some(version);
        self.unchanged_since = BootInstant::now();
        let now = self.timestamp(BootInstant::now());
        self.watcher
            .observe(now, Some(ObservedLease { version, record }));
    }

    fn record_conflict(&mut self, current: &[Row]) {
        // The writer of the row is alive.
        self.owner_watch.stop();
        let address = rows::lease(self.resource.name());
        let row = current.iter().find(|row| row.address == address);
        self.observe_row(row, BootInstant::now());
        self.check_active_term();
    }

    /// Releases the lease, so that another node can acquire it before it expires.
    async fn release(&mut self) {
        let Some(mut active_term) = self.active_term.take() else {
            return;
        };
        active_term.term.releasing.cancel();
        // A task that does not stop in time is abandoned.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, &mut active_term.task).await;
        active_term.term.ended.cancel();
        if let Some(action) = self.watcher.release() {
            let transaction = write_lease(&self.resource, &action);
            // If this write fails, the lease expires.
            let _ = self.context.table.commit(&transaction).await;
        }
        events::emit(&Event::LeaseLost {
            service: self.resource.name(),
            epoch: active_term.term.epoch.0,
            cause: "the node stops",
        });
    }

    fn timestamp(&self, at: BootInstant) -> Timestamp {
        let since_origin = at.saturating_duration_since(self.origin);
        Timestamp(whole_millis(since_origin))
    }
}

fn new_watcher(context: &NodeContext) -> LeaseWatcher {
    let settings = &context.settings;
    LeaseWatcher::new(settings.instance.clone(), settings.bounds.lease)
}

/// Returns an epoch that no deleted lease exceeds: the version of the last deletion. Versions rise
/// with each transaction, and the epoch of a lease with some of them only.
fn epoch_floor(leases: &TableView) -> Epoch {
    let deletion = leases.rows.get(&rows::last_deleted_lease().key);
    deletion.map_or(Epoch(0), |row| Epoch(row.version.0))
}

fn write_lease(resource: &LeaseResource, action: &LeaseAction) -> Transaction {
    let address = rows::lease(resource.name());
    let record = serde_json::to_vec(&action.record).unwrap_or_default();
    Transaction::new()
        .require(address.clone(), action.expected)
        .put(address, record)
}
