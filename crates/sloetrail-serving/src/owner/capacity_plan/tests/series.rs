//! Series of training steps on a model's slots, in steps of one event, with and without triage.

use crate::owner::batch_scheduler::{BatchScheduler, StartOutcome, StartsSinceLate, TurnRule};
use crate::owner::capacity_plan::{ModelCapacity, PlannedBatch, plan_capacity};
use serde_json::json;
use sloetrail_balance::TenantShares;
use sloetrail_batch::{
    Batch, BatchHeader, BatchId, DispatchClass, DispatchOrder, ItemIndex, LengthModel, RunFailure,
    Submission, Transcript, TranscriptEvent,
};
use sloetrail_types::{
    AllowedRegions, ServiceName, TenantName, TimeSpan, Timestamp, WeightVersion,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SLOTS: usize = 48;
const EVENT_INTERVAL_MS: u64 = 10;
const TICK_MS: u64 = 100;
const RUN_TARGET_MS: u64 = 7_500;
/// A trainer gives a step up after this time.
const MAX_STEP_AGE_MS: u64 = 12_000;
const STEP_INTERVAL_MS: u64 = 7_500;
const STEPS: u64 = 6;
const ITEMS_PER_GROUP: usize = 8;
const MIN_EVENTS: u64 = 40;
const MAX_EVENTS: u64 = 260;
/// The groups of a step whose work takes all slots for one step interval.
const FULL_LOAD_GROUPS: usize = 30;
const MIN_LENGTH_UNITS: u64 = 7;

/// Deterministic numbers with enough variety for lengths.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

#[derive(Clone, Copy)]
struct Load {
    /// Groups of a step of one trainer.
    groups: usize,
    trainers: usize,
    /// The length hints deviate by up to this many percent.
    hint_error_percent: u64,
    /// The factor by which the estimated capacity is too high.
    capacity_error: f64,
    /// One run is interrupted in this time.
    interruption_interval_ms: u64,
}

impl Load {
    fn times(load: usize) -> Self {
        Self {
            groups: FULL_LOAD_GROUPS * load,
            trainers: 1,
            hint_error_percent: 30,
            capacity_error: 1.0,
            interruption_interval_ms: 300,
        }
    }
}

/// Groups of one trainer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_time: usize,
    /// Complete after the due time, before the trainer gives up.
    late: usize,
    of: usize,
}

struct Step {
    batch: Batch,
    /// Actual number of events of each text.
    lengths: Vec<usize>,
    generated: Vec<usize>,
    running: BTreeSet<ItemIndex>,
    complete_groups: usize,
}

struct Series {
    load: Load,
    uses_triage: bool,
    now_ms: u64,
    numbers: Numbers,
    lengths: LengthModel,
    steps: BTreeMap<BatchId, Step>,
    shares: TenantShares,
    starts_since_late: StartsSinceLate,
    rule: TurnRule,
    outcomes: BTreeMap<String, Outcome>,
}

impl Series {
    fn run(load: Load, uses_triage: bool) -> Vec<Outcome> {
        let mut lengths = LengthModel::default();
        for _ in 0..50 {
            lengths.record(MIN_LENGTH_UNITS * 100, 100);
        }
        let mut series = Self {
            load,
            uses_triage,
            now_ms: 1_000,
            numbers: Numbers(7),
            lengths,
            steps: BTreeMap::new(),
            shares: TenantShares::default(),
            starts_since_late: StartsSinceLate::new(),
            rule: TurnRule::ItemsInFlight,
            outcomes: BTreeMap::new(),
        };
        let end_ms = series.now_ms + STEPS * STEP_INTERVAL_MS + MAX_STEP_AGE_MS;
        let start_ms = series.now_ms;
        while series.now_ms < end_ms {
            let age_ms = series.now_ms - start_ms;
            let step = age_ms / STEP_INTERVAL_MS;
            if age_ms.is_multiple_of(STEP_INTERVAL_MS) && step < STEPS {
                (0..load.trainers).for_each(|trainer| series.submit(trainer, step));
            }
            if age_ms.is_multiple_of(TICK_MS) {
                series.tick();
            }
            series.start_items();
            series.generate_events();
            series.interrupt_a_run(age_ms);
            series.now_ms += EVENT_INTERVAL_MS;
        }
        series.outcomes.into_values().collect()
    }

