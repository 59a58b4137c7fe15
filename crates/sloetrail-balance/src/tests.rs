use crate::{
    AttemptOutcome, Balancer, BalancerSettings, ConcurrencyLimit, EngineReport, EngineRequirements,
    LatencyQuantile, ListedEngine, ReportedState, RetryBudget, WorkClass,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sloetrail_types::{AllowedRegions, EngineId, Timestamp, Topology, WeightVersion, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use std::time::Duration;

mod cold;
mod locality;
mod served_shares;
mod slot_queue;
mod tenant_shares;

static EVERYWHERE: LazyLock<AllowedRegions> = LazyLock::new(AllowedRegions::everywhere);

fn balancer() -> Balancer {
    balancer_of("node-1")
}

fn balancer_of(node: &str) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings {
        node: node.to_owned(),
        topology: Topology::of_zone(ZoneName::from("hfj")),
        view_freshness: Duration::from_millis(1_000),
        engine_concurrency: 4,
    });
    balancer.set_engines(
        Timestamp(0),
        vec![
            listed("near-1", "hfj", false),
            listed("near-2", "hfj", false),
            listed("far", "rvk", false),
        ],
    );
    balancer
}

fn listed(id: &str, zone: &str, leaving: bool) -> ListedEngine {
    ListedEngine {
        leaving,
        ..ListedEngine::ready(EngineId::from(id), ZoneName::from(zone))
    }
}

fn report(at: u64, state: ReportedState, load: u32) -> EngineReport {
    EngineReport {
        observed_at: Timestamp(at),
        state,
        load,
        capacity: 8,
        version: WeightVersion(1),
    }
}

fn choose(balancer: &mut Balancer, now: u64) -> Option<EngineId> {
    let mut random = StdRng::seed_from_u64(3);
    let none = BTreeSet::new();
    balancer.choose(
        Timestamp(now),
        &mut random,
        requirements(WorkClass::Live, &none),
    )
}

fn requirements(class: WorkClass, excluded: &BTreeSet<EngineId>) -> EngineRequirements<'_> {
    EngineRequirements {
        class,
        excluded,
        regions: &EVERYWHERE,
    }
}

#[test]
fn engine_without_a_fresh_report_is_not_chosen() {
    let mut balancer = balancer();
    assert_eq!(choose(&mut balancer, 100), None);
    let id = EngineId::from("near-1");
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    assert_eq!(choose(&mut balancer, 1_099), Some(id));
    assert_eq!(choose(&mut balancer, 1_100), None);
}

fn serving_near(node: &str) -> Balancer {
    let mut balancer = balancer_of(node);
    for id in ["near-1", "near-2"] {
        balancer.report(&EngineId::from(id), report(100, ReportedState::Serving, 0));
    }
    balancer
}

/// Guards against a node with few requests opening a connection to every engine.
#[test]
fn lightly_loaded_node_keeps_to_one_engine() {
    let mut random = StdRng::seed_from_u64(5);
    let mut choose = |balancer: &mut Balancer| {
        let none = BTreeSet::new();
        let chosen = balancer.choose(
            Timestamp(200),
            &mut random,
            requirements(WorkClass::Live, &none),
        );
        chosen.expect("an engine with room")
    };
    let mut preferred = BTreeSet::new();
    for number in 0..20 {
        let mut balancer = serving_near(&format!("node-{number}"));
        let first = choose(&mut balancer);
        balancer.finish(Timestamp(200), &first, AttemptOutcome::Answered);
        for _ in 0..10 {
            let again = choose(&mut balancer);
            assert_eq!(again, first);
            balancer.finish(Timestamp(200), &again, AttemptOutcome::Answered);
        }
        preferred.insert(first);
    }
    assert_eq!(preferred.len(), 2, "the nodes prefer different engines");
}

