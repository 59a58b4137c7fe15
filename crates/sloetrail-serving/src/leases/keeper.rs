//! Who holds a lease: one keeper a lease on every node.

use super::owner_watch::{OwnerWatch, WatchedTerm};
use super::{LeaseSubject, Term, TermWork};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::follow::{OwnedServiceGuard, TableView, ViewReceiver};
use crate::rows;
use crate::table::{Commit, Row, Transaction};
use crate::telemetry;
use rand::Rng;
use sloetrail_clock::BootInstant;
use sloetrail_lease::{LeaseAction, LeaseRecord, LeaseWatcher, ObservedLease};
use sloetrail_types::{Epoch, NodeId, RowVersion, Timestamp};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const TICK: Duration = Duration::from_millis(100);
/// How long the holder may take to put its work down.
const RELEASE_TIME: Duration = Duration::from_millis(1_000);
/// A lease outlasts this many ordinary answers of the table.
const RENEWAL_ROUNDS: u32 = 8;
const LEASE_MOST: Duration = Duration::from_secs(5);
/// Confirmations that lie further apart than the wait, this and a few answers mean that
/// the table did not answer meanwhile, though no call failed.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(700);
const CONFIRMATION_ANSWERS: u32 = 4;
const CANDIDATE_TURNS: u32 = 8;
const CANDIDATE_DELAY_MOST: Duration = Duration::from_secs(2);

struct Holding {
    term: Term,
    work: JoinHandle<()>,
    /// Tells the holder when the table last confirmed the lease.
    confirmed_at: watch::Sender<BootInstant>,
    /// Has the directory followed as closely as in a small fleet.
    _owned: Option<OwnedServiceGuard>,
}

/// Competes for one lease, and renews it while this node holds it.
pub(crate) struct LeaseKeeper {
    context: Arc<NodeContext>,
    subject: LeaseSubject,
    work: Arc<dyn TermWork>,
    leases: ViewReceiver,
    origin: BootInstant,
    watcher: LeaseWatcher,
    seen_version: Option<RowVersion>,
    unchanged_since: BootInstant,
    interruptions: u64,
    /// When the view was confirmed that was looked at last.
    confirmed_at: Option<BootInstant>,
    /// This candidate's turn among those that see the lease run out.
    candidate_turn: u32,
    holding: Option<Holding>,
    /// Watches over the holder while it is another node.
    watch: OwnerWatch,
}

impl LeaseKeeper {
    /// A keeper that does not know who holds the lease. `work` is what this node does while
    /// it holds it.
    pub(crate) fn new(
        context: Arc<NodeContext>,
        subject: LeaseSubject,
        work: Arc<dyn TermWork>,
    ) -> Self {
        let watcher = new_watcher(&context);
        Self {
            leases: context.leases.clone(),
            context,
            subject,
            work,
            origin: BootInstant::now(),
            watcher,
            seen_version: None,
            unchanged_since: BootInstant::now(),
            interruptions: 0,
            confirmed_at: None,
            candidate_turn: 0,
            holding: None,
            watch: OwnerWatch::default(),
        }
    }

    /// Keeps the lease until the node stops, and then gives it up.
    pub(crate) async fn run(mut self, stopping: CancellationToken) {
        while !stopping.is_cancelled() {
            self.step().await;
            let can_hear = self.holding.is_none();
            tokio::select! {
                () = tokio::time::sleep(TICK) => {}
                Ok(()) = self.leases.changed(), if can_hear => {}
                () = stopping.cancelled() => {}
            }
        }
        self.release().await;
    }

    async fn step(&mut self) {
        let view = self.leases.borrow_and_update().clone();
        self.watcher.set_duration(self.lease_duration());
        self.observe_view(&view);
        self.check_holding();
        let now = match self.holding {
            Some(_) => self.timestamp(BootInstant::now()),
            // For a candidate time passes as the table confirms the view.
            None => match view.confirmed_at {
                Some(confirmed_at) => self.timestamp(confirmed_at),
                None => return,
            },
        };
        let succeeds = self.succeeds_own_machine();
        let action = match succeeds.or_else(|| self.succeeds_gone_holder()) {
            Some(action) => Some(action),
            None => self
                .watcher
                .next_action(now, self.context.settings.candidate_rank),
        };
        let Some(action) = action else {
            return;
        };
        match self.holding.is_some() {
            true => self.renew(action).await,
            false => self.take_over(action, &view).await,
        }
    }