    fn submit(&mut self, trainer: usize, step: u64) {
        let mut lengths = Vec::new();
        let mut items = Vec::new();
        for group in 0..self.load.groups {
            for number in 0..ITEMS_PER_GROUP {
                let events = MIN_EVENTS + self.numbers.below(MAX_EVENTS - MIN_EVENTS);
                let error = self.numbers.below(2 * self.load.hint_error_percent + 1);
                let percent = 100 - self.load.hint_error_percent + error;
                items.push(json!({
                    "id": format!("{trainer}-{step}-{group}-{number}"), "path": "/r", "body": "q83v",
                    "tokens": events * MIN_LENGTH_UNITS * percent / 100,
                    "group": group.to_string(),
                }));
                lengths.push(events as usize);
            }
        }
        let tenant = format!("trainer-{trainer}");
        let desired = self.load.groups * 9 / 10;
        let json = json!({"step": step, "model": "m", "min_version": 1, "desired": desired, "items": items});
        let submission = Submission::parse(json.to_string().as_bytes()).expect("valid");
        let id = format!("{step}-{trainer}");
        let header = header(&tenant, self.now_ms);
        let batch = Batch::new(
            id.clone(),
            header,
            submission,
            |item| item.tokens,
            &BTreeSet::new(),
        );
        self.outcomes.entry(tenant).or_default().of += desired;
        let generated = vec![0; lengths.len()];
        self.steps.insert(
            id,
            Step {
                batch,
                lengths,
                generated,
                running: BTreeSet::new(),
                complete_groups: 0,
            },
        );
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        self.steps.retain(|_, step| {
            let age_ms = now_ms - step.batch.header.accepted_at.0;
            age_ms < MAX_STEP_AGE_MS && !step.batch.groups().is_complete()
        });
        let elapsed = Duration::from_millis(TICK_MS);
        let used = self.steps.values().map(|step| {
            let slot_time = elapsed * step.running.len() as u32;
            (&step.batch.header.tenant, slot_time)
        });
        self.shares.record_engine_time(elapsed, used);
        for step in self.steps.values_mut() {
            step.batch.set_dispatch_order(DispatchOrder {
                required_first: true,
                longest_first: true,
            });
        }
        if self.uses_triage {
            self.triage();
        }
    }

    fn triage(&mut self) {
        let open = self.steps.iter().map(|(id, step)| PlannedBatch {
            id: id.clone(),
            urgency: step.batch.header.urgency().0,
            tenant: step.batch.header.tenant.clone(),
            ends_by: step.batch.header.ends_by(),
            useful_until: step.batch.header.ends_by(),
            has_due_time: true,
            work: step
                .batch
                .remaining_work(&self.lengths, |index| step.generated[index])
                .expect("lengths can be estimated"),
        });
        let capacity = ModelCapacity {
            events_per_second: SLOTS as f64 * 1_000.0 / EVENT_INTERVAL_MS as f64
                * self.load.capacity_error,
            event_interval: Duration::from_millis(EVENT_INTERVAL_MS),
        };
        let plan = plan_capacity(open.collect(), capacity, Timestamp(self.now_ms));
        self.rule = match plan.fits {
            true => TurnRule::ItemsInFlight,
            false => TurnRule::EngineTime {
                run_time: Duration::from_millis(MAX_EVENTS / 2 * EVENT_INTERVAL_MS),
            },
        };
        for (id, groups) in &plan.batches {
            let step = self.steps.get_mut(id).expect("open");
            step.batch.set_triage((!plan.fits).then_some(groups));
        }
    }

    fn start_items(&mut self) {
        let steps = &mut self.steps;
        let in_flight = steps
            .values()
            .map(|step| (&step.batch.header.tenant, step.running.len()));
        self.shares.recount(in_flight);
        let running: usize = steps.values().map(|step| step.running.len()).sum();
        let mut free = SLOTS - running;
        let headers: Vec<(BatchId, BatchHeader)> = steps
            .iter()
            .map(|(id, step)| (id.clone(), step.batch.header.clone()))
            .collect();
        let mut start = |id: &BatchId, class: DispatchClass| {
            let step = steps.get_mut(id).expect("open");
            let Some(index) = step.batch.next_of_class(class) else {
                return StartOutcome::NoItem;
            };
            if free == 0 {
                return StartOutcome::NoRoom;
            }
            free -= 1;
            assert!(step.batch.start(index));
            step.running.insert(index);
            StartOutcome::Started
        };
        let headers = || headers.iter().map(|(id, header)| (id, header));
        match self.rule {
            TurnRule::ItemsInFlight => {
                for class in [DispatchClass::InTime, DispatchClass::NotRequired] {
                    let scheduler = BatchScheduler::new(&mut self.shares, self.rule, headers());
                    scheduler.run(|id| start(id, class) == StartOutcome::Started);
                }
            }
            TurnRule::EngineTime { .. } => {
                let starts_since_late = &mut self.starts_since_late;
                let scheduler = BatchScheduler::new(&mut self.shares, self.rule, headers());
                scheduler.run_by_class(starts_since_late, start);
            }
        }
    }

