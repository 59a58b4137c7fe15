use super::{ArrivalsByModel, ExpectedModelWork, ModelOpenEvents, open_events};
use serde_json::json;
use sloetrail_batch::{Batch, BatchHeader, DispatchOrder, LengthModel, Submission};
use sloetrail_types::{AllowedRegions, ServiceName, TimeSpan, Timestamp, WeightVersion};
use std::collections::BTreeSet;

const ITEMS: usize = 8;
const UNITS_PER_ITEM: u64 = 1_000;
const EVENTS_PER_ITEM: f64 = 10.0;
const EVENTS_PER_BATCH: f64 = EVENTS_PER_ITEM * ITEMS as f64;
const INTERVAL_MS: u64 = 4_000;

/// A batch of model `m` whose items are groups of their own, of which `required` are required.
fn batch(accepted_at_ms: u64, required: usize) -> Batch {
    let item = |number: usize| {
        let group = format!("g{number}");
        json!({"id": format!("i{number}"), "path": "/r", "tokens": UNITS_PER_ITEM, "group": group})
    };
    let items: Vec<_> = (0..ITEMS).map(item).collect();
    let submission = json!({"model": "m", "desired": required, "items": items}).to_string();
    let header = BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: ITEMS,
        body_rows: 1,
        accepted_at: Timestamp(accepted_at_ms),
        max_attempts: 1,
        retention: TimeSpan::from_millis(40_000),
        single_version: false,
        run_target: TimeSpan::from_millis(7_500),
        priority: 1,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    };
    let submission = Submission::parse(submission.as_bytes()).expect("valid");
    let length = |item: &sloetrail_batch::SubmittedItem| item.tokens;
    Batch::new("b".to_owned(), header, submission, length, &BTreeSet::new())
}

fn lengths() -> LengthModel {
    let mut lengths = LengthModel::default();
    for _ in 0..100 {
        lengths.record(UNITS_PER_ITEM, EVENTS_PER_ITEM as usize);
    }
    lengths
}

/// Rhythms of model `m` after three batches, the last at 3 intervals.
fn arrivals() -> ArrivalsByModel {
    let mut arrivals = ArrivalsByModel::default();
    for number in 1..=3 {
        arrivals.record(&batch(number * INTERVAL_MS, ITEMS));
    }
    arrivals
}

/// Open work of model `m`, beside another model that takes `other_seconds` for its own.
fn open_work(events: f64, other_seconds: f64) -> Vec<ModelOpenEvents> {
    let work = |model: &str, events: f64| ModelOpenEvents {
        model: model.to_owned(),
        events,
        capacity: 100.0,
    };
    vec![work("m", events), work("other", 100.0 * other_seconds)]
}

/// The events of model `m` at a time after its last batch.
fn events_after(arrivals: &ArrivalsByModel, after_ms: u64, open: &[ModelOpenEvents]) -> f64 {
    let now = Timestamp(3 * INTERVAL_MS + after_ms);
    arrivals.backlogs(open, &lengths(), now)[0].events
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 0.01, "{value}, {expected}");
}

/// Guards against counting texts that have been generated, and groups that no trainer waits for.
#[test]
fn open_events_are_those_left_of_required_items() {
    let lengths = lengths();
    let mut batch = batch(INTERVAL_MS, 6);
    let open = open_events(&batch, &lengths, |_| 0).expect("known");
    assert_near(open, 6.0 * EVENTS_PER_ITEM);
    batch.set_dispatch_order(DispatchOrder {
        required_first: true,
        longest_first: true,
    });
    let running = batch.start_next().expect("an item");
    assert!(batch.is_in_required_group(running));
    let open = open_events(&batch, &lengths, |_| 4).expect("known");
    assert_near(open, 6.0 * EVENTS_PER_ITEM - 4.0);
}

/// Guards against treating the trainer's unit of length as events.
#[test]
fn open_events_are_unknown_before_texts_have_finished() {
    let batch = batch(INTERVAL_MS, ITEMS);
    assert_eq!(open_events(&batch, &LengthModel::default(), |_| 0), None);
}

/// Guards against taking engines from a model just before its next batch comes.
#[test]
fn next_batch_counts_if_expected_before_the_open_work_ends() {
    let arrivals = arrivals();
    // Both models need 2.2 s in all: the next batch, expected in 2 s, comes before the end.
    let open = open_work(40.0, 4.0);
    assert_near(
        events_after(&arrivals, 2_000, &open),
        40.0 + EVENTS_PER_BATCH,
    );
    // It is expected in 3.5 s, after the end.
    assert_near(events_after(&arrivals, 500, &open), 40.0);
}

/// Guards against a model without open batches that has no engine left for its next step, while
/// another model has work for much longer or is nearly done.
#[test]
fn model_without_open_batches_counts_its_expected_batch() {
    let arrivals = arrivals();
    assert_near(
        events_after(&arrivals, 100, &open_work(0.0, 60.0)),
        EVENTS_PER_BATCH,
    );
    assert_near(
        events_after(&arrivals, 100, &open_work(0.0, 1.0)),
        EVENTS_PER_BATCH * 0.5,
    );
}

/// Guards against keeping engines for a trainer that has stopped.
#[test]
fn model_whose_trainer_has_stopped_has_no_expected_work() {
    let arrivals = arrivals();
    let open = open_work(0.0, 60.0);
    assert_near(events_after(&arrivals, 4 * INTERVAL_MS, &open), 0.0);
}

/// Guards against a wrong arrivals after a new owner has loaded open batches, newest first, and after
/// batches whose time of acceptance is unknown or centuries ahead.
#[test]
fn odd_times_of_acceptance_do_not_break_the_rhythm() {
    let mut arrivals = arrivals();
    arrivals.record(&batch(2 * INTERVAL_MS, ITEMS));
    arrivals.record(&batch(0, ITEMS));
    let open = open_work(0.0, 60.0);
    assert_near(events_after(&arrivals, 100, &open), EVENTS_PER_BATCH);
    arrivals.record(&batch(u64::MAX, ITEMS));
    let events = events_after(&arrivals, 100, &open);
    assert!(events.is_finite() && events >= 0.0);
}

/// Guards against the same owner state giving another order of models after a change of owner: a
/// new owner that loads the open batches knows their arrivals.
#[test]
fn new_owner_learns_the_rhythm_from_open_batches() {
    let mut arrivals = ArrivalsByModel::default();
    arrivals.record(&batch(2 * INTERVAL_MS, ITEMS));
    let open = open_work(0.0, 60.0);
    assert_near(events_after(&arrivals, 100, &open), EVENTS_PER_BATCH * 0.5);
    arrivals.record(&batch(3 * INTERVAL_MS, ITEMS));
    assert_near(events_after(&arrivals, 100, &open), EVENTS_PER_BATCH);
}

/// Guards against a division by zero where a model has no engine.
#[test]
fn time_to_finish_without_capacity_is_infinite_only_with_work() {
    let backlog = |events| ExpectedModelWork {
        model: "m".to_owned(),
        events,
    };
    assert_eq!(backlog(0.0).seconds_to_finish(0.0), 0.0);
    assert_eq!(backlog(5.0).seconds_to_finish(0.0), f64::INFINITY);
    assert_eq!(backlog(5.0).seconds_to_finish(10.0), 0.5);
    let open = [ModelOpenEvents {
        model: "m".to_owned(),
        events: 5.0,
        capacity: 0.0,
    }];
    let backlogs = arrivals().backlogs(&open, &lengths(), Timestamp(3 * INTERVAL_MS));
    assert!(backlogs[0].events.is_finite());
}
