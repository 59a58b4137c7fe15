//! The owner of a batch set during one lease term: its event loop and open batches.

mod backlog;
mod backlog_reporting;
mod batches;
mod demand;
mod dispatch;
mod late_texts;
mod other_batches;
mod relocation;
mod results;
mod retirement;
mod scoring;
mod slot_report;
mod speed_matching;
mod supply;
mod texts;
mod triage;
mod unplaced_items;
mod versions;

use self::backlog::ReassignmentState;
use self::other_batches::OtherBatches;
use self::retirement::RetirementState;
use self::supply::SupplyState;
use self::triage::TriageState;
use super::backlog_report::{BacklogReporter, RecentCapacities};
use super::committer::{CommitRequest, commit_results};
use super::engine::SendLimits;
use super::engines::EnginePool;
use super::event::OwnerEvent;
use super::item_timeline::ItemTimeline;
use super::publications::Publications;
use super::reward_queue::RewardQueue;
use super::run::RunProgress;
use super::slot_demand::DemandReporter;
use super::slot_usage::{OpenItems, SlotUsage};
use super::sweeper;
use crate::context::NodeContext;
use crate::follow::{PollTiming, ViewReceiver, follow};
use crate::leases::{BatchSet, OrderWindow, Term};
use crate::rows;
use crate::tasks;
use sloetrail_balance::TenantShares;
use sloetrail_batch::{Batch, BatchEstimate, BatchId, ItemId, ItemIndex, LengthModel, Transcript};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, ServiceName, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const VIEW_POLL_DELAY: Duration = Duration::from_millis(5);
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// No checkpoints are written while the table is slower than this, so that results do not wait
/// behind them.
const MAX_CHECKPOINT_TABLE_LATENCY: Duration = Duration::from_millis(100);

/// Slots of a model are plentiful if there are at least this many for each open item, since half
/// of the engines may be changing weights.
const MIN_PLENTIFUL_SLOTS_PER_ITEM: usize = 2;

/// Slots requested from the directory for each concurrent item, since half of a model's engines
/// may be changing weights. Has no effect on a node that follows the whole directory.
const SLOTS_PER_ITEM: usize = 2;

struct ActiveRun {
    engine: EngineId,
    cancel: CancellationToken,
    progress: Arc<RunProgress>,
    /// Number of events that are in the table or on their way to it.
    checkpointed_events: usize,
    started_at: BootInstant,
    /// True if the item was moved here from a slower engine.
    has_moved: bool,
    /// The engine on which the item continues after this run has been closed.
    move_target: Option<EngineId>,
    /// True if a move of this run was withheld and counted.
    is_move_withheld: bool,
}

struct OpenBatch {
    batch: Batch,
    runs: HashMap<ItemIndex, ActiveRun>,
    estimate: BatchEstimate,
    /// Number of events in the table, for items that were loaded with a text or had a run end.
    checkpointed_events: HashMap<ItemIndex, usize>,
    cancel: CancellationToken,
    opened_at: BootInstant,
    age_at_open: Duration,
    timelines: HashMap<ItemIndex, ItemTimeline>,
    /// Time in which items waited while only engines of other models had free slots.
    waited_while_others_free: Duration,
}

impl OpenBatch {
    fn age(&self) -> Duration {
        self.age_at_open + self.opened_at.elapsed()
    }

    fn update_estimate(&mut self, lengths: &LengthModel) {
        let generated = |index| self.generated_events(index);
        self.estimate = self.batch.estimate(lengths, self.age(), generated);
    }

    /// The events of a running item's text; zero if the item does not run.
    fn generated_events(&self, index: ItemIndex) -> usize {
        let run = self.runs.get(&index);
        run.map_or(0, |run| run.progress.event_count())
    }

    fn items(&self) -> OpenItems {
        let all = self.batch.waiting() + self.runs.len();
        OpenItems {
            all,
            max_concurrent: self
                .estimate
                .concurrency_limit
                .map_or(all, |limit| limit.min(all)),
        }
    }

    /// Returns true if the batch has reached its concurrency limit.
    fn has_enough_runs(&self) -> bool {
        self.estimate
            .concurrency_limit
            .is_some_and(|limit| self.runs.len() >= limit)
    }
}

