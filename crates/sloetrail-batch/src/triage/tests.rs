use crate::tests::{batch, item};
use crate::{
    Batch, BatchWork, DispatchClass, DispatchOrder, EventBudget, GroupWork, LengthModel,
    RunFailure, Transcript, TranscriptEvent, TriagedGroups, triage,
};
use std::time::{Duration, Instant};

const UNBOUNDED: EventBudget = EventBudget {
    per_text: f64::MAX,
    waiting: f64::MAX,
    slots: f64::MAX,
};

/// A model trained on exact hints of one unit per event.
fn exact_hints() -> LengthModel {
    let mut lengths = LengthModel::default();
    for _ in 0..400 {
        lengths.record(100, 100);
    }
    lengths
}

fn waiting(group: usize, events: f64, longest_text: f64) -> GroupWork {
    GroupWork {
        group,
        waiting_events: events,
        running_events: 0.0,
        longest_text,
        items: 2,
    }
}

/// A budget with slots for all items at a time.
fn budget(per_text: f64, waiting: f64) -> EventBudget {
    EventBudget {
        per_text,
        waiting,
        slots: f64::MAX,
    }
}

fn work(batch: &Batch) -> BatchWork {
    let work = batch.remaining_work(&exact_hints(), |_| 0);
    work.expect("lengths can be estimated")
}

/// Classifies a batch whose running items have no events yet.
fn classify(batch: &mut Batch, budget: EventBudget) -> TriagedGroups {
    let triaged = triage(&work(batch).groups, budget);
    batch.set_triage(Some(&triaged));
    triaged
}

fn transcript(events: u64) -> Transcript {
    let mut transcript = Transcript::default();
    for number in 1..=events {
        let event = TranscriptEvent {
            number,
            data: "x".to_owned(),
            version: None,
            engine: None,
        };
        transcript.push(event).expect("consecutive");
    }
    transcript
}

fn dispatch_all(batch: &mut Batch) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(index) = batch.start_next() {
        ids.push(batch.item(index).submitted.id.clone());
    }
    ids
}

/// Group a has 300 events, b 30, c 200 and d 500, its longest text 499.
fn four_groups(desired: usize, carried: &[&str]) -> Batch {
    let items = vec![
        item("a1", "a", 100),
        item("a2", "a", 200),
        item("b1", "b", 10),
        item("b2", "b", 20),
        item("c1", "c", 150),
        item("c2", "c", 50),
        item("d1", "d", 499),
        item("d2", "d", 1),
    ];
    batch(items, desired, carried)
}

/// Guards against work spread over all groups, of which then none ends in time.
#[test]
fn groups_with_the_least_work_are_in_time_until_the_capacity_is_used_up() {
    for load in [2, 4] {
        let groups: Vec<GroupWork> = (0..80)
            .map(|group| waiting(group, 100.0 + (group * 7 % 80) as f64, 50.0))
            .collect();
        let total: f64 = groups.iter().map(|group| group.waiting_events).sum();
        let capacity = total / f64::from(load);
        let triaged = triage(&groups, budget(1_000.0, capacity));
        let least = |group: &usize| groups[*group].waiting_events;
        let in_time = triaged.in_time.concat();
        let most_in_time = in_time.iter().map(least).fold(0.0, f64::max);
        let least_late = triaged.late.iter().map(least).fold(f64::MAX, f64::min);
        assert!(most_in_time <= least_late, "load {load}");
        assert!(triaged.in_time_waiting_events <= capacity);
        assert!(triaged.in_time_waiting_events + least_late > capacity);
        // More groups than the share of the work that fits, since the smaller ones are chosen.
        assert!(in_time.len() * load as usize > groups.len());
        assert_eq!(in_time.len() + triaged.late.len(), groups.len());
    }
}

/// Guards against capacity spent on a group whose longest text cannot end in time anyway.
#[test]
fn group_with_a_text_that_is_too_long_is_late_and_takes_no_capacity() {
    let groups = [waiting(0, 90.0, 90.0), waiting(1, 95.0, 20.0)];
    let triaged = triage(&groups, budget(80.0, 100.0));
    assert_eq!((triaged.in_time, triaged.late), (vec![vec![1]], vec![0]));
}

/// Guards against groups that are begun and dropped for others, so that none becomes complete.
#[test]
fn group_that_has_begun_keeps_its_class() {
    let begun = GroupWork {
        running_events: 60.0,
        ..waiting(0, 0.0, 30.0)
    };
    let groups = [begun, waiting(1, 50.0, 30.0), waiting(2, 70.0, 30.0)];
    let triaged = triage(&groups, budget(100.0, 50.0));
    assert_eq!(triaged.in_time, [[1, 0]]);
    assert_eq!(triaged.late, [2]);
    let past_due = triage(&groups, budget(0.0, 0.0));
    assert_eq!(past_due.late, [1, 0, 2]);
}