    /// How long the lease lasts: longer than set while the table is slow, since each
    /// renewal then takes a good part of a second and is seen late.
    fn lease_duration(&self) -> Duration {
        let set = self.context.settings.bounds.lease;
        let slow = self.context.table.ordinary_time() * RENEWAL_ROUNDS;
        let lasts = slow.clamp(set, set.max(LEASE_MOST));
        match self.holding.is_some() {
            true => lasts,
            false => lasts + self.candidate_delay(),
        }
    }

    /// What this candidate waits on top, so that the others see its take-over in time
    /// and do not queue up with theirs.
    fn candidate_delay(&self) -> Duration {
        let round = self.context.table.ordinary_time() * 2;
        (round * self.candidate_turn).min(CANDIDATE_DELAY_MOST)
    }

    /// Takes in the lease row. After an interruption the time for which it was
    /// unchanged counts anew: nobody could renew it meanwhile.
    fn observe_view(&mut self, view: &TableView) {
        let Some(confirmed_at) = view.confirmed_at else {
            return;
        };
        let last = self.confirmed_at.replace(confirmed_at);
        let was_silent = last.is_some_and(|last| {
            confirmed_at.saturating_duration_since(last) > self.confirmation_gap()
        });
        let was_interrupted = was_silent || view.interruptions != self.interruptions;
        if was_interrupted && self.holding.is_none() {
            self.interruptions = view.interruptions;
            self.count_anew();
        }
        let row = view.rows.get(&rows::lease(self.subject.name()).key);
        let version = row.map(|row| row.version);
        if version < self.seen_version {
            return;
        }
        self.observe_row(row, confirmed_at);
    }

    /// The time between two confirmations of a view that is kept up.
    fn confirmation_gap(&self) -> Duration {
        let answers = self.context.table.ordinary_time() * CONFIRMATION_ANSWERS;
        self.context.lease_pace.max_confirmation_interval() + CONFIRMATION_MARGIN + answers
    }

    fn observe_row(&mut self, row: Option<&Row>, at: BootInstant) {
        let version = row.map(|row| row.version);
        if version != self.seen_version {
            self.seen_version = version;
            self.unchanged_since = at;
            self.candidate_turn = rand::rng().random_range(0..CANDIDATE_TURNS);
        }
        let lease = row.and_then(|row| {
            let record = serde_json::from_slice(&row.value).ok()?;
            let version = row.version;
            Some(ObservedLease { version, record })
        });
        let at = self.timestamp(at);
        self.watcher.observe(at, lease);
    }

    /// Ends the term if another holder has been seen, or the owner has found out.
    fn check_holding(&mut self) {
        let Some(holding) = &self.holding else {
            return;
        };
        let is_own_epoch = self.watcher.held_epoch() == Some(holding.term.epoch);
        if is_own_epoch && !holding.term.ended.is_cancelled() {
            return;
        }
        let cause = match is_own_epoch {
            true => "a write was fenced off",
            false => "another holder is in the lease row",
        };
        self.end_holding(cause);
    }

    fn end_holding(&mut self, cause: &str) {
        if let Some(holding) = self.holding.take() {
            holding.term.ended.cancel();
            telemetry::lease_held(self.subject.name(), 0);
            events::emit(&Event::LeaseLost {
                service: self.subject.name(),
                epoch: holding.term.epoch.0,
                cause,
            });
        }
    }

    /// A lease in the name of this node without a term need not run out: it is of
    /// a previous life, or of a take-over whose answer was lost.
    fn succeeds_own_machine(&self) -> Option<LeaseAction> {
        if self.holding.is_some() {
            return None;
        }
        let holder = self.watcher.holder()?;
        let is_own = self.context.settings.is_own_machine(holder);
        is_own.then(|| self.watcher.take_over()).flatten()
    }

    /// The lease of a holder that its watchers found gone need not run out either.
    fn succeeds_gone_holder(&mut self) -> Option<LeaseAction> {
        let watched = match self.holding {
            Some(_) => None,
            None => self.watcher.term().map(|(holder, epoch)| WatchedTerm {
                holder: holder.clone(),
                epoch,
            }),
        };
        let regions = self.subject.regions();
        let is_gone = self.watch.finds_gone(&self.context, watched, &regions);
        is_gone.then(|| self.watcher.take_over()).flatten()
    }

