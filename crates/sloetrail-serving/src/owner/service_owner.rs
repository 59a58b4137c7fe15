//! The owner of a service, for one term: its loop, and the batches that it has open.

mod batches;
mod demand;
mod dispatch;
mod kept_back;
mod other_batches;
mod relocation;
mod results;
mod scoring;
mod supply;
mod texts;
mod versions;

use self::kept_back::KeptBack;
use self::other_batches::OtherBatches;
use self::supply::SupplyState;
use super::committer::{CommitRequest, commit_results};
use super::engine::Sparing;
use super::engines::EnginePool;
use super::event::OwnerEvent;
use super::item_story::ItemStory;
use super::publications::Publications;
use super::reward_queue::RewardQueue;
use super::run::RunProgress;
use super::slot_demand::DemandReporter;
use super::slot_usage::{OpenItems, SlotUsage};
use super::sweeper;
use crate::context::NodeContext;
use crate::follow::{FollowPace, ViewReceiver, follow};
use crate::leases::{BatchSet, OrderWindow, Term};
use crate::rows;
use sloetrail_balance::TenantShares;
use sloetrail_batch::{Batch, BatchId, BatchOutlook, ItemId, ItemIndex, LengthModel, Transcript};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, ServiceName, ZoneName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const TICK: Duration = Duration::from_millis(100);
const FOLLOW_PAUSE: Duration = Duration::from_millis(5);
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// How often the texts that are being made are kept in the table.
const KEEP_PERIOD: Duration = Duration::from_millis(500);
/// Texts are not kept while the table is slower than this: results go first.
const KEEP_TABLE_TIME: Duration = Duration::from_millis(100);

/// A model's places are plentiful while its open items would take this part of them at most:
/// half of its engines may be changing their weights.
const PLENTIFUL_FACTOR: usize = 2;

/// Places at engines that an owner holds for each item that runs at a time. Half of a model's
/// engines change their weights while its items run at the others. Where the directory is held
/// whole there are no more to be had.
const PLACES_FOR_ITEM: usize = 2;

struct ActiveRun {
    engine: EngineId,
    cancel: CancellationToken,
    progress: Arc<RunProgress>,
    /// Events of the text that the table holds, or is about to hold.
    kept: usize,
    began: BootInstant,
    /// True if the item came here from a slower engine.
    has_moved: bool,
    /// The engine that the item goes on at once this run has been closed.
    moves_to: Option<EngineId>,
}

struct OpenBatch {
    batch: Batch,
    runs: HashMap<ItemIndex, ActiveRun>,
    outlook: BatchOutlook,
    /// Events of the text of an item that the table holds, once one of its runs ended.
    kept: HashMap<ItemIndex, usize>,
    cancel: CancellationToken,
    opened_at: BootInstant,
    /// The age of the batch when this owner opened it.
    opened_age: Duration,
    stories: HashMap<ItemIndex, ItemStory>,
}

impl OpenBatch {
    fn age(&self) -> Duration {
        self.opened_age + self.opened_at.elapsed()
    }

    /// Looks again at what is expected of the items.
    fn look_ahead(&mut self, lengths: &LengthModel) {
        let runs = &self.runs;
        let made = |index| {
            let run: Option<&ActiveRun> = runs.get(&index);
            run.map_or(0, |run| run.progress.events())
        };
        self.outlook = self.batch.outlook(lengths, self.age(), made);
    }

    fn items(&self) -> OpenItems {
        let all = self.batch.waiting() + self.runs.len();
        OpenItems {
            all,
            max_concurrent: self.outlook.width.map_or(all, |width| width.min(all)),
        }
    }

    /// True if as many items run as are worth running at a time.
    fn is_wide_enough(&self) -> bool {
        self.outlook
            .width
            .is_some_and(|width| self.runs.len() >= width)
    }
}

/// The owner of a service, for one term.
pub(super) struct ServiceOwner {
    context: Arc<NodeContext>,
    service: ServiceName,
    /// The batches that it owns.
    set: BatchSet,
    term: Term,
    engines: EnginePool,
    batches: BTreeMap<BatchId, OpenBatch>,
    /// What tenants have under way at the engines, brought up to date before items start.
    shares: TenantShares,
    /// Batches that are open, being loaded, ended or unusable.
    known: HashSet<BatchId>,
    /// Those of other owners of the service.
    others: OtherBatches,
    /// Items that ended batches left over, with the text kept.
    carried: BTreeMap<ItemId, Transcript>,
    /// By model, how many versions behind the newest one its last batch allows.
    lags: BTreeMap<String, u64>,
    /// Whole texts that are to be scored.
    rewards: RewardQueue,
    usage: SlotUsage,
    lengths: LengthModel,
    /// Items under which engines crash.
    kept_back: KeptBack,
    publications: Publications,
    /// By model, the work of its last batch in expected tokens.
    work: BTreeMap<String, f64>,
    /// True if something has changed that orders to engines depend on.
    weights_due: bool,
    window: OrderWindow,
    window_is_opening: bool,
    supply: SupplyState,
    /// What the batches take of the engines, if another owner orders these.
    demand: DemandReporter,
    events: mpsc::UnboundedReceiver<OwnerEvent>,
    sender: mpsc::UnboundedSender<OwnerEvent>,
    commits: mpsc::UnboundedSender<CommitRequest>,
    committing: JoinHandle<()>,
    kept_at: BootInstant,
}

