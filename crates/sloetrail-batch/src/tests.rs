use crate::{
    Batch, BatchHeader, Checkpoint, DeathCause, DispatchOrder, ItemState, ListedResult, RunFailure,
    Submission, Transcript, TranscriptEvent, is_usable_id, join_checkpoints,
};
use serde_json::{Value, json};
use sloetrail_types::{AllowedRegions, ServiceName, WeightVersion};
use std::collections::BTreeSet;

fn header(total: usize) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total,
        body_rows: 1,
        accepted_at_ms: 0,
        max_attempts: 2,
        retention_ms: 40_000,
        single_version: false,
        run_target_ms: 7_500,
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
    Submission::parse(json.to_string().as_bytes()).expect("sound")
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

fn order(batch: &mut Batch) -> Vec<String> {
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

const WANTED_FIRST: DispatchOrder = DispatchOrder {
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
fn the_longest_items_go_first_whatever_their_group() {
    let mut batch = batch(three_groups(), 2, &[]);
    assert_eq!(order(&mut batch), ["a2", "c1", "b1", "b2", "a1", "c2"]);
}

#[test]
fn items_go_as_they_were_submitted_if_lengths_do_not_count() {
    let mut batch = batch(three_groups(), 2, &[]);
    batch.set_dispatch_order(DispatchOrder {
        required_first: false,
        longest_first: false,
    });
    assert_eq!(order(&mut batch), ["a1", "a2", "b1", "b2", "c1", "c2"]);
}

#[test]
fn a_step_is_whole_once_as_many_groups_are_listed_as_are_waited_for() {
    let mut batch = batch(three_groups(), 2, &[]);
    let whole: Vec<bool> = (0..6).map(|index| batch.record_listed(index)).collect();
    assert_eq!(whole, [false, false, false, true, false, false]);
    assert!(!batch.record_listed(3), "an item counts once");
    assert_eq!(
        (batch.groups().completed(), batch.groups().required()),
        (3, 2)
    );
}

#[test]
fn a_step_is_whole_once_the_groups_that_were_left_over_are_whole_as_well() {
    let mut batch = batch(three_groups(), 2, &["c1"]);
    let whole: Vec<bool> = (0..6).map(|index| batch.record_listed(index)).collect();
    assert_eq!(whole, [false, false, false, false, false, true]);
}

#[test]
fn results_tell_from_which_position_on_the_groups_are_whole() {
    let mut batch = batch(three_groups(), 2, &[]);
    let results: Vec<ListedResult> = [0, 1, 4]
        .map(|index| batch.succeed(index, None))
        .into_iter()
        .chain([2, 3].map(|index| batch.mark_dead(index)))
        .chain([batch.succeed(5, None)])
        .collect();
    let whole: Vec<bool> = results
        .iter()
        .map(|result| result.groups_are_whole)
        .collect();
    assert_eq!(whole, [false, false, false, false, true, true]);
}

#[test]
fn a_new_owner_counts_what_is_listed_already() {
    let mut batch = batch(three_groups(), 2, &[]);
    for index in [0, 1, 2] {
        batch.record_listed(index);
    }
    assert!(batch.succeed(3, None).groups_are_whole);
    assert!(
        batch.record_listed(3),
        "the step is told when it is in the list"
    );
}

#[test]
fn wanted_groups_go_first_and_of_these_the_longest_items() {
    let mut batch = batch(three_groups(), 2, &[]);
    batch.set_dispatch_order(WANTED_FIRST);
    assert_eq!(order(&mut batch), ["c1", "b1", "b2", "c2", "a1", "a2"]);
}

#[test]
fn a_group_that_is_carried_over_is_wanted_however_long() {
    let items = vec![
        item("a1", "a", 900),
        item("b1", "b", 70),
        item("c1", "c", 400),
    ];
    let mut batch = batch(items, 1, &["a1"]);
    batch.set_dispatch_order(WANTED_FIRST);
    assert_eq!(order(&mut batch), ["a1", "b1", "c1"]);
}

#[test]
fn an_interrupted_run_waits_again_with_its_text() {
    let mut batch = batch(vec![item("a1", "a", 5)], 1, &[]);
    let index = batch.start_next().expect("one waits");
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
fn an_item_dies_only_of_its_own_failures() {
    let mut batch = batch(vec![item("a1", "a", 5), item("a2", "a", 4)], 1, &[]);
    let first = batch.start_next().expect("one waits");
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
    let second = batch.start_next().expect("the other waits");
    let cause = batch.record_run_failure(second, RunFailure::Impossible);
    assert_eq!(cause, Some(DeathCause::Impossible));
}

#[test]
fn a_result_names_the_versions_of_its_events() {
    let mut batch = batch(vec![item("a1", "a", 5)], 1, &[]);
    let index = batch.start_next().expect("one waits");
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
fn a_large_result_is_cut_into_rows_and_joined_again() {
    let mut result = ListedResult::dead("a1".to_owned());
    result.text = "long ".repeat(1_000);
    let rows = result.to_rows(700);
    assert!(rows.len() > 7 && rows.iter().all(|row| row.len() <= 700));
    let joined: Vec<u8> = rows.concat();
    assert_eq!(ListedResult::from_stored(&joined).expect("sound"), result);
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

fn piece(index: usize, generation: u32, offset: usize, numbers: &[u64]) -> Checkpoint {
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
fn checkpoints_are_joined_as_far_as_they_follow() {
    let pieces = [
        piece(0, 0, 2, &[3]),
        piece(0, 0, 0, &[1, 2]),
        piece(0, 0, 4, &[5, 6]),
        piece(1, 0, 0, &[1, 2, 3]),
        piece(1, 1, 0, &[1]),
    ];
    let stored = pieces.iter().map(Checkpoint::to_stored);
    let read = stored.filter_map(|stored| Checkpoint::from_stored(&stored));
    let joined = join_checkpoints(read);
    assert_eq!(joined[&0].1.len(), 3, "a missing piece ends the text");
    assert_eq!(
        joined[&1].0, 1,
        "a text that began anew replaces the one before"
    );
    assert_eq!(joined[&1].1.len(), 1);
}

#[test]
fn the_rank_of_a_tenant_goes_before_that_of_the_route() {
    let ranked = |tenant_priority, priority, accepted_at_ms| BatchHeader {
        tenant_priority,
        priority,
        accepted_at_ms,
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
fn a_head_that_was_stored_without_regions_binds_its_batch_to_none() {
    let mut stored = serde_json::to_value(header(3)).expect("a head");
    let fields = stored.as_object_mut().expect("fields");
    for field in ["allowed_regions", "model", "oldest_version"] {
        assert!(fields.remove(field).is_some(), "{field}");
    }
    let read: BatchHeader = serde_json::from_value(stored).expect("readable");
    assert_eq!(read, header(3));
    assert!(read.allowed_regions.is_everywhere());
}
