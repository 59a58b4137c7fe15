use crate::tests::{batch, item};
use crate::{Batch, LengthModel, Submission};
use serde_json::json;

const UNITS_PER_EVENT: u64 = 10;

fn exact_hints() -> LengthModel {
    let mut lengths = LengthModel::default();
    for _ in 0..400 {
        lengths.record(UNITS_PER_EVENT * 10, 10);
    }
    lengths
}

/// Group `a` of 3 and 2 events, `b` of 10 and `c` of 40; two groups are required.
fn three_groups(carried: &[&str]) -> Batch {
    let items = vec![
        item("a1", "a", 30),
        item("a2", "a", 20),
        item("b1", "b", 100),
        item("c1", "c", 400),
    ];
    batch(items, 2, carried)
}

fn required_events(batch: &Batch, generated: usize) -> f64 {
    let events = batch.required_events(&exact_hints(), |_| generated);
    events.expect("the unit is known").round()
}

fn list(batch: &mut Batch, id: &str) {
    let index = batch.index_of(id).expect("known");
    batch.record_listed(index);
}

/// Guards against a backlog that is too large, which would refuse batches that fit.
#[test]
fn only_the_least_work_of_required_groups_counts() {
    let mut batch = three_groups(&[]);
    assert_eq!(required_events(&batch, 0), 15.0);
    list(&mut batch, "a1");
    assert_eq!(required_events(&batch, 0), 12.0, "a listed item is done");
    list(&mut batch, "c1");
    assert_eq!(
        required_events(&batch, 0),
        2.0,
        "one of the required groups is complete"
    );
    list(&mut batch, "a2");
    assert_eq!(required_events(&batch, 0), 0.0, "the rest is not required");
}

/// Guards against a backlog that leaves out what the trainer waits for in any case.
#[test]
fn carried_groups_count_whatever_their_work() {
    let mut batch = three_groups(&["c1"]);
    assert_eq!(required_events(&batch, 0), 45.0);
    list(&mut batch, "a1");
    list(&mut batch, "a2");
    list(&mut batch, "b1");
    assert_eq!(required_events(&batch, 0), 40.0);
}

/// Guards against counting what running texts have already made.
#[test]
fn running_texts_count_with_what_is_left() {
    let mut batch = three_groups(&["c1"]);
    let index = batch.index_of("c1").expect("known");
    assert!(batch.start(index));
    assert_eq!(required_events(&batch, 30), 15.0);
}

/// Guards against an invented backlog before the unit of the hints is known.
#[test]
fn work_is_unknown_until_texts_have_finished() {
    let batch = three_groups(&[]);
    assert_eq!(batch.required_events(&LengthModel::default(), |_| 0), None);
}

fn submission(desired: Option<usize>) -> Submission {
    let items = [
        item("a1", "a", 30),
        item("a2", "a", 20),
        item("b1", "b", u64::MAX),
    ];
    let json = json!({"desired": desired, "items": items});
    Submission::parse(json.to_string().as_bytes()).expect("valid")
}

/// Guards against counting groups that the trainer does not wait for, so that a batch that fits
/// is refused.
#[test]
fn submission_counts_the_shortest_required_groups() {
    assert_eq!(submission(Some(1)).required_units(|item| item.tokens), 50.0);
    let all = submission(None).required_units(|item| item.tokens);
    assert!(all.is_finite() && all > 1e9, "{all}");
}
