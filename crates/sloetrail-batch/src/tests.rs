use crate::{
    Batch, BatchHeader, Checkpoint, DeathCause, DispatchOrder, ItemState, ListedResult, RunFailure,
    Submission, Transcript, TranscriptEvent, is_usable_id, join_checkpoints,
};
use serde_json::{Value, json};
use sloetrail_types::{AllowedRegions, ServiceName, TimeSpan, Timestamp, WeightVersion};
use std::collections::BTreeSet;

fn header(total: usize) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total,
        body_rows: 1,
        accepted_at: Timestamp(0),
        max_attempts: 2,
        retention: TimeSpan::from_millis(40_000),
        single_version: false,
        run_target: TimeSpan::from_millis(7_500),
        priority: 1,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    }
}

pub(crate) fn item(id: &str, group: &str, length: u64) -> Value {
    json!({"id": id, "path": "/r/1", "body": "q83v", "tokens": length, "group": group})
}

fn submission(items: Vec<Value>, desired: usize) -> Submission {
    let json =
        json!({"step": 1, "model": "m", "min_version": 2, "desired": desired, "items": items});
    Submission::parse(json.to_string().as_bytes()).expect("valid")
}

pub(crate) fn batch(items: Vec<Value>, desired: usize, carried: &[&str]) -> Batch {
    let carried: BTreeSet<String> = carried.iter().map(|id| (*id).to_owned()).collect();
    let total = items.len();
    let submission = submission(items, desired);
    Batch::new(
        "b".to_owned(),
        header(total),
        submission,
        |item| item.tokens,
        &carried,
    )
}

fn dispatch_all(batch: &mut Batch) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(index) = batch.start_next() {
        ids.push(batch.item(index).submitted.id.clone());
    }
    ids
}

fn event(number: u64, data: &str, version: u64) -> TranscriptEvent {
    TranscriptEvent {
        number,
        data: data.to_owned(),
        version: Some(WeightVersion(version)),
        engine: None,
    }
}

const REQUIRED_FIRST: DispatchOrder = DispatchOrder {
    required_first: true,
    longest_first: true,
};

fn three_groups() -> Vec<Value> {
    vec![
        item("a1", "a", 50),
        item("a2", "a", 900),
        item("b1", "b", 70),
        item("b2", "b", 60),
        item("c1", "c", 400),
        item("c2", "c", 10),
    ]
}

#[test]
fn longest_items_are_dispatched_first() {
    let mut batch = batch(three_groups(), 2, &[]);
    assert_eq!(
        dispatch_all(&mut batch),
        ["a2", "c1", "b1", "b2", "a1", "c2"]
    );
}

/// Guards against a free slot that takes an item of a less important class because of its length.
#[test]
fn waiting_items_of_a_class_exclude_those_of_the_next_class() {
    let mut batch = batch(three_groups(), 2, &[]);
    let in_class = |batch: &Batch| {
        let class = batch.next_class();
        let waiting = class.map_or(&[][..], |class| batch.next_set_of_class(class));
        let ids = waiting.iter().rev();
        let ids = ids.map(|index| batch.item(*index).submitted.id.clone());
        ids.collect::<Vec<String>>()
    };
    assert_eq!(
        in_class(&batch),
        ["a2", "c1", "b1", "b2", "a1", "c2"],
        "without preference, all are of one class"
    );
    batch.set_dispatch_order(REQUIRED_FIRST);
    assert_eq!(in_class(&batch), ["c1", "b1", "b2", "c2"]);
    for index in [2, 3, 4, 5] {
        assert!(batch.start(index), "in another order than the queue's");
    }
    assert_eq!(in_class(&batch), ["a1", "a2"]);
    dispatch_all(&mut batch);
    assert!(in_class(&batch).is_empty());
}

#[test]
fn items_without_length_order_keep_submission_order() {
    let mut batch = batch(three_groups(), 2, &[]);
    batch.set_dispatch_order(DispatchOrder {
        required_first: false,
        longest_first: false,
    });
    assert_eq!(
        dispatch_all(&mut batch),
        ["a1", "a2", "b1", "b2", "c1", "c2"]
    );
}

#[test]
fn step_is_complete_once_the_required_groups_are_listed() {
    let mut batch = batch(three_groups(), 2, &[]);
    let complete: Vec<bool> = (0..6).map(|index| batch.record_listed(index)).collect();
    assert_eq!(complete, [false, false, false, true, false, false]);
    assert!(!batch.record_listed(3), "an item is counted once");
    assert_eq!(
        (batch.groups().completed(), batch.groups().required()),
        (3, 2)
    );
}