/// Waits until texts may be scored again that rest now.
async fn scores_due(due: Option<BootInstant>) {
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
            committing: tokio::spawn(committing),
            kept_at: BootInstant::now(),
            engines: EnginePool::within(context.settings.topology.clone(), set.regions().clone()),
            context,
            service: set.service().clone(),
            set,
            term,
            batches: BTreeMap::new(),
            shares: TenantShares::default(),
            known: HashSet::new(),
            others: OtherBatches::default(),
            carried: BTreeMap::new(),
            lags: BTreeMap::new(),
            rewards: RewardQueue::default(),
            usage: SlotUsage::default(),
            lengths: LengthModel::default(),
            kept_back: KeptBack::default(),
            publications: Publications::default(),
            work: BTreeMap::new(),
            weights_due: true,
            window: OrderWindow::default(),
            window_is_opening: false,
            supply: SupplyState::default(),
            demand: DemandReporter::new(BootInstant::now()),
            events,
            sender,
            commits,
        }
    }

    /// Works until the term is over.
    pub(super) async fn run(mut self) {
        let mut batches = self.follow(rows::BATCHES);
        let mut ends = self.follow(rows::ENDS);
        let mut directory = self.context.directory.clone();
        let mut in_force = self.context.in_force.clone();
        let mut leased_sets = self.context.leased_sets.clone();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut swept_at = BootInstant::now();
        directory.mark_changed();
        loop {
            tokio::select! {
                () = self.term.ended.cancelled() => break,
                () = self.term.releasing.cancelled() => return self.put_down().await,
                Some(event) = self.events.recv() => {
                    self.take(event);
                    while let Ok(event) = self.events.try_recv() {
                        self.take(event);
                    }
                }
                Ok(()) = directory.changed() => self.take_directory(),
                Ok(()) = in_force.changed() => {
                    in_force.mark_unchanged();
                    self.spare_engines();
                    self.assign_models();
                }
                Ok(()) = leased_sets.changed() => {
                    leased_sets.mark_unchanged();
                    self.spare_engines();
                }
                Ok(()) = batches.changed() => self.take_batches(&mut batches, &mut ends),
                Ok(()) = ends.changed() => self.take_batches(&mut batches, &mut ends),
                _ = tick.tick() => self.on_tick(),
                () = scores_due(self.rewards.next_due(BootInstant::now())) => {}
            }
            self.fill();
            self.score_texts();
            if std::mem::take(&mut self.weights_due) {
                self.drive_weights();
            }
            if swept_at.elapsed() > SWEEP_PERIOD {
                swept_at = BootInstant::now();
                let view = batches.borrow().clone();
                tokio::spawn(sweeper::sweep(
                    Arc::clone(&self.context),
                    self.set.clone(),
                    self.term.clone(),
                    view,
                ));
            }
        }
        self.cancel_runs();
    }

    fn cancel_runs(&self) {
        for open in self.batches.values() {
            open.cancel.cancel();
        }
    }

    /// Keeps every text as far as it has come and ends the runs, so that the next
    /// owner goes on from there.
    async fn put_down(mut self) {
        self.cancel_runs();
        self.keep_texts();
        drop(self.commits);
        // The keeper bounds the time; a term that is lost has nothing to commit.
        let _ = self.committing.await;
    }

    fn follow(&self, table: &str) -> ViewReceiver {
        let source = Arc::clone(&self.context.table);
        follow(
            source,
            table,
            rows::CALLERS,
            FollowPace::with_pause(FOLLOW_PAUSE),
        )
    }

    fn take_directory(&mut self) {
        let directory = self.context.directory.borrow().clone();
        self.engines.take_directory(&directory, &self.service);
        self.spare_engines();
        self.assign_models();
    }

    /// Takes in which engines are cold or lie in an evacuated zone.
    fn spare_engines(&mut self) {
        let directory = self.context.directory.borrow().clone();
        let in_force = self.context.in_force.borrow().clone();
        let Some(configuration) = &in_force.configuration else {
            return;
        };
        let evacuations = &in_force.evacuations;
        let lasts = configuration.cold_bounds(&self.service).lasts;
        let settings = &self.context.settings;
        let leased = self.context.leased_sets.borrow().clone();
        let budgets = settings.cold.budgets(configuration, &leased, &self.service);
        let budget = |zone: &ZoneName| {
            let region = settings.topology.region_of(zone);
            budgets.as_ref().map(|budgets| budgets.for_region(region))
        };
        self.engines.set_sparing(|back_end| Sparing {
            evacuated: evacuations.covers(&back_end.zone),
            cold_until: directory.cold_until(back_end, evacuations, lasts),
            budget: budget(&back_end.zone),
        });
    }

    fn assign_models(&mut self) {
        self.weights_due = true;
        let shares = self.model_shares();
        self.engines.assign(&shares);
    }

    fn models(&self) -> Vec<String> {
        let configuration = self.context.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(&self.service));
        let model = service.and_then(|service| service.model.as_ref());
        model.map(|model| model.models.clone()).unwrap_or_default()
    }

    fn take(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Loaded(id, loaded) => self.open(id, *loaded),
            OwnerEvent::RunEnded {
                batch,
                index,
                engine,
                outcome,
                transcript,
                took,
            } => self.run_ended(&batch, index, &engine, (outcome, transcript), took),
            OwnerEvent::TrialAnswered(place, passage) => self.trial_answered(place, *passage),
            OwnerEvent::RewardEnded(scoring, outcome) => self.reward_ended(scoring, outcome),
            OwnerEvent::Committed(committed) => self.committed(committed),
            OwnerEvent::WindowAnswered(window) => self.window_answered(window),
            OwnerEvent::FloorRead(floor) => self.floor_read(floor),
            OwnerEvent::SupplyAnswered(answer) => self.supply_answered(answer),
            OwnerEvent::DemandWritten(written) => self.demand_written(written),
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
        self.note_versions_of_runs();
        self.note_usage();
        self.order_items();
        self.look_ahead();
        let slow_apart = self.context.settings.policies.slow_engines_apart;
        if slow_apart && self.engines.judge_paces() {
            self.assign_models();
        }
        self.move_from_slow_engines(now);
        self.move_long_texts(now);
        self.look_at_kept_back();
        self.expire_items();
        self.drop_scored();
        self.tell_items();
        self.drive_supply();
        self.tell_demand();
        let is_fast = self.context.table.ordinary_time() < KEEP_TABLE_TIME;
        if is_fast && now.saturating_duration_since(self.kept_at) >= KEEP_PERIOD {
            self.kept_at = now;
            self.keep_texts();
        }
    }

    fn note_usage(&mut self) {
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        let mut max_concurrent = 0;
        for model in self.models() {
            let open = self.batches.values();
            let of_model = open.filter(|open| open.batch.model.as_ref() == Some(&model));
            let mut items = OpenItems {
                all: self.others.items(&model, now_ms),
                max_concurrent: self.others.items(&model, now_ms),
            };
            for open in of_model {
                let of_batch = open.items();
                items.all += of_batch.all;
                items.max_concurrent += of_batch.max_concurrent;
            }
            max_concurrent += items.max_concurrent;
            let places = self.engines.places_of(&model);
            self.usage.record(&model, items, places);
        }
        let enough = max_concurrent * PLACES_FOR_ITEM;
        if !self.engines.has_places(enough, BootInstant::now()) {
            self.context.directory_interest.want_more();
        }
    }

    /// Finds out how many items of each batch are worth running at a time, and which decide
    /// when it is done. Where places are not plentiful, none is left free on purpose, and each
    /// item goes to the fastest engine: it is work that ends a step there, not its longest text.
    fn look_ahead(&mut self) {
        if !self.context.settings.policies.bounded_batch_width {
            return;
        }
        let mut items: BTreeMap<Option<String>, usize> = BTreeMap::new();
        for open in self.batches.values() {
            *items.entry(open.batch.model.clone()).or_default() += open.items().all;
        }
        let engines = &self.engines;
        let is_plentiful = |(model, items): (&Option<String>, &usize)| {
            let places = model.as_deref().map_or(0, |model| engines.places_of(model));
            (model.clone(), items * PLENTIFUL_FACTOR <= places)
        };
        let plentiful: BTreeMap<Option<String>, bool> = items.iter().map(is_plentiful).collect();
        for open in self.batches.values_mut() {
            match plentiful.get(&open.batch.model) {
                Some(true) => open.look_ahead(&self.lengths),
                Some(false) | None => open.outlook = BatchOutlook::default(),
            }
        }
    }

    /// Has the items go to engines in the order that fits how scarce places are.
    fn order_items(&mut self) {
        let policies = self.context.settings.policies;
        for open in self.batches.values_mut() {
            let is_scarce = self.usage.is_scarce(open.batch.model.as_deref());
            open.batch.set_order(policies.dispatch_order(is_scarce));
        }
    }
}
