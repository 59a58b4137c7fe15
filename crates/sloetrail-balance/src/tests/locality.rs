//! Preference for near engines, allowed regions and evacuated zones.

use super::{EVERYWHERE, report};
use crate::{
    AttemptOutcome, Balancer, BalancerSettings, EngineRequirements, ListedEngine, ReportedState,
    WorkClass,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_types::{AllowedRegions, EngineId, RegionName, Timestamp, Topology, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;

/// Engines with their zones: one in the local zone, one in the local region, two elsewhere.
pub(super) const ENGINES: [(&str, &str); 4] = [
    ("own", "a1"),
    ("near", "a2"),
    ("far-1", "b1"),
    ("far-2", "b2"),
];

fn topology() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let regions = regions.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    Topology::new(ZoneName::from("a1"), regions.into())
}

pub(super) fn listed() -> Vec<ListedEngine> {
    let engines = ENGINES.iter();
    engines
        .map(|(id, zone)| ListedEngine::ready(EngineId::from(*id), ZoneName::from(*zone)))
        .collect()
}

pub(super) fn serving(engines: Vec<ListedEngine>) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings {
        node: "node-1".to_owned(),
        topology: topology(),
        view_freshness: Duration::from_secs(600),
        engine_concurrency: 8,
    });
    balancer.set_engines(Timestamp(200), engines);
    for (id, _) in ENGINES {
        let report = report(100, ReportedState::Serving, 0);
        balancer.report(&EngineId::from(id), report);
    }
    balancer
}

fn choose_in(balancer: &mut Balancer, regions: &AllowedRegions, now: u64) -> Option<String> {
    let mut random = StdRng::seed_from_u64(3);
    let excluded = BTreeSet::new();
    let requirements = EngineRequirements {
        class: WorkClass::Live,
        excluded: &excluded,
        regions,
    };
    let id = balancer.choose(Timestamp(now), &mut random, requirements)?;
    balancer.finish(Timestamp(now), &id, AttemptOutcome::Answered);
    Some(id.as_str().to_owned())
}

pub(super) fn choose(balancer: &mut Balancer, now: u64) -> Option<String> {
    choose_in(balancer, &EVERYWHERE, now)
}

pub(super) fn mark(engines: &mut [ListedEngine], id: &str, change: impl Fn(&mut ListedEngine)) {
    let id = EngineId::from(id);
    let engine = engines.iter_mut().find(|engine| engine.id == id);
    change(engine.expect("listed"));
}

#[test]
fn local_zone_goes_first_then_local_region() {
    let mut engines = listed();
    let mut balancer = serving(engines.clone());
    assert_eq!(choose(&mut balancer, 200).as_deref(), Some("own"));
    mark(&mut engines, "own", |engine| engine.evacuated = true);
    balancer.set_engines(Timestamp(200), engines.clone());
    assert_eq!(choose(&mut balancer, 200).as_deref(), Some("near"));
    mark(&mut engines, "near", |engine| engine.leaving = true);
    balancer.set_engines(Timestamp(200), engines.clone());
    let far = choose(&mut balancer, 200).expect("an engine elsewhere");
    assert!(far.starts_with("far"), "{far}");
}

#[test]
fn evacuation_is_reversible_and_leaving_is_not() {
    let mut engines = listed();
    for (id, _) in ENGINES {
        mark(&mut engines, id, |engine| engine.evacuated = true);
    }
    let mut balancer = serving(engines);
    assert_eq!(choose(&mut balancer, 200), None);
    assert!(!balancer.may_serve(Timestamp(200), &EVERYWHERE));
    balancer.set_engines(Timestamp(200), listed());
    assert_eq!(choose(&mut balancer, 200).as_deref(), Some("own"));
    let mut leaving = listed();
    mark(&mut leaving, "own", |engine| engine.leaving = true);
    balancer.set_engines(Timestamp(200), leaving);
    balancer.set_engines(Timestamp(200), listed());
    assert_eq!(choose(&mut balancer, 200).as_deref(), Some("near"));
}

#[test]
fn only_engines_of_allowed_regions_are_chosen() {
    let mut balancer = serving(listed());
    let only = |name: &str| AllowedRegions::only([RegionName::from(name)]);
    for _ in 0..20 {
        let chosen = choose_in(&mut balancer, &only("b"), 200).expect("one");
        assert!(chosen.starts_with("far"), "{chosen}");
    }
    assert_eq!(choose_in(&mut balancer, &only("c"), 200), None);
    assert!(balancer.may_serve(Timestamp(200), &only("b")));
    assert!(!balancer.may_serve(Timestamp(200), &only("c")));
}
