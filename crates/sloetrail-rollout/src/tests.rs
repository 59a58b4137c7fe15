use crate::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep, WeightSource};
use proptest::prelude::*;
use sloetrail_types::{EngineId, Timestamp, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};

const LIMITS: RolloutLimits = RolloutLimits {
    store_reads: 2,
    peer_reads: 2,
    capacity_floor_percent: 60,
};
const OLD: WeightVersion = WeightVersion(1);
const NEW: WeightVersion = WeightVersion(2);

fn engines(count: usize) -> BTreeMap<EngineId, EngineWeights> {
    (0..count)
        .map(|index| {
            let weights = EngineWeights {
                version: OLD,
                loaded: BTreeSet::from([OLD]),
            };
            (EngineId::new(format!("engine-{index:03}")), weights)
        })
        .collect()
}

/// Applies a step. Loads and switches take one round each.
fn apply(engines: &mut BTreeMap<EngineId, EngineWeights>, step: &RolloutStep) {
    let weights = engines.get_mut(step.engine()).expect("known engine");
    match step {
        RolloutStep::Load { version, .. } => {
            weights.loaded.insert(*version);
        }
        RolloutStep::Switch { version, .. } => weights.version = *version,
    }
}

#[test]
fn most_engines_load_from_peers() {
    let mut engines = engines(100);
    let mut planner = RolloutPlanner::new(LIMITS);
    let mut store_reads = 0;
    let mut rounds = 0;
    while engines.values().any(|weights| weights.version != NEW) {
        rounds += 1;
        assert!(rounds < 60, "the rollout completes within 60 rounds");
        let steps = planner.next_steps(Timestamp(rounds), NEW, &engines);
        for step in &steps {
            store_reads += usize::from(matches!(
                step,
                RolloutStep::Load {
                    source: WeightSource::Store,
                    ..
                }
            ));
            apply(&mut engines, step);
            planner.finish(Timestamp(rounds), step.engine(), true);
        }
    }
    assert!(store_reads <= 14, "{store_reads} reads in {rounds} rounds");
}

#[test]
fn failed_load_is_retried_from_the_store_after_backoff() {
    let mut engines = engines(2);
    let holder = EngineId::from("engine-000");
    engines.get_mut(&holder).expect("known").loaded.insert(NEW);
    let mut planner = RolloutPlanner::new(LIMITS);
    let load = |source| RolloutStep::Load {
        engine: EngineId::from("engine-001"),
        version: NEW,
        source,
    };
    let steps = planner.next_steps(Timestamp(0), NEW, &engines);
    assert!(steps.contains(&load(WeightSource::Peer(holder))));
    planner.finish(Timestamp(0), &EngineId::from("engine-001"), false);
    assert!(planner.next_steps(Timestamp(100), NEW, &engines).is_empty());
    let steps = planner.next_steps(Timestamp(200), NEW, &engines);
    assert_eq!(steps, vec![load(WeightSource::Store)]);
}

#[test]
fn failed_load_is_retried_from_another_peer() {
    let mut engines = engines(3);
    for holder in ["engine-000", "engine-001"] {
        let weights = engines.get_mut(&EngineId::from(holder)).expect("known");
        weights.loaded.insert(NEW);
        weights.version = NEW;
    }
    let mut planner = RolloutPlanner::new(LIMITS);
    let waiting = EngineId::from("engine-002");
    let mut sources = Vec::new();
    let mut now = Timestamp(0);
    for _ in 0..2 {
        let steps = planner.next_steps(now, NEW, &engines);
        let [RolloutStep::Load { source, .. }] = steps.as_slice() else {
            panic!("expected one load, got {steps:?}");
        };
        sources.push(source.clone());
        planner.finish(now, &waiting, false);
        now = Timestamp(now.0 + 1_000);
    }
    let peer = |name: &str| WeightSource::Peer(EngineId::from(name));
    assert_eq!(sources, vec![peer("engine-000"), peer("engine-001")]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]
    #[test]
    fn switches_never_exceed_the_capacity_floor(count in 1usize..40, floor in 0u32..100, failures in any::<u64>()) {
        let limits = RolloutLimits { capacity_floor_percent: floor, ..LIMITS };
        let mut engines = engines(count);
        let mut planner = RolloutPlanner::new(limits);
        let mut now = Timestamp(0);
        for round in 0..200_u64 {
            now = Timestamp(now.0 + 500);
            let steps = planner.next_steps(now, NEW, &engines);
            let switching = steps
                .iter()
                .filter(|step| matches!(step, RolloutStep::Switch { .. }))
                .count();
            let must_serve = (count * floor as usize).div_ceil(100);
            prop_assert!(switching <= (count - must_serve).max(1));
            for (index, step) in steps.iter().enumerate() {
                let fails = (failures >> ((round + index as u64) % 64)) & 1 == 1;
                if !fails {
                    apply(&mut engines, step);
                }
                planner.finish(now, step.engine(), !fails);
            }
        }
        let done = engines.values().all(|weights| weights.version == NEW);
        prop_assert!(done || failures == u64::MAX || failures.count_ones() > 48);
    }
}
