use crate::tests::{batch, item};
use crate::{Batch, BatchEstimate, LengthModel};
use std::time::Duration;

/// A model trained on exact hints of 100 units per event.
fn exact_hints() -> LengthModel {
    let mut lengths = LengthModel::default();
    for _ in 0..400 {
        lengths.record(1_000, 10);
    }
    lengths
}

/// A batch of 90 short items and one item of ten times the length.
fn uneven_batch() -> Batch {
    let mut items: Vec<_> = (0..90)
        .map(|number| item(&format!("i{number}"), &format!("g{}", number / 8), 500))
        .collect();
    items.push(item("long", "g-long", 5_000));
    batch(items, 1, &[])
}

fn estimate(batch: &Batch, lengths: &LengthModel, age: Duration) -> BatchEstimate {
    batch.estimate(lengths, age, |_| 0)
}

/// With exact hints, a limit of ten ends the short items together with the long one.
#[test]
fn limit_lets_short_items_end_with_the_longest() {
    let limit = estimate(&uneven_batch(), &exact_hints(), Duration::ZERO).concurrency_limit;
    assert!(
        limit.is_some_and(|limit| (10..45).contains(&limit)),
        "{limit:?}"
    );
}

#[test]
fn items_of_equal_length_run_all_at_once() {
    let items = (0..40).map(|number| item(&format!("i{number}"), "g", 500));
    let batch = batch(items.collect(), 1, &[]);
    let limit = estimate(&batch, &LengthModel::default(), Duration::ZERO).concurrency_limit;
    assert!(limit.is_some_and(|limit| limit >= 40), "{limit:?}");
}

#[test]
fn poor_hints_increase_the_limit() {
    let mut poor = LengthModel::default();
    for _ in 0..200 {
        poor.record(3_000, 10);
        poor.record(300, 10);
    }
    let limit = |lengths| estimate(&uneven_batch(), &lengths, Duration::ZERO).concurrency_limit;
    let (poor, exact) = (limit(poor), limit(exact_hints()));
    assert!(poor > exact, "{poor:?} and {exact:?}");
}

/// Guards against a batch that stalls because all its running texts hang.
#[test]
fn concurrency_of_an_old_batch_is_unlimited() {
    let (batch, lengths) = (uneven_batch(), exact_hints());
    let young = estimate(&batch, &lengths, Duration::from_millis(1_900));
    assert!(young.concurrency_limit.is_some());
    let old = estimate(&batch, &lengths, Duration::from_secs(2));
    assert_eq!(old.concurrency_limit, None);
}

/// The shorter texts have less time as the longest text nears its end.
#[test]
fn limit_grows_as_the_longest_text_is_generated() {
    let (mut batch, lengths) = (uneven_batch(), exact_hints());
    let longest = batch.start_next().expect("an item is waiting");
    let limit_at = |events: usize| {
        let estimate = batch.estimate(&lengths, Duration::ZERO, |index| {
            if index == longest { events } else { 0 }
        });
        estimate.concurrency_limit.expect("concurrency is limited")
    };
    assert!(
        limit_at(40) >= 4 * limit_at(0),
        "{} and {}",
        limit_at(0),
        limit_at(40)
    );
}

#[test]
fn concurrency_without_hints_is_unlimited() {
    let items = (0..20).map(|number| item(&format!("i{number}"), "g", 0));
    let batch = batch(items.collect(), 1, &[]);
    assert_eq!(
        estimate(&batch, &exact_hints(), Duration::ZERO).concurrency_limit,
        None
    );
}

#[test]
fn only_long_items_are_critical() {
    let (batch, lengths) = (uneven_batch(), exact_hints());
    let estimate = estimate(&batch, &lengths, Duration::ZERO);
    let critical = batch.items().iter();
    let critical = critical.filter(|item| estimate.is_critical(item, &lengths));
    let ids: Vec<&str> = critical.map(|item| item.submitted.id.as_str()).collect();
    assert_eq!(ids, ["long"]);
}