/// Guards against late groups that run concurrently, and against required items that wait behind
/// others.
#[test]
fn items_go_by_class_and_late_groups_one_after_another() {
    let mut batch = four_groups(3, &[]);
    classify(&mut batch, budget(120.0, 100.0));
    let order = dispatch_all(&mut batch);
    assert_eq!(order, ["b2", "b1", "c1", "c2", "a2", "a1", "d2", "d1"]);
    let mut batch = four_groups(4, &[]);
    classify(&mut batch, UNBOUNDED);
    let order = dispatch_all(&mut batch);
    assert_eq!(order, ["d1", "a2", "c1", "a1", "c2", "b2", "b1", "d2"]);
}

/// Guards against groups in time that all end together at the due time, so that a small error of
/// the estimates makes all of them late.
#[test]
fn groups_in_time_run_in_sets_that_use_all_slots() {
    let mut batch = four_groups(4, &[]);
    let budget = EventBudget {
        slots: 3.0,
        ..UNBOUNDED
    };
    let triaged = classify(&mut batch, budget);
    assert_eq!(triaged.in_time, [[1, 2], [0, 3]]);
    let order = dispatch_all(&mut batch);
    assert_eq!(order, ["c1", "c2", "b2", "b1", "d1", "a2", "a1", "d2"]);
}

/// Guards against an item that is dispatched with another class or out of its order.
#[test]
fn items_of_a_class_are_the_part_of_the_queue_in_its_order() {
    let mut batch = four_groups(3, &[]);
    classify(&mut batch, budget(120.0, 100.0));
    let ids = |class| -> Vec<String> {
        let indexes = batch.waiting_of_class(class).iter().rev();
        let ids = indexes.map(|index| batch.item(*index).submitted.id.clone());
        ids.collect()
    };
    assert_eq!(ids(DispatchClass::InTime), ["b2", "b1"]);
    assert_eq!(ids(DispatchClass::Late), ["c1", "c2", "a2", "a1"]);
    assert_eq!(ids(DispatchClass::NotRequired), ["d2", "d1"]);
    assert_eq!(batch.next_class(), Some(DispatchClass::InTime));
    assert_eq!(batch.next_of_class(DispatchClass::Late), Some(4));
}

/// Guards against a choice among waiting items that begins a late group before the one before it
/// has started.
#[test]
fn next_set_of_a_class_excludes_later_sets_and_groups() {
    let mut batch = four_groups(4, &[]);
    assert_eq!(batch.next_set_of_class(DispatchClass::InTime).len(), 8);
    classify(&mut batch, budget(120.0, 100.0));
    assert_eq!(batch.next_set_of_class(DispatchClass::InTime), [2, 3]);
    assert_eq!(batch.next_set_of_class(DispatchClass::Late), [5, 4]);
    assert!(batch.start(4) && batch.start(5));
    assert_eq!(batch.next_set_of_class(DispatchClass::Late), [0, 1]);
    assert!(
        batch
            .next_set_of_class(DispatchClass::NotRequired)
            .is_empty()
    );
}

/// Guards against interrupted items that go by length alone, and so before or after their class.
#[test]
fn interrupted_items_return_to_their_class() {
    let mut batch = four_groups(3, &[]);
    classify(&mut batch, budget(120.0, 100.0));
    let started: Vec<usize> = (0..4).filter_map(|_| batch.start_next()).collect();
    for index in started {
        assert_eq!(
            batch.record_run_failure(index, RunFailure::Interrupted),
            None
        );
    }
    let order = dispatch_all(&mut batch);
    assert_eq!(order, ["b2", "b1", "c1", "c2", "a2", "a1", "d2", "d1"]);
}

/// Guards against carried groups that count as not required because there are more of them than
/// the trainer asks for: the step is not complete without them.
#[test]
fn carried_groups_stay_required() {
    let mut batch = four_groups(1, &["d1", "a2"]);
    let triaged = classify(&mut batch, UNBOUNDED);
    assert_eq!(triaged.in_time, [[0, 3]]);
    assert!(batch.is_required(0) && batch.is_required(7));
    assert!(!batch.is_required(2), "group b is not awaited");
}

/// Guards against capacity reserved for a step that needs no further group.
#[test]
fn no_work_is_required_once_the_step_is_complete() {
    let mut batch = four_groups(2, &[]);
    for index in [2, 3, 4, 5] {
        batch.record_listed(index);
    }
    let work = work(&batch);
    assert_eq!((work.groups.len(), work.waiting_items), (0, 0));
    classify(&mut batch, UNBOUNDED);
    assert_eq!(batch.next_class(), Some(DispatchClass::NotRequired));
}

