mod series;

use super::{ModelCapacity, PlannedBatch, plan_capacity};
use sloetrail_batch::{BatchWork, GroupWork};
use sloetrail_types::{TenantName, Timestamp, Urgency};
use std::time::{Duration, Instant};

const NOW: Timestamp = Timestamp(100_000);

/// Ten slots with an event each 10 ms.
const CAPACITY: ModelCapacity = ModelCapacity {
    events_per_second: 1_000.0,
    event_interval: Duration::from_millis(10),
};

/// A batch with `groups` waiting groups of 100 events, due some time after now.
fn open(id: &str, priority: u8, due_in: Duration, groups: usize) -> PlannedBatch {
    let groups = (0..groups).map(|group| GroupWork {
        group,
        waiting_events: 100.0,
        running_events: 0.0,
        longest_text: 25.0,
        items: 4,
    });
    PlannedBatch {
        id: id.to_owned(),
        urgency: Urgency::new(None, priority),
        tenant: None,
        ends_by: NOW.after(due_in),
        useful_until: NOW.after(due_in),
        has_due_time: true,
        work: BatchWork {
            groups: groups.collect(),
            running_texts: Vec::new(),
            waiting_items: 0,
        },
    }
}

/// The number of groups in time of each batch, in the order in which capacity is distributed.
fn in_time(open: Vec<PlannedBatch>) -> Vec<(String, usize)> {
    let plan = plan_capacity(open, CAPACITY, NOW);
    let batches = plan.batches.into_iter();
    batches
        .map(|(id, groups)| (id, groups.in_time_count()))
        .collect()
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn named(expected: &[(&str, usize)]) -> Vec<(String, usize)> {
    let owned = |(id, groups): &(&str, usize)| ((*id).to_owned(), *groups);
    expected.iter().map(owned).collect()
}

/// Guards against triage that changes the order although all work fits.
#[test]
fn work_that_fits_is_all_in_time() {
    let plan = plan_capacity(vec![open("a", 5, seconds(8), 80)], CAPACITY, NOW);
    assert!(plan.fits);
    let plan = plan_capacity(vec![open("a", 5, seconds(8), 81)], CAPACITY, NOW);
    assert!(!plan.fits);
}

/// Guards against running all groups side by side at overload, so that all end late. The budget for
/// groups in time excludes what late groups start meanwhile.
#[test]
fn groups_beyond_the_capacity_are_late_at_two_and_four_times_the_load() {
    for load in [2, 4] {
        let expected = named(&[("a", 70)]);
        assert_eq!(in_time(vec![open("a", 5, seconds(8), 80 * load)]), expected);
    }
}

/// Guards against a step that could end a little late, but is left unfinished for the groups of
/// another one, so that its trainer waits until it gives up.
#[test]
fn batch_that_can_be_complete_while_it_is_of_use_is_not_divided() {
    let useful_for = |open: PlannedBatch, seconds: u64| PlannedBatch {
        useful_until: NOW.after(Duration::from_secs(seconds)),
        ..open
    };
    let earlier = useful_for(open("earlier", 5, seconds(1), 20), 4);
    let plan = plan_capacity(vec![earlier.clone()], CAPACITY, NOW);
    assert!(plan.fits, "20 groups take two seconds");
    let later = useful_for(open("later", 5, seconds(8), 200), 12);
    let plan = plan_capacity(vec![earlier, later], CAPACITY, NOW);
    assert!(!plan.fits);
    let in_time: Vec<usize> = plan
        .batches
        .iter()
        .map(|(_, groups)| groups.in_time_count())
        .collect();
    assert_eq!(in_time, [20, 50], "70 groups fit beside late ones");
    let late = useful_for(open("late", 5, seconds(1), 60), 4);
    let plan = plan_capacity(vec![late], CAPACITY, NOW);
    assert_eq!(
        plan.batches[0].1.in_time_count(),
        8,
        "what fits in one second"
    );
}

/// Guards against a step whose longest texts start last, since they are expected to end late, while
/// all slots are free.
#[test]
fn overlong_text_does_not_divide_a_batch() {
    let mut work = open("a", 5, seconds(8), 10);
    work.work.groups[3].longest_text = 5_000.0;
    let plan = plan_capacity(vec![work], CAPACITY, NOW);
    assert!(plan.fits);
    assert_eq!(plan.batches[0].1.in_time.len(), 1);
}

/// Guards against a batch that is due later taking the capacity of one that is due earlier.
#[test]
fn batches_use_the_capacity_in_order_of_due_time() {
    let batches = vec![
        open("late", 5, seconds(16), 200),
        open("early", 5, seconds(8), 50),
    ];
    assert_eq!(in_time(batches), named(&[("early", 50), ("late", 90)]));
}

/// Guards against capacity that is reserved for work that cannot be in time anyway.
#[test]
fn batch_past_its_due_time_leaves_the_capacity_to_others() {
    let batches = vec![
        open("past", 5, Duration::ZERO, 100),
        open("next", 5, seconds(8), 100),
    ];
    assert_eq!(in_time(batches), named(&[("past", 0), ("next", 70)]));
}

/// Guards against urgent work that waits for less urgent work due earlier.
#[test]
fn more_urgent_batch_uses_the_capacity_before_one_that_is_due_earlier() {
    let batches = vec![
        open("early", 5, seconds(8), 100),
        open("urgent", 1, seconds(9), 40),
    ];
    assert_eq!(in_time(batches), named(&[("urgent", 40), ("early", 30)]));
}

/// Guards against capacity that is given away twice, to running texts and to waiting items.
#[test]
fn running_texts_of_any_batch_keep_their_slots() {
    let mut earlier = open("earlier", 5, Duration::ZERO, 0);
    earlier.work.running_texts = vec![300.0, 10_000.0];
    // 300 events, and the 800 that the longer text can gain in 8 s.
    let batches = vec![earlier.clone(), open("next", 5, seconds(8), 100)];
    assert_eq!(in_time(batches), named(&[("earlier", 0), ("next", 60)]));
}

fn of_tenant(tenant: &str, work: PlannedBatch) -> PlannedBatch {
    let tenant = Some(TenantName::from(tenant));
    PlannedBatch { tenant, ..work }
}

/// Guards against the tenant whose batch is due first having all groups in time.
#[test]
fn tenants_of_one_urgency_share_the_capacity_equally() {
    let batches = vec![
        of_tenant("a", open("a", 5, seconds(8), 100)),
        of_tenant("b", open("b", 5, seconds(8), 100)),
    ];
    assert_eq!(in_time(batches), named(&[("a", 35), ("b", 35)]));
}

/// Guards against capacity that no group is in time with, since its tenant has too little work, and
/// against unused capacity that is given away twice.
#[test]
fn capacity_that_a_tenant_leaves_goes_to_the_others() {
    let batches = vec![
        of_tenant("a", open("a", 5, seconds(8), 100)),
        of_tenant("b", open("b", 5, seconds(8), 10)),
        of_tenant("c", open("c", 5, seconds(8), 100)),
    ];
    let expected = [("a", 37), ("b", 10), ("c", 23)];
    assert_eq!(in_time(batches), named(&expected));
}

/// Guards against unused capacity before a due time that is taken from a batch due later.
#[test]
fn unused_capacity_does_not_displace_groups_of_later_batches() {
    let batches = vec![
        of_tenant("a", open("a", 5, seconds(8), 100)),
        of_tenant("b", open("b", 5, seconds(9), 39)),
    ];
    // 78 groups fit by the later due time, of which each tenant can use 39.
    assert_eq!(in_time(batches), named(&[("a", 39), ("b", 39)]));
}

/// Guards against sets that each use all slots, of which several tenants have one at a time.
#[test]
fn sets_of_groups_use_the_slots_that_a_tenant_can_have() {
    let plan = |batches| plan_capacity(batches, CAPACITY, NOW).batches;
    let alone = plan(vec![open("a", 5, seconds(8), 100)]);
    // Ten slots, and four items a group.
    assert_eq!(alone[0].1.in_time[0].len(), 3);
    let two = plan(vec![
        of_tenant("a", open("a", 5, seconds(8), 100)),
        of_tenant("b", open("b", 5, seconds(8), 100)),
    ]);
    assert_eq!(two[0].1.in_time[0].len(), 2);
    let fitting = plan(vec![open("a", 5, seconds(8), 20)]);
    assert_eq!(fitting[0].1.in_time.len(), 1, "the longest texts go first");
}

/// Guards against groups that are late for a time that no trainer has asked for.
#[test]
fn batch_without_due_time_is_not_classified() {
    let mut unbounded = open("unbounded", 5, seconds(1), 1_000);
    unbounded.has_due_time = false;
    let plan = plan_capacity(vec![unbounded], CAPACITY, NOW);
    assert!(plan.fits && plan.batches.is_empty());
}

/// Guards against a panic or a plan without groups for due times and lengths out of the ordinary.
#[test]
fn extreme_times_and_lengths_are_planned() {
    let century = Duration::from_secs(100 * 365 * 24 * 3_600);
    let mut endless = open("endless", 5, seconds(8), 1);
    endless.work.groups[0].waiting_events = f64::MAX;
    endless.work.running_texts = vec![f64::MAX, f64::MAX];
    let batches = vec![open("far", 5, century, 1_000), endless];
    let plan = plan_capacity(batches, CAPACITY, Timestamp(u64::MAX));
    let groups = plan.batches.iter();
    let groups = groups.map(|(_, groups)| groups.in_time_count() + groups.late.len());
    assert_eq!(groups.sum::<usize>(), 1_001);
}

/// Guards against a cost that grows with the square of batches or texts: planned ten times a
/// second.
#[test]
fn cost_of_planning_is_not_quadratic() {
    const TEXTS_PER_BATCH: usize = 2_000;
    let batches = (0..100).map(|number| {
        let mut open = open(&number.to_string(), 5, seconds(number), 256);
        open.work.running_texts = (0..TEXTS_PER_BATCH).map(|text| text as f64).collect();
        open
    });
    let batches: Vec<PlannedBatch> = batches.collect();
    let started_at = Instant::now();
    let plan = plan_capacity(batches, CAPACITY, NOW);
    let elapsed = started_at.elapsed();
    assert!(!plan.fits);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}