    async fn renew(&mut self, action: LeaseAction) {
        let transaction = write_lease(&self.subject, &action);
        match self.context.table.commit(&transaction).await {
            Ok(Commit::Done(version)) => {
                self.note_own_write(version, action.record);
                if let Some(holding) = &self.holding {
                    holding.confirmed_at.send_replace(BootInstant::now());
                }
            }
            Ok(Commit::Conflict(rows)) => self.note_conflict(&rows),
            // Candidates would be sooner if it waited for its usual time.
            Err(_) => self.watcher.renewal_failed(),
        }
    }

    async fn take_over(&mut self, action: LeaseAction, view: &TableView) {
        let previous = self.watcher.holder().map(NodeId::to_string);
        let unchanged = self.unchanged_since.elapsed();
        let fence = rows::fence(self.subject.name());
        let fence_version = view.rows.get(&fence.key).map(|row| row.version);
        let epoch = action.record.epoch;
        let transaction = write_lease(&self.subject, &action)
            .require(fence.clone(), fence_version)
            .put(fence, epoch.to_string());
        let commit = self.context.table.commit(&transaction).await;
        match commit {
            Ok(Commit::Done(version)) => {
                self.note_own_write(version, action.record);
                events::emit(&Event::LeaseTaken {
                    service: self.subject.name(),
                    epoch: epoch.0,
                    previous: previous.as_deref().unwrap_or("-"),
                    unchanged_ms: unchanged.as_millis() as u64,
                });
                telemetry::lease_held(self.subject.name(), epoch.0);
                self.begin_term(epoch, version);
            }
            Ok(Commit::Conflict(rows)) => self.note_conflict(&rows),
            // If it was done all the same, the row will name this node, which then
            // takes over again under the next epoch. If not, the holder could not write
            // either, and its time counts anew.
            Err(_) => self.count_anew(),
        }
    }

    /// The time for which the lease was unchanged counts anew.
    fn count_anew(&mut self) {
        self.watcher = new_watcher(&self.context);
        self.seen_version = None;
        self.unchanged_since = BootInstant::now();
    }

    fn begin_term(&mut self, epoch: Epoch, fence: RowVersion) {
        let (sender, confirmed_at) = watch::channel(BootInstant::now());
        let term = Term {
            subject: self.subject.clone(),
            epoch,
            fence,
            releasing: CancellationToken::new(),
            ended: CancellationToken::new(),
            confirmed_at,
        };
        let work = tokio::spawn(self.work.run(term.clone()));
        let waits = self.work.waits_for_back_ends();
        self.holding = Some(Holding {
            term,
            work,
            confirmed_at: sender,
            _owned: waits.then(|| self.context.fleet.own_service()),
        });
    }

    fn note_own_write(&mut self, version: RowVersion, record: LeaseRecord) {
        self.seen_version = Some(version);
        self.unchanged_since = BootInstant::now();
        let now = self.timestamp(BootInstant::now());
        self.watcher
            .observe(now, Some(ObservedLease { version, record }));
    }

    fn note_conflict(&mut self, current: &[Row]) {
        // Whoever wrote the row lives.
        self.watch.stop();
        let address = rows::lease(self.subject.name());
        let row = current.iter().find(|row| row.address == address);
        self.observe_row(row, BootInstant::now());
        self.check_holding();
    }

    /// Gives the lease up, so that another node need not wait for it to run out.
    async fn release(&mut self) {
        let Some(holding) = self.holding.take() else {
            return;
        };
        holding.term.releasing.cancel();
        // Work that cannot be put down in time is left as it is.
        let _ = tokio::time::timeout(RELEASE_TIME, holding.work).await;
        holding.term.ended.cancel();
        if let Some(action) = self.watcher.release() {
            let transaction = write_lease(&self.subject, &action);
            // Without an answer the lease runs out by itself.
            let _ = self.context.table.commit(&transaction).await;
        }
        events::emit(&Event::LeaseLost {
            service: self.subject.name(),
            epoch: holding.term.epoch.0,
            cause: "the node stops",
        });
    }

    fn timestamp(&self, at: BootInstant) -> Timestamp {
        let since_origin = at.saturating_duration_since(self.origin);
        Timestamp(since_origin.as_millis() as u64)
    }
}

fn new_watcher(context: &NodeContext) -> LeaseWatcher {
    let settings = &context.settings;
    LeaseWatcher::new(settings.instance.clone(), settings.bounds.lease)
}

fn write_lease(subject: &LeaseSubject, action: &LeaseAction) -> Transaction {
    let address = rows::lease(subject.name());
    let record = serde_json::to_vec(&action.record).unwrap_or_default();
    Transaction::new()
        .require(address.clone(), action.expected)
        .put(address, record)
}
