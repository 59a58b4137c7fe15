use crate::tests::{batch, item};
use crate::{Batch, BatchEstimate, LengthModel};
use std::time::Duration;

/// Hints that were always right: a hundred units an event.
fn exact_hints() -> LengthModel {
    let mut lengths = LengthModel::default();
    for _ in 0..400 {
        lengths.record(1_000, 10);
    }
    lengths
}

/// Ninety short items and one that is ten times as long.
fn uneven() -> Batch {
    let mut items: Vec<_> = (0..90)
        .map(|number| item(&format!("i{number}"), &format!("g{}", number / 8), 500))
        .collect();
    items.push(item("long", "g-long", 5_000));
    batch(items, 1, &[])
}

fn outlook(batch: &Batch, lengths: &LengthModel, age: Duration) -> BatchEstimate {
    batch.estimate(lengths, age, |_| 0)
}

/// Ten at a time would end with the long one if hints were exact.
#[test]
fn no_more_run_at_a_time_than_let_the_others_end_with_the_longest() {
    let width = outlook(&uneven(), &exact_hints(), Duration::ZERO).width;
    assert!(
        width.is_some_and(|width| (10..45).contains(&width)),
        "{width:?}"
    );
}

#[test]
fn items_that_are_all_alike_run_all_at_once() {
    let items = (0..40).map(|number| item(&format!("i{number}"), "g", 500));
    let batch = batch(items.collect(), 1, &[]);
    let width = outlook(&batch, &LengthModel::default(), Duration::ZERO).width;
    assert!(width.is_some_and(|width| width >= 40), "{width:?}");
}

#[test]
fn the_less_hints_are_trusted_the_more_items_run_at_a_time() {
    let mut poor = LengthModel::default();
    for _ in 0..200 {
        poor.record(3_000, 10);
        poor.record(300, 10);
    }
    let width = |lengths| outlook(&uneven(), &lengths, Duration::ZERO).width;
    let (poor, exact) = (width(poor), width(exact_hints()));
    assert!(poor > exact, "{poor:?} and {exact:?}");
}

/// The texts that run may all hang at engines that are silent.
#[test]
fn an_old_batch_holds_nothing_back() {
    let (batch, lengths) = (uneven(), exact_hints());
    let young = outlook(&batch, &lengths, Duration::from_millis(1_900));
    assert!(young.width.is_some());
    let old = outlook(&batch, &lengths, Duration::from_secs(2));
    assert_eq!(old.width, None);
}

/// While the longest text comes to its end the others have less time, and more of them run.
#[test]
fn the_width_grows_as_the_longest_text_is_made() {
    let (mut batch, lengths) = (uneven(), exact_hints());
    let longest = batch.start_next().expect("one waits");
    let at = |made: usize| {
        let outlook = batch.estimate(&lengths, Duration::ZERO, |index| {
            if index == longest { made } else { 0 }
        });
        outlook.width.expect("some wait")
    };
    assert!(at(40) >= 4 * at(0), "{} and {}", at(0), at(40));
}

#[test]
fn items_without_any_hint_are_not_held_back() {
    let items = (0..20).map(|number| item(&format!("i{number}"), "g", 0));
    let batch = batch(items.collect(), 1, &[]);
    assert_eq!(outlook(&batch, &exact_hints(), Duration::ZERO).width, None);
}

#[test]
fn only_long_items_decide_when_their_batch_is_done() {
    let (batch, lengths) = (uneven(), exact_hints());
    let outlook = outlook(&batch, &lengths, Duration::ZERO);
    let deciding = batch.items().iter();
    let deciding = deciding.filter(|item| outlook.is_critical(item, &lengths));
    let ids: Vec<&str> = deciding.map(|item| item.submitted.id.as_str()).collect();
    assert_eq!(ids, ["long"]);
}
