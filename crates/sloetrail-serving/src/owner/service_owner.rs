//! The owner of a service, for one term.

use super::committer::{CommitRequest, Committed, commit_results};
use super::engines::{Demand, EnginePool, VersionChangeUnderWay};
use super::loading::{LoadedBatch, load};
use super::order_window::OrderWindow;
use super::reward::{RewardOutcome, score};
use super::run::{RunOutcome, RunProgress, RunSpec, run_item};
use super::sweeper;
use super::term::Term;
use super::weights::{OrderEnd, OrderTask, plan};
use crate::back_end::{OrderAnswer, VersionChange};
use crate::batch_rows::decode_header;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::follow::{ViewReceiver, follow};
use crate::rows;
use crate::telemetry;
use sloetrail_batch::{
    Batch, BatchHeader, BatchId, Checkpoint, DeathCause, ItemId, ItemIndex, ItemState,
    ListedResult, ResultState, RunFailure, Transcript, TranscriptEvent,
};
use sloetrail_types::EngineId;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const TICK: Duration = Duration::from_millis(100);
const FOLLOW_PAUSE: Duration = Duration::from_millis(5);
const ORDER_RETRY: Duration = Duration::from_millis(150);
const ORDER_RETRY_UNANSWERED: Duration = Duration::from_millis(700);
const ORDER_SEND_TIME: Duration = Duration::from_millis(140);
const SWEEP_PERIOD: Duration = Duration::from_secs(20);
/// How often the texts that are being made are kept in the table.
const KEEP_PERIOD: Duration = Duration::from_millis(500);
/// Texts are not kept while the table is slower than this: results go first.
const KEEP_TABLE_TIME: Duration = Duration::from_millis(100);
/// Bytes of text in one piece.
const KEEP_BYTES: usize = 16 * 1024;
/// An item is given up only this much after its retention.
const RETENTION_MARGIN_MS: u64 = 2_000;
/// Ranks at an engine: items of groups that the trainer waits for, and the others.
const PRIORITY_WANTED: u8 = 5;
const PRIORITY_OTHER: u8 = 7;
/// Items that ended batches left over and that may come again.
const CARRIED_LIMIT: usize = 20_000;

/// What happens to an owner.
pub(super) enum OwnerEvent {
    /// A batch has been loaded, or could not be.
    Loaded(BatchId, Box<Option<LoadedBatch>>),
    /// A run of an item has ended.
    RunEnded {
        /// The batch.
        batch: BatchId,
        /// The item's place in its submission.
        index: ItemIndex,
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: RunOutcome,
        /// The text as far as it came.
        transcript: Transcript,
        /// How long it took.
        took: Duration,
    },
    /// A text has been scored, or could not be.
    RewardEnded(BatchId, ItemIndex, RewardOutcome),
    /// A result was committed.
    Committed(Committed),
    /// An order was given, or could not be.
    OrderEnded(OrderEnd),
}

struct ActiveRun {
    engine: EngineId,
    cancel: CancellationToken,
    progress: Arc<RunProgress>,
    /// Events of the text that the table holds, or is about to hold.
    kept: usize,
}

struct OpenBatch {
    batch: Batch,
    runs: HashMap<ItemIndex, ActiveRun>,
    /// Events of the text of an item that the table holds, once one of its runs ended.
    kept: HashMap<ItemIndex, usize>,
    cancel: CancellationToken,
}

/// The owner of a service, for one term.
pub(super) struct ServiceOwner {
    context: Arc<NodeContext>,
    term: Term,
    engines: EnginePool,
    batches: BTreeMap<BatchId, OpenBatch>,
    /// Batches that are open, being loaded, ended or unusable.
    known: HashSet<BatchId>,
    /// Items that ended batches left over, with the text kept.
    carried: BTreeMap<ItemId, Transcript>,
    window: OrderWindow,
    events: mpsc::UnboundedReceiver<OwnerEvent>,
    sender: mpsc::UnboundedSender<OwnerEvent>,
    commits: mpsc::UnboundedSender<CommitRequest>,
    committing: JoinHandle<()>,
    kept_at: Instant,
}