#[test]
fn step_also_requires_the_carried_over_groups() {
    let mut batch = batch(three_groups(), 2, &["c1"]);
    let complete: Vec<bool> = (0..6).map(|index| batch.record_listed(index)).collect();
    assert_eq!(complete, [false, false, false, false, false, true]);
}

#[test]
fn results_mark_the_positions_with_complete_groups() {
    let mut batch = batch(three_groups(), 2, &[]);
    let results: Vec<ListedResult> = [0, 1, 4]
        .map(|index| batch.succeed(index, None))
        .into_iter()
        .chain([2, 3].map(|index| batch.mark_dead(index)))
        .chain([batch.succeed(5, None)])
        .collect();
    let complete: Vec<bool> = results
        .iter()
        .map(|result| result.groups_are_whole)
        .collect();
    assert_eq!(complete, [false, false, false, false, true, true]);
}

#[test]
fn new_owner_counts_already_listed_results() {
    let mut batch = batch(three_groups(), 2, &[]);
    for index in [0, 1, 2] {
        batch.record_listed(index);
    }
    assert!(batch.succeed(3, None).groups_are_whole);
    assert!(
        batch.record_listed(3),
        "the step is complete once the result is listed"
    );
}

#[test]
fn required_groups_are_dispatched_first_by_length() {
    let mut batch = batch(three_groups(), 2, &[]);
    batch.set_dispatch_order(REQUIRED_FIRST);
    assert_eq!(
        dispatch_all(&mut batch),
        ["c1", "b1", "b2", "c2", "a1", "a2"]
    );
}

#[test]
fn carried_over_group_is_required_whatever_its_length() {
    let items = vec![
        item("a1", "a", 900),
        item("b1", "b", 70),
        item("c1", "c", 400),
    ];
    let mut batch = batch(items, 1, &["a1"]);
    batch.set_dispatch_order(REQUIRED_FIRST);
    assert_eq!(dispatch_all(&mut batch), ["a1", "b1", "c1"]);
}

#[test]
fn interrupted_run_is_queued_again_with_its_text() {
    let mut batch = batch(vec![item("a1", "a", 5)], 1, &[]);
    let index = batch.start_next().expect("an item is waiting");
    let mut transcript = Transcript::default();
    transcript.push(event(1, "x", 2)).expect("first");
    batch.set_transcript(index, transcript.clone());
    assert_eq!(
        batch.record_run_failure(index, RunFailure::Interrupted),
        None
    );
    assert_eq!(batch.item(index).state, ItemState::Waiting);
    assert_eq!(batch.item(index).transcript, transcript);
    assert_eq!(batch.waiting(), 1);
}

#[test]
fn item_becomes_dead_only_by_its_own_failures() {
    let mut batch = batch(vec![item("a1", "a", 5), item("a2", "a", 4)], 1, &[]);
    let first = batch.start_next().expect("an item is waiting");
    for _ in 0..5 {
        assert_eq!(
            batch.record_run_failure(first, RunFailure::Interrupted),
            None
        );
        assert_eq!(batch.start_next(), Some(first));
    }
    assert_eq!(batch.record_run_failure(first, RunFailure::Failed), None);
    assert_eq!(batch.start_next(), Some(first));
    let cause = batch.record_run_failure(first, RunFailure::Failed);
    assert_eq!(cause, Some(DeathCause::RunsFailed));
    assert_eq!(batch.mark_dead(first), ListedResult::dead("a1".to_owned()));
    let second = batch.start_next().expect("the second item is waiting");
    let cause = batch.record_run_failure(second, RunFailure::Impossible);
    assert_eq!(cause, Some(DeathCause::Impossible));
}

#[test]
fn result_names_the_versions_of_its_events() {
    let mut batch = batch(vec![item("a1", "a", 5)], 1, &[]);
    let index = batch.start_next().expect("an item is waiting");
    let mut transcript = Transcript::default();
    transcript.push(event(1, "x", 2)).expect("first");
    transcript.push(event(2, "y", 3)).expect("second");
    assert!(transcript.push(event(4, "z", 3)).is_err());
    assert!(transcript.is_fresh(WeightVersion(2)) && !transcript.is_fresh(WeightVersion(3)));
    batch.record_complete_text(index, transcript);
    let result = batch.succeed(index, Some("s".to_owned()));
    assert_eq!(result.text, "x\ny");
    assert_eq!(result.versions, [WeightVersion(2), WeightVersion(3)]);
    assert_eq!(batch.unfinished(), Vec::<usize>::new());
    batch.record_listed(index);
    assert!(batch.is_complete());
}

