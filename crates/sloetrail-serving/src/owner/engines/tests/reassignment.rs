//! Reassignment of engines by capacity and backlog.

use super::orders::{MANY_ENGINES, assignment_time};
use super::{MODELS, engines_of_model, pool, set_event_interval, share};
use crate::owner::backlog_assignment::{Reassignment, ReassignmentBounds};
use crate::owner::engines::EnginePool;
use crate::owner::model_backlog::ExpectedModelWork;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};
use std::time::Duration;

const CHANGE: Duration = Duration::from_secs(1);
const INTERVAL_MS: u64 = 40;
/// Events per second of an engine of 8 slots at this interval.
const ENGINE_CAPACITY: f64 = 200.0;

fn backlogs(events: [f64; 3]) -> Vec<ExpectedModelWork> {
    let pairs = MODELS.iter().zip(events);
    let backlog = |(model, events): (&&str, f64)| ExpectedModelWork {
        model: (*model).to_owned(),
        events,
    };
    pairs.map(backlog).collect()
}

/// The events of as many engines for a number of seconds.
fn work(engines: usize, seconds: f64) -> f64 {
    engines as f64 * ENGINE_CAPACITY * seconds
}

fn reassign(
    pool: &mut EnginePool,
    backlogs: &[ExpectedModelWork],
    max: usize,
) -> Vec<Reassignment> {
    let bounds = ReassignmentBounds {
        max_engines: max,
        change: CHANGE,
        default_interval_us: pool.median_lasting_interval_us(),
    };
    pool.reassign_by_backlog(backlogs, bounds, BootInstant::now())
}

fn pool_with_intervals(engines: usize, interval_ms: impl Fn(usize) -> u64) -> EnginePool {
    let pool = pool(engines);
    let ids: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for (index, id) in ids.iter().enumerate() {
        set_event_interval(&pool, id, interval_ms(index));
    }
    pool
}

fn even_pool(engines: usize) -> EnginePool {
    pool_with_intervals(engines, |_| INTERVAL_MS)
}

fn counts(pool: &EnginePool) -> [usize; 3] {
    MODELS.map(|model| engines_of_model(pool, model).len())
}

/// Guards against steps that wait for a slot while another model's engines have nothing to do.
#[test]
fn engines_of_a_finished_model_go_to_the_one_that_finishes_last() {
    let mut pool = even_pool(48);
    let backlogs = backlogs([0.0, work(16, 10.0), work(16, 4.0)]);
    let reassignments = reassign(&mut pool, &backlogs, 4);
    assert_eq!(reassignments.len(), 4);
    assert!(
        reassignments
            .iter()
            .all(|reassignment| reassignment.from == "a" && reassignment.to == "b")
    );
    assert_eq!(counts(&pool), [12, 20, 16]);
}

/// Guards against counting slow engines like fast ones: a model whose engines make half as many
/// events finishes later than one with as many engines and as much work.
#[test]
fn shares_are_measured_in_capacity() {
    let mut pool = pool(48);
    let of_a = engines_of_model(&pool, "a");
    let ids: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &ids {
        let factor = if of_a.contains(id) { 2 } else { 1 };
        set_event_interval(&pool, id, INTERVAL_MS * factor);
    }
    let even = work(16, 5.0);
    reassign(&mut pool, &backlogs([even, even, even]), 48);
    let now = BootInstant::now();
    let seconds = MODELS.map(|model| even / pool.capacity_of(model, now));
    let spread = seconds.iter().copied().fold(0.0, f64::max)
        - seconds.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(counts(&pool)[0] > 16, "{:?}", counts(&pool));
    assert!(spread <= CHANGE.as_secs_f64(), "{seconds:?}");
}

/// Guards against a change that takes longer than what it gains.
#[test]
fn differences_below_the_duration_of_a_change_move_no_engine() {
    let mut pool = even_pool(48);
    let small = backlogs([work(16, 3.0), work(16, 3.9), work(16, 3.0)]);
    assert!(reassign(&mut pool, &small, 48).is_empty());
    let large = backlogs([work(16, 3.0), work(16, 4.2), work(16, 3.0)]);
    assert!(!reassign(&mut pool, &large, 48).is_empty());
}