    fn generate_events(&mut self) {
        for step in self.steps.values_mut() {
            for index in step.running.clone() {
                step.generated[index] += 1;
                if step.generated[index] < step.lengths[index] {
                    continue;
                }
                let hint = step.batch.item(index).expected_length;
                self.lengths.record(hint, step.lengths[index]);
                step.running.remove(&index);
                step.batch
                    .record_complete_text(index, Transcript::default());
                step.batch.record_listed(index);
            }
            let outcome = self.outcomes.get_mut(tenant_of(&step.batch));
            step.count_groups(self.now_ms, outcome.expect("inserted with its first step"));
        }
    }

    fn interrupt_a_run(&mut self, age_ms: u64) {
        if !age_ms.is_multiple_of(self.load.interruption_interval_ms) {
            return;
        }
        let step = self.steps.values_mut().next();
        if let Some(step) = step
            && let Some(index) = step.running.pop_last()
        {
            let text = transcript(step.generated[index]);
            step.batch.set_transcript(index, text);
            step.batch
                .record_run_failure(index, RunFailure::Interrupted);
        }
    }
}

impl Step {
    /// Counts the groups that became complete, up to the number that the trainer waits for.
    fn count_groups(&mut self, now_ms: u64, outcome: &mut Outcome) {
        let groups = self.batch.groups();
        let complete = groups.completed().min(groups.required());
        let added = complete - self.complete_groups;
        self.complete_groups = complete;
        match Timestamp(now_ms) <= self.batch.header.due_at() {
            true => outcome.in_time += added,
            false => outcome.late += added,
        }
    }
}

fn tenant_of(batch: &Batch) -> &str {
    let tenant = batch.header.tenant.as_ref();
    tenant.map(TenantName::as_str).unwrap_or_default()
}

fn transcript(events: usize) -> Transcript {
    let mut transcript = Transcript::default();
    for number in 1..=events as u64 {
        let event = TranscriptEvent {
            number,
            data: String::new(),
            version: None,
            engine: None,
        };
        transcript.push(event).expect("consecutive");
    }
    transcript
}

fn header(tenant: &str, accepted_at_ms: u64) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at: Timestamp(accepted_at_ms),
        max_attempts: 3,
        retention: TimeSpan::from_millis(40_000),
        single_version: false,
        run_target: TimeSpan::from_millis(RUN_TARGET_MS),
        priority: 5,
        tenant: Some(TenantName::from(tenant)),
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: Some("m".to_owned()),
        oldest_version: WeightVersion(1),
    }
}

fn total(outcomes: &[Outcome]) -> Outcome {
    let mut total = Outcome::default();
    for outcome in outcomes {
        total.in_time += outcome.in_time;
        total.late += outcome.late;
        total.of += outcome.of;
    }
    total
}

/// Guards against a change of order while the work fits.
#[test]
fn series_that_fits_is_the_same_without_triage() {
    let without = Series::run(Load::times(1), false);
    assert_eq!(Series::run(Load::times(1), true), without);
    assert_eq!(total(&without).in_time, total(&without).of);
}

/// Guards against groups that run concurrently and all end late. The slots suffice for about 160
/// groups in the whole series, and for more if the smaller ones are chosen.
#[test]
fn most_of_what_the_capacity_allows_is_in_time_at_two_and_four_times_the_load() {
    for load in [2, 4] {
        let load = Load::times(load);
        let (with, without) = (Series::run(load, true), Series::run(load, false));
        assert!(total(&with).in_time >= 130, "{with:?}");
        assert!(total(&without).in_time <= 20, "{without:?}");
    }
}

/// Guards against a choice that makes all groups late if engines are slower than estimated.
#[test]
fn overestimated_capacity_delays_few_groups() {
    for load in [2, 4] {
        let load = Load {
            capacity_error: 1.35,
            ..Load::times(load)
        };
        let outcomes = Series::run(load, true);
        assert!(total(&outcomes).in_time >= 130, "{outcomes:?}");
    }
}

/// Guards against steps that are begun and then left until their trainer gives up.
#[test]
fn late_groups_also_become_complete() {
    for load in [2, 4] {
        let outcomes = Series::run(Load::times(load), true);
        assert!(total(&outcomes).late >= 30, "{outcomes:?}");
    }
}

/// Guards against one trainer whose batches take all capacity, because they are due first or have
/// the smaller groups.
#[test]
fn trainers_of_one_model_share_its_capacity() {
    let load = Load {
        trainers: 2,
        ..Load::times(2)
    };
    let outcomes = Series::run(load, true);
    let in_time: Vec<usize> = outcomes.iter().map(|outcome| outcome.in_time).collect();
    let (least, most) = (in_time[0].min(in_time[1]), in_time[0].max(in_time[1]));
    assert!(least * 4 >= most * 3 && least >= 60, "{outcomes:?}");
}