/// The owner of a batch set during one lease term.
pub(super) struct ServiceOwner {
    context: Arc<NodeContext>,
    service: ServiceName,
    set: BatchSet,
    term: Term,
    engines: EnginePool,
    batches: BTreeMap<BatchId, OpenBatch>,
    /// Items in flight by tenant, recounted before each dispatch.
    shares: TenantShares,
    triage: TriageState,
    /// Batches that are open, loading, ended or owned by another owner.
    known_batches: HashSet<BatchId>,
    /// Ids of all batches of the set in the table, open or ended; None until they have been read.
    stored_batches: Option<BTreeSet<BatchId>>,
    other_batches: OtherBatches,
    retirement: RetirementState,
    /// Partial texts of items that were unfinished when their batch ended.
    leftover_texts: BTreeMap<ItemId, Transcript>,
    /// By model, how many versions behind the newest its last batch allowed.
    version_lags: BTreeMap<String, u64>,
    /// Complete texts that wait for their score.
    rewards: RewardQueue,
    usage: SlotUsage,
    lengths: LengthModel,
    publications: Publications,
    /// By model, a moving average of the expected tokens of its batches.
    expected_tokens: BTreeMap<String, f64>,
    backlog: ReassignmentState,
    /// True if something that weight orders depend on has changed.
    weights_due: bool,
    window: OrderWindow,
    is_opening_window: bool,
    supply: SupplyState,
    /// Reports slot demand if another owner controls the engine count.
    demand: DemandReporter,
    /// Reports the backlog to the nodes that accept batches.
    backlog_reporter: BacklogReporter,
    recent_capacities: RecentCapacities,
    events: mpsc::UnboundedReceiver<OwnerEvent>,
    sender: mpsc::UnboundedSender<OwnerEvent>,
    commits: mpsc::UnboundedSender<CommitRequest>,
    committing: JoinHandle<()>,
    checkpointed_at: BootInstant,
    /// When the use of slots was last counted, and last logged.
    slots_counted_at: BootInstant,
    slots_reported_at: BootInstant,
    /// When an unplaced item was last logged.
    unplaced_reported_at: BootInstant,
    /// True if some engines are clearly slower than the median, by lasting intervals.
    engines_are_uneven: bool,
}