/// Guards against engines that are reassigned to and fro, also in pools where one engine is a
/// large part of a model's capacity.
#[test]
fn repeated_assignment_of_the_same_work_settles() {
    for engines in [2, 3, 4, 7, 12, 48] {
        for events in [[3.0, 17.0, 9.0], [0.0, 40.0, 0.5], [8.0, 8.0, 30.0]] {
            let mut pool = pool_with_intervals(engines, |index| 30 + 25 * (index as u64 % 3));
            let backlogs = backlogs(events.map(|seconds| work(engines.div_ceil(3), seconds)));
            let reassigned: usize = (0..2 * engines)
                .map(|_| reassign(&mut pool, &backlogs, 1).len())
                .sum();
            assert!(reassigned <= engines, "{engines} engines, {events:?}");
            assert!(reassign(&mut pool, &backlogs, 48).is_empty());
        }
    }
}

/// Guards against a model that has no engine at all when its next batch comes.
#[test]
fn model_without_work_keeps_some_engines() {
    let mut pool = even_pool(48);
    reassign(&mut pool, &backlogs([0.0, work(16, 60.0), 0.0]), 48);
    assert_eq!(counts(&pool), [3, 42, 3]);
    let mut small = even_pool(3);
    assert!(reassign(&mut small, &backlogs([0.0, work(1, 60.0), 0.0]), 3).is_empty());
}

/// Guards against stalling the running texts of a full engine although another one has fewer, and
/// against reassigning an engine in the middle of a change.
#[test]
fn engine_with_least_running_work_is_reassigned() {
    let mut pool = even_pool(48);
    let ids = engines_of_model(&pool, "a");
    for (index, id) in ids.iter().enumerate() {
        pool.get_mut(id).expect("known").running = if index == 5 { 2 } else { 8 };
    }
    let changing = pool.get_mut(&ids[6]).expect("known");
    changing.running = 0;
    changing.has_order_in_flight = true;
    let reassignments = reassign(&mut pool, &backlogs([0.0, work(16, 9.0), work(16, 9.0)]), 1);
    assert_eq!(reassignments[0].engine, ids[5]);
}

/// Guards against reassignments that are guesses because no engine has reported an event.
#[test]
fn nothing_is_reassigned_without_a_known_interval() {
    let mut pool = pool(48);
    let reassignments = reassign(&mut pool, &backlogs([0.0, work(16, 60.0), 0.0]), 48);
    assert!(reassignments.is_empty());
}

/// Guards against an owner that assigns engines anew after it took over: it derives assignments
/// from the versions that the engines report.
#[test]
fn new_owner_keeps_assignments_by_backlog() {
    let mut first = even_pool(48);
    let backlogs = backlogs([work(4, 5.0), work(28, 5.0), work(16, 5.0)]);
    reassign(&mut first, &backlogs, 48);
    let kept = MODELS.map(|model| engines_of_model(&first, model));
    let mut second = even_pool(48);
    for (model, ids) in MODELS.iter().zip(&kept) {
        for id in ids {
            let engine = second.get_mut(id).expect("known");
            engine.assigned = None;
            engine.record_version(model, WeightVersion(7), "test");
        }
    }
    second.assign_unassigned(&MODELS.map(|model| share(model, 8, 1.0)));
    assert!(reassign(&mut second, &backlogs, 48).is_empty());
    assert_eq!(MODELS.map(|model| engines_of_model(&second, model)), kept);
}

/// Guards against searching all engines again for each one that is reassigned.
#[test]
fn reassignment_time_is_not_quadratic_in_engines() {
    let assigned = assignment_time();
    let backlogs = backlogs([0.0, work(1_000, 60.0), 0.0]);
    let mut times = Vec::new();
    for _ in 0..8 {
        let mut pool = even_pool(MANY_ENGINES);
        let started_at = std::time::Instant::now();
        let reassignments = reassign(&mut pool, &backlogs, MANY_ENGINES / 10);
        times.push(started_at.elapsed());
        assert_eq!(reassignments.len(), MANY_ENGINES / 10);
    }
    let reassigned = times.into_iter().min().expect("some");
    assert!(reassigned < assigned, "{reassigned:?}, {assigned:?}");
}