#[test]
fn large_result_round_trips_through_rows() {
    let mut result = ListedResult::dead("a1".to_owned());
    result.text = "long ".repeat(1_000);
    let rows = result.to_rows(700);
    assert!(rows.len() > 7 && rows.iter().all(|row| row.len() <= 700));
    let joined: Vec<u8> = rows.concat();
    assert_eq!(ListedResult::from_stored(&joined).expect("valid"), result);
    assert!(ListedResult::from_stored(&joined[..20]).is_err());
}

#[test]
fn malformed_submissions_are_refused() {
    let bad = [
        "{".to_owned(),
        json!({"items": [item("a/b", "a", 1)]}).to_string(),
        json!({"items": [item("a", "a", 1), item("a", "a", 1)]}).to_string(),
        json!({"items": [{"id": "a", "path": "/", "body": "?"}]}).to_string(),
    ];
    for text in bad {
        assert!(Submission::parse(text.as_bytes()).is_err(), "{text}");
    }
    assert!(is_usable_id("7c41e0-9b_5.2") && !is_usable_id("") && !is_usable_id("a b"));
}

fn checkpoint(index: usize, generation: u32, offset: usize, numbers: &[u64]) -> Checkpoint {
    let events = numbers
        .iter()
        .map(|number| event(*number, "x", 2))
        .collect();
    Checkpoint {
        index,
        generation,
        offset,
        events,
    }
}

#[test]
fn checkpoints_are_joined_up_to_the_first_gap() {
    let checkpoints = [
        checkpoint(0, 0, 2, &[3]),
        checkpoint(0, 0, 0, &[1, 2]),
        checkpoint(0, 0, 4, &[5, 6]),
        checkpoint(1, 0, 0, &[1, 2, 3]),
        checkpoint(1, 1, 0, &[1]),
    ];
    let stored = checkpoints.iter().map(Checkpoint::to_stored);
    let read = stored.filter_map(|stored| Checkpoint::from_stored(&stored));
    let joined = join_checkpoints(read);
    assert_eq!(joined[&0].1.len(), 3, "a gap ends the text");
    assert_eq!(joined[&1].0, 1, "a newer generation replaces the older one");
    assert_eq!(joined[&1].1.len(), 1);
}

#[test]
fn tenant_priority_overrides_route_priority() {
    let ranked = |tenant_priority, priority, accepted_at_ms| BatchHeader {
        tenant_priority,
        priority,
        accepted_at: Timestamp(accepted_at_ms),
        ..header(1)
    };
    let urgent_tenant = ranked(Some(0), 3, 9);
    let urgent_route = ranked(None, 1, 5);
    let older = ranked(None, 1, 4);
    let other_tenant = ranked(Some(2), 0, 1);
    let mut order = [&other_tenant, &urgent_route, &older, &urgent_tenant];
    order.sort_by_key(|header| header.urgency());
    assert_eq!(
        order,
        [&urgent_tenant, &older, &urgent_route, &other_tenant]
    );
}

#[test]
fn stored_header_without_regions_allows_all_regions() {
    let mut stored = serde_json::to_value(header(3)).expect("serializable header");
    let fields = stored.as_object_mut().expect("JSON object");
    for field in ["allowed_regions", "model", "oldest_version"] {
        assert!(fields.remove(field).is_some(), "{field}");
    }
    let read: BatchHeader = serde_json::from_value(stored).expect("readable");
    assert_eq!(read, header(3));
    assert!(read.allowed_regions.is_everywhere());
}

/// Rows of an earlier build may hold numbers that the configuration did not bound.
#[test]
fn stored_header_with_huge_numbers_is_read_within_their_ranges() {
    let stored = json!({
        "service": "models", "host": "a.example", "total": u64::MAX, "body_rows": 2,
        "accepted_at_ms": 1_000, "max_attempts": u64::MAX, "retention_ms": u64::MAX,
        "run_target_ms": u64::MAX, "single_version": false,
    });
    let header: BatchHeader = serde_json::from_value(stored).expect("a header");
    assert_eq!(header.retention, TimeSpan::MAX);
    assert_eq!((header.total, header.max_attempts), (1_000_000, 1_000_000));
    let ten_years = TimeSpan::MAX.as_millis();
    assert_eq!(header.expires_at(), Timestamp(1_000 + ten_years));
    assert_eq!(header.due_at(), Timestamp(1_000 + ten_years));
    let written = serde_json::to_value(&header).expect("encodes");
    assert_eq!(written["retention_ms"], json!(ten_years));
    assert_eq!(written["accepted_at_ms"], json!(1_000));
}