/// Guards against a busy node overloading the engine that it prefers.
#[test]
fn busy_node_spreads_requests_evenly() {
    const ROUNDS: usize = 2_000;
    const MAX_IN_FLIGHT: usize = 5;
    let mut random = StdRng::seed_from_u64(5);
    let mut balancer = serving_near("node-1");
    let none = BTreeSet::new();
    let mut in_flight: Vec<EngineId> = Vec::new();
    let mut chosen: BTreeMap<EngineId, usize> = BTreeMap::new();
    for _ in 0..ROUNDS {
        let id = balancer.choose(
            Timestamp(200),
            &mut random,
            requirements(WorkClass::Live, &none),
        );
        let id = id.expect("an engine with room");
        *chosen.entry(id.clone()).or_default() += 1;
        in_flight.push(id);
        if in_flight.len() > MAX_IN_FLIGHT {
            let ended = in_flight.swap_remove(random.random_range(0..in_flight.len()));
            balancer.finish(Timestamp(200), &ended, AttemptOutcome::Answered);
        }
    }
    let most = chosen.values().max().copied().unwrap_or_default();
    assert!(most < ROUNDS * 54 / 100, "{chosen:?}");
}

#[test]
fn other_zones_are_used_when_the_local_one_is_full() {
    let mut balancer = balancer();
    let near = EngineId::from("near-1");
    balancer.report(&near, report(100, ReportedState::Serving, 0));
    balancer.report(
        &EngineId::from("far"),
        report(100, ReportedState::Serving, 0),
    );
    for _ in 0..4 {
        assert_eq!(choose(&mut balancer, 200), Some(near.clone()));
    }
    assert_eq!(choose(&mut balancer, 200), Some(EngineId::from("far")));
}

#[test]
fn leaving_engine_stays_excluded_when_relisted() {
    let mut balancer = balancer();
    let id = EngineId::from("near-1");
    balancer.set_engines(Timestamp(0), vec![listed("near-1", "hfj", true)]);
    balancer.set_engines(Timestamp(0), vec![listed("near-1", "hfj", false)]);
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    assert_eq!(choose(&mut balancer, 200), None);
}

/// An engine's row may expire and return. Guards against excluding the engine for good when
/// requests were in flight meanwhile.
#[test]
fn relisted_engine_takes_work_again() {
    let mut balancer = balancer();
    let id = EngineId::from("near-1");
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    assert_eq!(choose(&mut balancer, 150), Some(id.clone()));
    balancer.set_engines(Timestamp(160), Vec::new());
    assert_eq!(choose(&mut balancer, 170), None);
    balancer.set_engines(Timestamp(180), vec![listed("near-1", "hfj", false)]);
    balancer.report(&id, report(180, ReportedState::Serving, 0));
    assert_eq!(choose(&mut balancer, 190), Some(id));
}

#[test]
fn lost_engine_is_not_chosen_until_reported_again() {
    let mut balancer = balancer();
    let id = EngineId::from("near-1");
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    assert!(choose(&mut balancer, 150).is_some());
    balancer.finish(Timestamp(160), &id, AttemptOutcome::Lost);
    assert_eq!(choose(&mut balancer, 170), None);
    balancer.report(&id, report(155, ReportedState::Serving, 0));
    assert_eq!(
        choose(&mut balancer, 170),
        None,
        "the report predates the loss"
    );
    balancer.report(&id, report(180, ReportedState::Serving, 0));
    assert_eq!(choose(&mut balancer, 190), Some(id));
}

#[test]
fn requests_sent_since_the_report_count_as_load() {
    let mut balancer = balancer();
    for name in ["near-1", "near-2"] {
        balancer.report(
            &EngineId::from(name),
            report(100, ReportedState::Serving, 0),
        );
    }
    let mut random = StdRng::seed_from_u64(9);
    let mut counts = [0, 0];
    for _ in 0..6 {
        let chosen = balancer
            .choose(
                Timestamp(110),
                &mut random,
                requirements(WorkClass::Live, &BTreeSet::new()),
            )
            .expect("there is room");
        counts[usize::from(chosen == EngineId::from("near-2"))] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 2), "{counts:?}");
}