/// Guards against an order that triage leaves behind once it has ended.
#[test]
fn order_without_triage_is_that_of_the_dispatch_order() {
    for required_first in [false, true] {
        let order = DispatchOrder {
            required_first,
            longest_first: true,
        };
        let mut untouched = four_groups(2, &[]);
        untouched.set_dispatch_order(order);
        let mut batch = untouched.clone();
        classify(&mut batch, budget(120.0, 100.0));
        batch.set_triage(None);
        assert_eq!(dispatch_all(&mut batch), dispatch_all(&mut untouched));
    }
}

/// Guards against groups that are ranked by texts that are generated already.
#[test]
fn remaining_work_excludes_generated_events() {
    let mut batch = four_groups(4, &[]);
    assert!(batch.start(0) && batch.start(6));
    batch.set_transcript(1, transcript(120));
    let work = batch
        .remaining_work(&exact_hints(), |index| if index == 0 { 70 } else { 0 })
        .expect("lengths can be estimated");
    let rounded = |events: f64| events.round() as u64;
    let group = work.groups[0];
    assert_eq!(rounded(group.running_events), 30);
    assert_eq!(rounded(group.waiting_events), 80);
    assert_eq!(rounded(group.longest_text), 80);
    let running: Vec<u64> = work.running_texts.iter().copied().map(rounded).collect();
    assert_eq!(running, [30, 499]);
    let unknown = LengthModel::default();
    assert_eq!(batch.remaining_work(&unknown, |_| 0), None);
}

/// The state is derived from the batch, so an owner that loads it from the table chooses the same
/// groups.
#[test]
fn new_owner_chooses_the_same_groups_and_order() {
    let mut first = four_groups(4, &[]);
    assert!(first.start(6) && first.start(5));
    for (index, events) in [(6, 400), (5, 30)] {
        first.set_transcript(index, transcript(events));
    }
    first.record_listed(3);
    let generated = |index| if index == 6 { 400 } else { 30 };
    let before = first
        .remaining_work(&exact_hints(), generated)
        .expect("lengths can be estimated");
    let mut next = four_groups(4, &[]);
    next.record_listed(3);
    next.restore(6, 0, transcript(400));
    next.restore(5, 0, transcript(30));
    for limit in [0.0, 100.0, 200.0, 400.0, 1_000.0] {
        for index in [5, 6] {
            first.record_run_failure(index, RunFailure::Interrupted);
        }
        let after = classify(&mut next, budget(450.0, limit));
        classify(&mut first, budget(450.0, limit));
        assert_eq!(
            dispatch_all(&mut first.clone()),
            dispatch_all(&mut next.clone())
        );
        let ranked = triage(&before.groups, budget(f64::MAX, f64::MAX)).in_time;
        let all = [after.in_time.concat(), after.late].concat();
        assert_eq!(ranked.concat(), all, "limit {limit}");
    }
}

/// Guards against panics and lost items with hints of zero and of absurd length.
#[test]
fn absurd_hints_change_only_the_order() {
    let hints = [0, u64::MAX, 1, u64::MAX, 0, 0, 500, u64::MAX];
    let items = hints.iter().enumerate();
    let items =
        items.map(|(number, hint)| item(&format!("i{number}"), &format!("g{}", number / 2), *hint));
    let mut batch = batch(items.collect(), 4, &[]);
    for budget in [budget(0.0, -5.0), budget(1e12, 1e300), UNBOUNDED] {
        classify(&mut batch, budget);
        assert_eq!(dispatch_all(&mut batch.clone()).len(), hints.len());
    }
}

/// Guards against a cost that grows with the square of the items: triage runs ten times a second.
#[test]
fn cost_of_triage_is_not_quadratic() {
    const ITEMS: usize = 10_000;
    let items = (0..ITEMS).map(|number| {
        let length = 50 + (number * 7_919 % 1_000) as u64;
        item(&format!("i{number}"), &format!("g{}", number / 8), length)
    });
    let mut batch = batch(items.collect(), ITEMS / 8, &[]);
    let lengths = exact_hints();
    let started_at = Instant::now();
    for share in 1..=5 {
        let work = batch.remaining_work(&lengths, |_| 0);
        let groups = work.expect("lengths can be estimated").groups;
        let waiting = 550.0 * ITEMS as f64 / f64::from(share);
        batch.set_triage(Some(&triage(&groups, budget(2_000.0, waiting))));
        assert!(batch.next_of_class(DispatchClass::InTime).is_some());
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
}