impl ServiceOwner {
    pub(super) fn new(context: Arc<NodeContext>, term: Term) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        let (commits, requests) = mpsc::unbounded_channel();
        let committing =
            commit_results(Arc::clone(&context), term.clone(), requests, sender.clone());
        Self {
            committing: tokio::spawn(committing),
            kept_at: Instant::now(),
            context,
            term,
            engines: EnginePool::default(),
            batches: BTreeMap::new(),
            known: HashSet::new(),
            carried: BTreeMap::new(),
            window: OrderWindow::default(),
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
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut swept_at = Instant::now();
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
                    self.assign_models();
                }
                Ok(()) = batches.changed() => self.take_batches(&mut batches, &mut ends),
                Ok(()) = ends.changed() => self.take_batches(&mut batches, &mut ends),
                _ = tick.tick() => self.on_tick(),
            }
            self.fill();
            self.drive_weights().await;
            if swept_at.elapsed() > SWEEP_PERIOD {
                swept_at = Instant::now();
                let view = batches.borrow().clone();
                tokio::spawn(sweeper::sweep(
                    Arc::clone(&self.context),
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
        follow(source, table, rows::PARTITION, FOLLOW_PAUSE)
    }

    fn take_directory(&mut self) {
        let directory = self.context.directory.borrow().clone();
        self.engines.take_directory(&directory, &self.term.service);
        self.assign_models();
    }

    fn assign_models(&mut self) {
        let models = self.models();
        self.engines.assign(&models);
    }

    fn models(&self) -> Vec<String> {
        let configuration = self.context.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(&self.term.service));
        let model = service.and_then(|service| service.model.as_ref());
        model.map(|model| model.models.clone()).unwrap_or_default()
    }

    /// Takes in the heads of batches and the marks of ended ones.
    fn take_batches(&mut self, batches: &mut ViewReceiver, ends: &mut ViewReceiver) {
        let batches = batches.borrow_and_update().clone();
        let ends = ends.borrow_and_update().clone();
        if batches.confirmed_at.is_none() || ends.confirmed_at.is_none() {
            return;
        }
        let ended: Vec<BatchId> = self
            .batches
            .keys()
            .filter(|id| ends.rows.contains_key(*id))
            .cloned()
            .collect();
        for id in ended {
            self.close(&id);
        }
        for (id, row) in &batches.rows {
            if self.known.contains(id) {
                continue;
            }
            let header = decode_header(&row.value);
            let Some(header) = header.filter(|header| header.service == self.term.service) else {
                continue;
            };
            self.known.insert(id.clone());
            if !ends.rows.contains_key(id) {
                self.begin_loading(id.clone(), header);
            }
        }
    }

    fn begin_loading(&self, id: BatchId, header: BatchHeader) {
        let context = Arc::clone(&self.context);
        let carried: BTreeSet<ItemId> = self.carried.keys().cloned().collect();
        let ended = self.term.ended.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let loaded = load(&context, &id, &header, &carried, &ended).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::Loaded(id, Box::new(loaded)));
        });
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
            OwnerEvent::RewardEnded(batch, index, outcome) => {
                self.reward_ended(&batch, index, outcome);
            }
            OwnerEvent::Committed(committed) => self.committed(committed),
            OwnerEvent::OrderEnded(end) => self.order_ended(end),
        }
    }

    fn open(&mut self, id: BatchId, loaded: Option<LoadedBatch>) {
        let Some(LoadedBatch { mut batch, listed }) = loaded else {
            // Its parts may still be on their way; the next change looks again.
            self.known.remove(&id);
            return;
        };
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        events::emit(&Event::BatchOpened {
            batch: &id,
            items: batch.items().len(),
            listed,
            epoch: self.term.epoch.0,
            age_ms: now_ms.saturating_sub(batch.header.accepted_at_ms),
        });
        let kept = kept_in_table(&batch);
        self.reuse_carried(&mut batch);
        let opened = CommitRequest::Open {
            batch: id.clone(),
            next_position: listed,
        };
        // The committer ends only with the term.
        let _ = self.commits.send(opened);
        let open = OpenBatch {
            batch,
            runs: HashMap::new(),
            kept,
            cancel: CancellationToken::new(),
        };
        self.batches.insert(id, open);
    }

    /// Goes on with texts that an ended batch left over, if their versions fit and
    /// the table holds none for the item in this batch.
    fn reuse_carried(&mut self, batch: &mut Batch) {
        let oldest = batch.oldest_version;
        for index in batch.unfinished() {
            let item = batch.item(index);
            let Some(transcript) = self.carried.remove(&item.submitted.id) else {
                continue;
            };
            let mixes = batch.header.single_version && transcript.versions().len() > 1;
            let is_usable = transcript.is_fresh(oldest) && !mixes && item.transcript.is_empty();
            if is_usable {
                // The first piece that is kept holds the whole text, under offset zero.
                let generation = item.generation + 1;
                batch.restore(index, generation, transcript);
            }
        }
    }

    fn close(&mut self, id: &BatchId) {
        let Some(mut open) = self.batches.remove(id) else {
            return;
        };
        open.cancel.cancel();
        for (index, run) in &open.runs {
            open.batch.keep(*index, run.progress.transcript());
        }
        let unfinished = open.batch.unfinished();
        events::emit(&Event::BatchEnded {
            batch: id,
            unfinished: unfinished.len(),
        });
        if self.carried.len() > CARRIED_LIMIT {
            self.carried.clear();
        }
        for index in unfinished {
            let item = open.batch.item(index);
            let id = item.submitted.id.clone();
            self.carried.insert(id, item.transcript.clone());
        }
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        for (_, engine) in self.engines.iter_mut() {
            engine.expire_change(now);
        }
        self.note_versions_of_runs();
        self.engines.judge_paces();
        self.move_from_slow_engines(now);
        self.expire_items();
        self.tell_items();
        let is_fast = self.context.table.ordinary_time() < KEEP_TABLE_TIME;
        if is_fast && now.saturating_duration_since(self.kept_at) >= KEEP_PERIOD {
            self.kept_at = now;
            self.keep_texts();
        }
    }

    fn tell_items(&self) {
        let open = self.batches.values();
        let waiting = open.map(|open| open.batch.waiting()).sum();
        let running = self.batches.values().map(|open| open.runs.len()).sum();
        telemetry::items(self.term.service.as_str(), waiting, running);
    }

    /// Has the new events of every running item committed.
    fn keep_texts(&mut self) {
        for (id, open) in &mut self.batches {
            for (index, run) in &mut open.runs {
                let events = first_bytes(run.progress.events_after(run.kept), KEEP_BYTES);
                if events.is_empty() {
                    continue;
                }
                let checkpoint = Checkpoint {
                    index: *index,
                    generation: open.batch.item(*index).generation,
                    offset: run.kept,
                    events,
                };
                run.kept += checkpoint.events.len();
                let request = CommitRequest::Keep {
                    batch: id.clone(),
                    checkpoint,
                };
                // The committer ends only with the term.
                let _ = self.commits.send(request);
            }
        }
    }

    fn note_versions_of_runs(&mut self) {
        for open in self.batches.values() {
            let Some(model) = &open.batch.model else {
                continue;
            };
            for run in open.runs.values() {
                if let Some(version) = run.progress.version()
                    && let Some(engine) = self.engines.get_mut(&run.engine)
                    && engine.version(model) < version
                {
                    engine.note_version(model, version, "answer");
                }
            }
        }
    }

    /// Gives up runs on slow engines while others have free places; they go on there
    /// from the text that is kept.
    fn move_from_slow_engines(&mut self, now: Instant) {
        for open in self.batches.values() {
            let demand = Demand {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            if open.batch.waiting() > 0 {
                continue;
            }
            let mut places = self.engines.fast_places(demand, now);
            for run in open.runs.values() {
                let engine = self.engines.get(&run.engine);
                let is_slow = engine.is_some_and(|engine| engine.is_slow());
                if places > 0 && is_slow && !run.cancel.is_cancelled() {
                    run.cancel.cancel();
                    places -= 1;
                }
            }
        }
    }

    fn expire_items(&mut self) {
        let Some(now_ms) = self.context.table.now_ms() else {
            return;
        };
        let is_expired = |open: &OpenBatch| {
            let header = &open.batch.header;
            let kept_until = header.accepted_at_ms + header.retention_ms + RETENTION_MARGIN_MS;
            header.accepted_at_ms > 0 && now_ms > kept_until
        };
        let expired: Vec<BatchId> = self
            .batches
            .iter()
            .filter(|(_, open)| is_expired(open))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(open) = self.batches.get_mut(&id) else {
                continue;
            };
            open.cancel.cancel();
            open.cancel = CancellationToken::new();
            open.runs.clear();
            for index in open.batch.unfinished() {
                self.give_up(&id, index, DeathCause::Expired);
            }
        }
    }

    /// Starts items while there are engines for them: first the items of groups that
    /// trainers wait for, of all batches by rank and age, then the others.
    fn fill(&mut self) {
        for wanted in [true, false] {
            let mut order: Vec<(u8, u64, BatchId)> = self
                .batches
                .iter()
                .map(|(id, open)| {
                    let header = &open.batch.header;
                    (header.priority, header.accepted_at_ms, id.clone())
                })
                .collect();
            order.sort();
            for (_, _, id) in order {
                while self.start_next(&id, wanted) {}
            }
        }
    }

    /// Starts the next item of a batch; false if none waits or no engine takes it.
    fn start_next(&mut self, id: &BatchId, wanted: bool) -> bool {
        let Some(open) = self.batches.get_mut(id) else {
            return false;
        };
        let next = open.batch.peek();
        if next.is_none_or(|index| open.batch.is_wanted(index) != wanted) {
            return false;
        }
        let demand = Demand {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let Some(engine_id) = self.engines.pick(demand, Instant::now()) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return false;
        };
        let Some(index) = open.batch.start_next() else {
            return false;
        };
        engine.started();
        let item = open.batch.item(index);
        let run = ActiveRun {
            engine: engine_id.clone(),
            cancel: open.cancel.child_token(),
            progress: RunProgress::new(item.transcript.clone()),
            kept: open.kept.get(&index).copied().unwrap_or_default(),
        };
        let spec = RunSpec {
            context: Arc::clone(&self.context),
            item: Arc::clone(&item.submitted),
            host: open.batch.header.host.clone(),
            back_end: Arc::clone(&engine.back_end),
            oldest_version: open.batch.oldest_version,
            single_version: open.batch.header.single_version,
            priority: if wanted {
                PRIORITY_WANTED
            } else {
                PRIORITY_OTHER
            },
            pace: Arc::clone(&engine.pace),
            progress: Arc::clone(&run.progress),
            cancel: run.cancel.clone(),
        };
        let model = open.batch.model.as_deref().unwrap_or_default();
        events::emit(&Event::ItemStarted {
            item: &item.submitted.id,
            batch: id,
            back_end: engine_id.as_str(),
            last_event: item.transcript.last_number().unwrap_or_default(),
            version: engine.version(model).0,
            waiting: open.batch.waiting(),
        });
        open.runs.insert(index, run);
        self.spawn_run(id.clone(), index, engine_id, spec);
        true
    }

    fn spawn_run(&self, batch: BatchId, index: ItemIndex, engine: EngineId, spec: RunSpec) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let began = Instant::now();
            let progress = Arc::clone(&spec.progress);
            let outcome = run_item(spec).await;
            let ended = OwnerEvent::RunEnded {
                batch,
                index,
                engine,
                outcome,
                transcript: progress.transcript(),
                took: began.elapsed(),
            };
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(ended);
        });
    }

    fn run_ended(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
        engine: &EngineId,
        (outcome, transcript): (RunOutcome, Transcript),
        took: Duration,
    ) {
        telemetry::run_ended(self.term.service.as_str(), outcome.word(), took);
        self.judge_engine(engine, outcome);
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        if open.batch.item(index).state != ItemState::Running {
            return;
        }
        if let Some(run) = open.runs.remove(&index) {
            open.kept.insert(index, run.kept);
        }
        if outcome == RunOutcome::Whole {
            open.batch.text_is_whole(index, transcript);
            self.begin_reward(id, index);
            return;
        }
        events::emit(&Event::ItemInterrupted {
            item: &open.batch.item(index).submitted.id,
            batch: id,
            back_end: engine.as_str(),
            outcome: outcome.word(),
            events: transcript.len(),
            took_ms: took.as_millis() as u64,
        });
        open.batch.keep(index, transcript);
        if outcome == RunOutcome::WrongVersion && open.batch.header.single_version {
            open.batch.begin_anew(index);
        }
        let failure = match outcome {
            RunOutcome::Failed => RunFailure::Failed,
            RunOutcome::Impossible => RunFailure::Impossible,
            _ => RunFailure::Interrupted,
        };
        let death = open.batch.run_failed(index, failure);
        if open.batch.item(index).transcript.is_empty() {
            open.kept.remove(&index);
        }
        if let Some(cause) = death {
            self.give_up(id, index, cause);
        }
    }

    fn judge_engine(&mut self, id: &EngineId, outcome: RunOutcome) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        match outcome {
            RunOutcome::NotRun | RunOutcome::WrongVersion => engine.refused(),
            RunOutcome::WrongInstance
            | RunOutcome::NotSent
            | RunOutcome::Lost
            | RunOutcome::Silent => engine.lost(),
            RunOutcome::Whole | RunOutcome::Failed | RunOutcome::Impossible => engine.finished(),
            RunOutcome::Cancelled => {}
        }
    }

    fn begin_reward(&mut self, id: &BatchId, index: ItemIndex) {
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let submitted = Arc::clone(&open.batch.item(index).submitted);
        if submitted.reward.is_none() {
            self.succeed(id, index, None);
            return;
        }
        let context = Arc::clone(&self.context);
        let cancel = open.cancel.child_token();
        let sender = self.sender.clone();
        let batch = id.clone();
        tokio::spawn(async move {
            let Some(reward) = &submitted.reward else {
                return;
            };
            let outcome = score(&context, &submitted.id, reward, &cancel).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::RewardEnded(batch, index, outcome));
        });
    }

    fn reward_ended(&mut self, id: &BatchId, index: ItemIndex, outcome: RewardOutcome) {
        let is_rewarding = self
            .batches
            .get(id)
            .is_some_and(|open| open.batch.item(index).state == ItemState::Rewarding);
        if !is_rewarding {
            return;
        }
        match outcome {
            RewardOutcome::Scored(score) => self.succeed(id, index, Some(score)),
            RewardOutcome::Failed => self.give_up(id, index, DeathCause::RewardFailed),
            RewardOutcome::Cancelled => {}
        }
    }

    fn succeed(&mut self, id: &BatchId, index: ItemIndex, score: Option<String>) {
        if let Some(open) = self.batches.get_mut(id) {
            let result = open.batch.succeed(index, score);
            self.list(id, index, result);
        }
    }

    fn give_up(&mut self, id: &BatchId, index: ItemIndex, cause: DeathCause) {
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        let result = open.batch.give_up(index);
        events::emit(&Event::ItemDead {
            item: &result.id,
            batch: id,
            cause: match cause {
                DeathCause::Impossible => "impossible",
                DeathCause::RunsFailed => "its runs failed",
                DeathCause::RewardFailed => "its reward call failed",
                DeathCause::Expired => "its time of retention is over",
            },
        });
        self.list(id, index, result);
    }

    fn list(&self, id: &BatchId, index: ItemIndex, result: ListedResult) {
        let request = CommitRequest::List {
            batch: id.clone(),
            index,
            result,
        };
        // The committer ends only with the term.
        let _ = self.commits.send(request);
    }

    fn committed(&mut self, committed: Committed) {
        let state = match committed.result.state {
            ResultState::Succeeded => "succeeded",
            ResultState::Dead => "dead",
        };
        telemetry::result_listed(state, committed.took);
        let versions: Vec<u64> = committed
            .result
            .versions
            .iter()
            .map(|version| version.0)
            .collect();
        events::emit(&Event::ItemListed {
            item: &committed.result.id,
            batch: &committed.batch,
            position: committed.position,
            versions: &versions,
            commit_ms: committed.took.as_millis() as u64,
        });
        if let Some(open) = self.batches.get_mut(&committed.batch) {
            open.batch.listed(committed.index);
        }
    }

    /// Gives the orders that are due, within a window that was committed before.
    async fn drive_weights(&mut self) {
        let models = self.models();
        let published = Arc::clone(&self.context.in_force.borrow().published);
        let concurrent = self.context.settings.bounds.concurrent_loads;
        let orders = plan(
            &self.engines,
            |model| published.get(model).copied(),
            &models,
            concurrent,
            Instant::now(),
        );
        if orders.is_empty() {
            return;
        }
        let is_open = self.window.is_open() || self.window.open(&self.context, &self.term).await;
        if !is_open {
            return;
        }
        let change = self.version_change();
        for order in orders {
            let Some(engine) = self.engines.get_mut(&order.engine) else {
                continue;
            };
            engine.is_being_ordered = true;
            let task = OrderTask {
                context: Arc::clone(&self.context),
                term: self.term.clone(),
                back_end: Arc::clone(&engine.back_end),
                order,
                change,
                send_before: Instant::now() + ORDER_SEND_TIME,
                events: self.sender.clone(),
            };
            tokio::spawn(task.run());
        }
    }

    /// Running samples go on under new weights, unless a route of the service wants
    /// each sample from one version.
    fn version_change(&self) -> VersionChange {
        let configuration = self.context.configuration();
        let wants_one = configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| {
                let serves =
                    |part: &sloetrail_routing::WeightedService| part.service == self.term.service;
                route.single_version && route.services.iter().any(serves)
            })
        });
        match wants_one {
            true => VersionChange::Wait,
            false => VersionChange::Continue,
        }
    }

    fn order_ended(&mut self, end: OrderEnd) {
        let now = Instant::now();
        let Some(engine) = self.engines.get_mut(&end.order.engine) else {
            return;
        };
        engine.is_being_ordered = false;
        let model = &end.order.model;
        let is_busy = end.status.as_ref().is_some_and(|status| status.busy);
        if let Some(status) = &end.status
            && let Some(version) = status.versions.get(model)
            && !is_busy
        {
            engine.note_version(model, *version, "status");
        }
        match end.answer {
            Some(OrderAnswer::Accepted) => {
                engine.change = Some(VersionChangeUnderWay {
                    model: model.clone(),
                    version: end.order.version,
                    accepted_at: now,
                });
            }
            Some(OrderAnswer::AlreadyInForce) => {
                engine.note_version(model, end.order.version, "order");
            }
            Some(OrderAnswer::Fenced) => self.term.ended.cancel(),
            Some(OrderAnswer::Conflict | OrderAnswer::Refused) => {
                engine.order_not_before = now + ORDER_RETRY;
            }
            None if is_busy => engine.order_not_before = now + ORDER_RETRY,
            None => engine.order_not_before = now + ORDER_RETRY_UNANSWERED,
        }
    }
}

/// The first events that together hold at most so many bytes, at least one.
fn first_bytes(events: Vec<TranscriptEvent>, bytes: usize) -> Vec<TranscriptEvent> {
    let mut held = 0;
    let fits = |(index, event): &(usize, TranscriptEvent)| {
        held += event.data.len();
        *index == 0 || held <= bytes
    };
    let fitting = events.into_iter().enumerate().take_while(fits);
    fitting.map(|(_, event)| event).collect()
}

/// How many events of each unfinished item's text a batch was loaded with.
fn kept_in_table(batch: &Batch) -> HashMap<ItemIndex, usize> {
    let unfinished = batch.unfinished().into_iter();
    unfinished
        .map(|index| (index, batch.item(index).transcript.len()))
        .filter(|(_, events)| *events > 0)
        .collect()
}