#[test]
fn limit_decreases_on_overload_and_recovers() {
    let mut limit = ConcurrencyLimit::new(10);
    limit.on_overload();
    assert_eq!(limit.current(), 7);
    for _ in 0..100 {
        limit.on_success(limit.current());
    }
    assert_eq!(limit.current(), 10);
    for _ in 0..100 {
        limit.on_overload();
    }
    assert_eq!(limit.current(), 1);
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += usize::from(budget.withdraw());
    }
    assert!((100..=105).contains(&retries), "{retries}");
    assert!(!RetryBudget::new(0).withdraw());
}

#[test]
fn samples_leave_a_quarter_of_the_slots_to_callers() {
    let mut balancer = balancer();
    balancer.report(
        &EngineId::from("near-1"),
        report(100, ReportedState::Serving, 0),
    );
    let mut random = StdRng::seed_from_u64(1);
    let mut samples = 0;
    let none = BTreeSet::new();
    while balancer
        .choose(
            Timestamp(110),
            &mut random,
            requirements(WorkClass::Sample, &none),
        )
        .is_some()
    {
        samples += 1;
    }
    assert_eq!(samples, 3);
    assert!(choose(&mut balancer, 110).is_some());
}

#[test]
fn engine_is_excluded_after_three_consecutive_failures() {
    let mut balancer = balancer();
    let id = EngineId::from("near-1");
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    let fail = |balancer: &mut Balancer| {
        assert_eq!(choose(balancer, 110), Some(EngineId::from("near-1")));
        balancer.finish(Timestamp(120), &id, AttemptOutcome::Failed);
    };
    fail(&mut balancer);
    fail(&mut balancer);
    assert!(choose(&mut balancer, 110).is_some());
    balancer.finish(Timestamp(115), &id, AttemptOutcome::Answered);
    for _ in 0..3 {
        fail(&mut balancer);
    }
    assert_eq!(choose(&mut balancer, 130), None);
}

#[test]
fn partial_answer_confirms_engine_and_weight_version() {
    let mut balancer = balancer();
    let id = EngineId::from("near-1");
    let second = Duration::from_millis(1_000);
    assert!(balancer.is_unconfirmed(&id, Timestamp(100), second));
    balancer.report(&id, report(100, ReportedState::Serving, 0));
    balancer.confirm(&id, Timestamp(900), WeightVersion(2));
    assert!(!balancer.is_unconfirmed(&id, Timestamp(1_899), second));
    assert!(balancer.is_unconfirmed(&id, Timestamp(1_900), second));
    assert_eq!(balancer.version_of(&id), WeightVersion(2));
    assert_eq!(choose(&mut balancer, 1_800), Some(id));
}

#[test]
fn nine_of_ten_answers_come_within_the_estimate() {
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut quantile = LatencyQuantile::default();
    let answer = |random: &mut rand::rngs::StdRng, scale: f64| {
        Duration::from_secs_f64(scale * random.random_range(10.0..20.0) / 1_000.0)
    };
    let mut within = |scale: f64, warm_up: usize| {
        for _ in 0..warm_up {
            let latency = answer(&mut random, scale);
            quantile.record(latency);
        }
        let mut count = 0;
        for _ in 0..1_000 {
            let latency = answer(&mut random, scale);
            count += usize::from(latency <= quantile.estimate());
            quantile.record(latency);
        }
        count
    };
    for (scale, warm_up) in [(1.0, 100), (6.0, 30), (1.0, 300)] {
        let count = within(scale, warm_up);
        assert!((860..=940).contains(&count), "{count} of 1000 at {scale}");
    }
}

#[test]
fn first_answer_sets_the_estimate() {
    let mut quantile = LatencyQuantile::default();
    quantile.record(Duration::from_millis(80));
    assert_eq!(quantile.estimate(), Duration::from_millis(80));
}
