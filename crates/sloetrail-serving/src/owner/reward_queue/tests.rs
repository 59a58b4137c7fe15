use super::{RETRY_DELAY, Rank, RewardQueue, ScoringOutcome, ScoringTarget, ScoringTask};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, ServiceName, Timestamp, Urgency};
use std::time::Duration;

fn scoring_target(service: &str) -> ScoringTarget {
    ScoringTarget {
        service: Some(ServiceName::from(service)),
        regions: AllowedRegions::default(),
    }
}

fn text_in(
    service: &str,
    batch: &str,
    index: usize,
    is_optional: bool,
    accepted: u64,
) -> ScoringTask {
    let rank = Rank {
        is_optional,
        batch: (Urgency::new(None, 1), Timestamp(accepted)),
    };
    ScoringTask::new(batch.into(), index, scoring_target(service), rank)
}

fn text(index: usize) -> ScoringTask {
    text_in("app", "b1", index, false, 1)
}

fn queue(texts: impl IntoIterator<Item = ScoringTask>) -> RewardQueue {
    let mut queue = RewardQueue::default();
    texts.into_iter().for_each(|text| queue.push(text));
    queue
}

fn start(queue: &mut RewardQueue, now: BootInstant, slots: usize) -> Vec<usize> {
    let started = queue.start(now, |_| slots);
    started.iter().map(|text| text.index).collect()
}

#[test]
fn texts_in_flight_never_exceed_slots() {
    let now = BootInstant::now();
    let mut queue = queue((0..300).map(text));
    let started = queue.start(now, |_| 5);
    assert_eq!(started.len(), 5);
    assert_eq!(start(&mut queue, now, 5), [0_usize; 0]);
    for text in started.into_iter().take(2) {
        queue.finish_attempt(now, text, ScoringOutcome::Settled);
    }
    assert_eq!(start(&mut queue, now, 5), [5, 6]);
    assert_eq!(
        start(&mut queue, now, 3),
        [0_usize; 0],
        "fewer slots than texts in flight"
    );
    assert_eq!(queue.waiting(), 293);
}

#[test]
fn required_groups_go_first_then_the_oldest() {
    let now = BootInstant::now();
    let mut queue = queue([
        text_in("app", "young", 0, true, 1),
        text_in("app", "young", 1, false, 9),
        text_in("app", "old", 2, false, 2),
        text_in("app", "old", 3, false, 2),
    ]);
    assert_eq!(start(&mut queue, now, 9), [2, 3, 1, 0]);
}

#[test]
fn one_text_probes_for_slots_and_all_keep_their_order() {
    let now = BootInstant::now();
    let mut queue = queue((0..300).map(text));
    let mut attempts = 0;
    let end = now + Duration::from_secs(1);
    let mut moment = now;
    while moment < end {
        for text in queue.start(moment, |_| 0) {
            assert_eq!(text.index, 0);
            attempts += 1;
            queue.finish_attempt(moment, text, ScoringOutcome::NoFreeSlot);
        }
        moment += Duration::from_millis(1);
    }
    assert!(
        (10..=13).contains(&attempts),
        "{attempts} attempts in a second"
    );
    assert_eq!(queue.waiting(), 300);
    let first = start(&mut queue, end + RETRY_DELAY, 3);
    assert_eq!(first, [0, 1, 2], "texts start in order once slots are free");
}

#[test]
fn a_failed_text_is_delayed_without_blocking_others() {
    let now = BootInstant::now();
    let mut queue = queue((0..3).map(text));
    for text in queue.start(now, |_| 1) {
        queue.finish_attempt(now, text, ScoringOutcome::Failed);
    }
    assert_eq!(start(&mut queue, now, 2), [1, 2]);
    assert_eq!(queue.next_due(now), Some(now + RETRY_DELAY));
    assert_eq!(start(&mut queue, now + RETRY_DELAY / 2, 9), [0_usize; 0]);
    assert_eq!(start(&mut queue, now + RETRY_DELAY, 9), [0]);
}

#[test]
fn a_service_without_slots_does_not_block_others() {
    let now = BootInstant::now();
    let mut queue = queue([
        text_in("away", "b1", 0, false, 1),
        text_in("app", "b1", 1, false, 1),
        text_in("app", "b1", 2, false, 1),
    ]);
    for text in queue.start(now, |target| {
        usize::from(target.service != Some("away".into()))
    }) {
        let outcome = match text.index {
            0 => ScoringOutcome::NoFreeSlot,
            _ => ScoringOutcome::Settled,
        };
        queue.finish_attempt(now, text, outcome);
    }
    assert_eq!(start(&mut queue, now, 1), [2]);
}

#[test]
fn texts_that_need_no_score_are_dropped() {
    let now = BootInstant::now();
    let mut queue = queue((0..4).map(text));
    for text in queue.start(now, |_| 1) {
        queue.finish_attempt(now, text, ScoringOutcome::Failed);
    }
    queue.retain(|text| text.index == 3);
    assert_eq!(queue.waiting(), 1);
    assert_eq!(start(&mut queue, now + RETRY_DELAY, 9), [3]);
}