/// Sleeps until `due`; forever if it is None.
async fn sleep_until_due(due: Option<BootInstant>) {
    match due {
        Some(due) => sloetrail_clock::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

impl ServiceOwner {
    pub(super) fn new(context: Arc<NodeContext>, set: BatchSet, term: Term) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        let (commits, requests) = mpsc::unbounded_channel();
        let committing =
            commit_results(Arc::clone(&context), term.clone(), requests, sender.clone());
        Self {
            committing: term.spawn("result committer", committing),
            checkpointed_at: BootInstant::now(),
            slots_counted_at: BootInstant::now(),
            slots_reported_at: BootInstant::now(),
            unplaced_reported_at: BootInstant::now(),
            engines_are_uneven: false,
            engines: EnginePool::within_regions(
                context.settings.topology.clone(),
                set.regions().clone(),
            ),
            context,
            service: set.service().clone(),
            set,
            term,
            batches: BTreeMap::new(),
            shares: TenantShares::default(),
            triage: TriageState::new(BootInstant::now()),
            known_batches: HashSet::new(),
            stored_batches: None,
            other_batches: OtherBatches::default(),
            retirement: RetirementState::default(),
            leftover_texts: BTreeMap::new(),
            version_lags: BTreeMap::new(),
            rewards: RewardQueue::default(),
            usage: SlotUsage::default(),
            lengths: LengthModel::default(),
            publications: Publications::default(),
            expected_tokens: BTreeMap::new(),
            backlog: ReassignmentState::default(),
            weights_due: true,
            window: OrderWindow::default(),
            is_opening_window: false,
            supply: SupplyState::default(),
            demand: DemandReporter::new(BootInstant::now()),
            backlog_reporter: BacklogReporter::new(BootInstant::now()),
            recent_capacities: RecentCapacities::default(),
            events,
            sender,
            commits,
        }
    }

    /// Runs until the term ends or is released.
    pub(super) async fn run(mut self) {
        let mut batches = self.follow(rows::BATCHES, None);
        let max_age = self.context.settings.bounds.max_view_age;
        let mut ends = self.follow(rows::ENDS, Some(max_age));
        let mut directory = self.context.directory.clone();
        let mut in_force = self.context.in_force.clone();
        let mut recorded_sets = self.context.recorded_sets.clone();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut swept_at = BootInstant::now();
        directory.mark_changed();
        loop {
            tokio::select! {
                () = self.term.ended.cancelled() => break,
                () = self.term.releasing.cancelled() => return self.hand_over().await,
                Some(event) = self.events.recv() => {
                    self.handle_event(event);
                    while let Ok(event) = self.events.try_recv() {
                        self.handle_event(event);
                    }
                }
                Ok(()) = directory.changed() => self.apply_directory(),
                Ok(()) = in_force.changed() => {
                    in_force.mark_unchanged();
                    self.refresh_send_limits();
                    self.assign_models();
                }
                Ok(()) = recorded_sets.changed() => {
                    recorded_sets.mark_unchanged();
                    self.refresh_send_limits();
                }
                Ok(()) = batches.changed() => self.apply_batches(&mut batches, &mut ends),
                Ok(()) = ends.changed() => self.apply_batches(&mut batches, &mut ends),
                _ = tick.tick() => self.on_tick(),
                () = sleep_until_due(self.rewards.next_due(BootInstant::now())) => {}
            }
            self.dispatch_items();
            self.start_scorings();
            if std::mem::take(&mut self.weights_due) {
                self.order_weight_changes();
            }
            if swept_at.elapsed() > SWEEP_INTERVAL {
                swept_at = BootInstant::now();
                let (view, ended) = (batches.borrow().clone(), ends.borrow().clone());
                let (context, set) = (Arc::clone(&self.context), self.set.clone());
                let sweep = sweeper::sweep(context, set, self.term.clone(), view, ended);
                tasks::spawn("batch sweeper", sweep);
                self.retire_if_unneeded();
            }
        }
        self.cancel_runs();
    }

    fn cancel_runs(&self) {
        for open in self.batches.values() {
            open.cancel.cancel();
        }
    }

    /// Cancels all runs and checkpoints their texts, so that the next owner can continue them.
    async fn hand_over(mut self) {
        self.cancel_runs();
        self.checkpoint_texts();
        drop(self.commits);
        // The lease manager bounds the wait. After a lost term nothing can be committed.
        let _ = self.committing.await;
    }

    fn follow(&self, table: &str, max_age: Option<Duration>) -> ViewReceiver {
        let source = Arc::clone(&self.context.table);
        follow(
            source,
            table,
            rows::CALLERS,
            PollTiming::with_delay(VIEW_POLL_DELAY, max_age),
        )
    }

    fn apply_directory(&mut self) {
        let directory = self.context.directory.borrow().clone();
        self.engines.apply_directory(&directory, &self.service);
        self.refresh_send_limits();
        self.assign_models();
    }

    /// Updates which engines are cold or in an evacuated zone.
    fn refresh_send_limits(&mut self) {
        let directory = self.context.directory.borrow().clone();
        let in_force = self.context.in_force.borrow().clone();
        let Some(configuration) = &in_force.configuration else {
            return;
        };
        let evacuations = &in_force.evacuations;
        let cold_duration = configuration.cold_bounds(&self.service).cold_duration;
        let settings = &self.context.settings;
        let recorded = self.context.recorded_sets.borrow().clone();
        let budgets = settings
            .cold
            .budgets(configuration, &recorded, &self.service);
        let budget = |zone: &ZoneName| {
            let region = settings.topology.region_of(zone);
            budgets.as_ref().map(|budgets| budgets.for_region(region))
        };
        self.engines.set_send_limits(|back_end| SendLimits {
            evacuated: evacuations.covers(&back_end.zone),
            cold_until: directory.cold_until(back_end, evacuations, cold_duration),
            budget: budget(&back_end.zone),
        });
    }

    fn assign_models(&mut self) {
        self.weights_due = true;
        let shares = self.model_shares();
        match self.assigns_by_backlog() {
            true => self.engines.assign_unassigned(&shares),
            false => self.engines.assign(&shares),
        }
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::BatchLoaded(id, loaded) => self.open_batch(id, *loaded),
            OwnerEvent::RunEnded {
                batch,
                index,
                engine,
                outcome,
                transcript,
                took,
            } => self.run_ended(&batch, index, &engine, (outcome, transcript), took),
            OwnerEvent::RewardEnded(scoring, outcome) => self.reward_ended(scoring, outcome),
            OwnerEvent::Committed(committed) => self.committed(committed),
            OwnerEvent::WindowOpenEnded(window) => self.window_open_ended(window),
            OwnerEvent::BaselineRead(baseline) => self.baseline_read(baseline),
            OwnerEvent::SupplyOrdersEnded(outcome) => self.supply_orders_ended(outcome),
            OwnerEvent::DemandWritten(outcome) => self.demand_written(outcome),
            OwnerEvent::BacklogWritten(outcome) => self.backlog_written(outcome),
            OwnerEvent::RetirementEnded(outcome) => self.retirement_ended(outcome),
            OwnerEvent::OrderEnded(end) => {
                self.weights_due = true;
                self.order_ended(end);
            }
        }
    }

    fn on_tick(&mut self) {
        self.weights_due = true;
        let now = BootInstant::now();
        for (_, engine) in self.engines.iter_mut() {
            engine.expire_change(now);
        }
        self.record_run_versions();
        self.record_slot_usage();
        self.set_dispatch_orders();
        self.update_estimates();
        self.update_triage(now);
        let slow_apart = self.context.settings.policies.slow_engines_apart;
        if slow_apart && self.update_slow_engines(now) {
            self.assign_models();
        }
        self.reassign_by_backlog(now);
        self.move_from_slow_engines(now);
        self.move_long_texts(now);
        self.move_late_texts(now);
        self.expire_items();
        self.drop_unneeded_scorings();
        self.report_item_counts();
        self.report_slots(now);
        self.report_unplaced_items(now);
        self.scale_engines();
        self.report_demand();
        self.report_backlog();
        let is_fast = self.context.table.typical_latency() < MAX_CHECKPOINT_TABLE_LATENCY;
        if is_fast && now.saturating_duration_since(self.checkpointed_at) >= CHECKPOINT_INTERVAL {
            self.checkpointed_at = now;
            self.checkpoint_texts();
        }
    }

    fn record_slot_usage(&mut self) {
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        let mut max_concurrent = 0;
        for model in self.models() {
            let open = self.batches.values();
            let of_model = open.filter(|open| open.batch.model.as_ref() == Some(&model));
            let mut items = OpenItems {
                all: self.other_batches.items(&model, now_ms),
                max_concurrent: self.other_batches.items(&model, now_ms),
            };
            for open in of_model {
                let of_batch = open.items();
                items.all += of_batch.all;
                items.max_concurrent += of_batch.max_concurrent;
            }
            max_concurrent += items.max_concurrent;
            let slots = self.engines.slots_for_model(&model);
            self.usage.record(&model, items, slots);
        }
        let enough = max_concurrent * SLOTS_PER_ITEM;
        if !self.engines.has_slots(enough, BootInstant::now()) {
            self.context.subset_demand.demand_more();
        }
    }

    /// Estimates how many items of each batch to run at a time and which of them are critical.
    /// Without plentiful slots the batch width is not limited, since total work rather than the
    /// longest text determines when a step ends.
    fn update_estimates(&mut self) {
        if !self.context.settings.policies.bounded_batch_width {
            return;
        }
        let mut items: BTreeMap<Option<String>, usize> = BTreeMap::new();
        for open in self.batches.values() {
            *items.entry(open.batch.model.clone()).or_default() += open.items().all;
        }
        let engines = &self.engines;
        let is_plentiful = |(model, items): (&Option<String>, &usize)| {
            let slots = model
                .as_deref()
                .map_or(0, |model| engines.slots_for_model(model));
            (model.clone(), items * MIN_PLENTIFUL_SLOTS_PER_ITEM <= slots)
        };
        let plentiful: BTreeMap<Option<String>, bool> = items.iter().map(is_plentiful).collect();
        for open in self.batches.values_mut() {
            match plentiful.get(&open.batch.model) {
                Some(true) => open.update_estimate(&self.lengths),
                Some(false) | None => open.estimate = BatchEstimate::default(),
            }
        }
    }

    /// Sets the dispatch order of each batch according to how scarce slots are.
    fn set_dispatch_orders(&mut self) {
        let policies = self.context.settings.policies;
        for open in self.batches.values_mut() {
            let is_scarce = self.usage.is_scarce(open.batch.model.as_deref());
            open.batch
                .set_dispatch_order(policies.dispatch_order(is_scarce));
        }
    }
}
