//! Limits on sends to cold engines, by one sender and by all senders together.

use super::locality::{ENGINES, choose, listed, mark, serving};
use super::{EVERYWHERE, report};
use crate::{ColdBudget, ColdEngine, ListedEngine, ReportedState, SendBound, SendWindow};
use sloetrail_types::{EngineId, Timestamp, ZoneName};
use std::time::Duration;

#[test]
fn cold_engine_gets_overflow_within_its_bound() {
    let cold = ColdEngine {
        until: Timestamp(3_000),
        bound: Some(SendBound::per_second(2.0)),
    };
    let mut engines = listed();
    mark(&mut engines, "own", |engine| engine.cold = Some(cold));
    let mut balancer = serving(engines.clone());
    assert_eq!(choose(&mut balancer, 200).as_deref(), Some("near"));
    for (id, _) in &ENGINES[1..] {
        mark(&mut engines, id, |engine| engine.leaving = true);
    }
    balancer.set_engines(Timestamp(200), engines);
    let chosen: Vec<bool> = (0..12)
        .map(|step| choose(&mut balancer, 300 + step * 100).is_some())
        .collect();
    assert_eq!(
        chosen.iter().filter(|chosen| **chosen).count(),
        3,
        "{chosen:?}"
    );
    assert!(chosen[0] && chosen[1] && chosen[11], "{chosen:?}");
    let warm = (0..5).filter(|_| choose(&mut balancer, 3_000).is_some());
    assert_eq!(warm.count(), 5, "a warm engine is not throttled");
}

#[test]
fn sends_still_count_after_the_engine_is_relisted() {
    let cold = ColdEngine {
        until: Timestamp(30_000),
        bound: Some(SendBound::per_second(2.0)),
    };
    let mut own = ListedEngine::ready(EngineId::from("own"), ZoneName::from("a1"));
    own.cold = Some(cold);
    let mut balancer = serving(vec![own.clone()]);
    let first = (0..5).filter(|_| choose(&mut balancer, 200).is_some());
    assert_eq!(first.count(), 2);
    balancer.set_engines(Timestamp(300), Vec::new());
    assert_eq!(choose(&mut balancer, 310), None);
    balancer.set_engines(Timestamp(400), vec![own]);
    let update = report(400, ReportedState::Serving, 0);
    balancer.report(&EngineId::from("own"), update);
    assert_eq!(choose(&mut balancer, 500), None);
    assert!(choose(&mut balancer, 1_400).is_some());
}

#[test]
fn cold_engine_budgeted_to_other_nodes_may_not_serve() {
    let cold = |bound| ColdEngine {
        until: Timestamp(3_000),
        bound: Some(bound),
    };
    let mut own = ListedEngine::ready(EngineId::from("own"), ZoneName::from("a1"));
    own.cold = Some(cold(SendBound::NONE));
    let mut balancer = serving(vec![own.clone()]);
    assert!(!balancer.may_serve(Timestamp(200), &EVERYWHERE));
    assert!(balancer.may_serve(Timestamp(3_000), &EVERYWHERE));
    own.cold = Some(cold(SendBound::per_second(1.0)));
    balancer.set_engines(Timestamp(200), vec![own]);
    assert!(balancer.may_serve(Timestamp(200), &EVERYWHERE));
}

#[test]
fn no_window_exceeds_the_send_bound() {
    let bound = SendBound::per_second(7.9);
    let mut window = SendWindow::default();
    let mut sends = Vec::new();
    for now in (0..10_000).step_by(7) {
        if window.has_room(Timestamp(now), bound) {
            window.record(Timestamp(now));
            sends.push(now);
        }
    }
    for first in &sends {
        let recent = sends
            .iter()
            .filter(|at| *at >= first && **at < first + 1_000);
        assert!(recent.count() <= 7);
    }
    assert!(sends.len() >= 60, "{} sends in ten seconds", sends.len());
    let slow = SendBound::per_second(0.5);
    assert_eq!((slow.max_sends, slow.window), (1, Duration::from_secs(2)));
    assert_eq!(SendBound::per_second(0.0), SendBound::NONE);
}

/// Guards against the sum of the nodes' bounds exceeding what the back end sustains.
#[test]
fn all_nodes_together_stay_within_the_sustained_rate() {
    for nodes in [1, 3, 7, 8, 83, 350] {
        let names: Vec<String> = (0..nodes).map(|number| format!("node-{number}")).collect();
        for sustained_per_second in [0.3, 1.0, 7.9, 40.0] {
            let budget = ColdBudget {
                sustained_per_second,
                max_per_second: sustained_per_second * 1.5 + 5.0,
                senders: 1,
            };
            let bound = |own: &String| {
                let senders = names.iter().map(String::as_str);
                budget.live_bound("i-1", own, senders)
            };
            let bounds = names.iter().map(bound);
            let rate = bounds.map(|bound| bound.max_sends as f64 / bound.window.as_secs_f64());
            let rate: f64 = rate.sum();
            assert!(
                rate <= sustained_per_second + 1e-9,
                "{nodes} nodes, {sustained_per_second}: {rate}"
            );
            assert!(rate > 0.0, "at least one node may send");
        }
    }
}

#[test]
fn owner_and_successor_together_stay_within_the_maximum() {
    for (sustained_per_second, excess, slack, senders) in [
        (7.9, 1.5, 5.0, 1),
        (7.9, 1.5, 5.0, 2),
        (40.0, 1.5, 5.0, 1),
        (3.0, 1.0, 0.0, 1),
    ] {
        let max_per_second = sustained_per_second * excess + slack;
        let budget = ColdBudget {
            sustained_per_second,
            max_per_second,
            senders,
        };
        let cold = budget.owner_bound().max_sends;
        let possibly_cold = budget.possibly_cold_bound().max_sends;
        let both = (senders * (cold + possibly_cold.max(cold))) as f64;
        assert!(
            both <= max_per_second,
            "{sustained_per_second}: {cold} and {possibly_cold} of {max_per_second}"
        );
        assert!(cold >= 1);
    }
}
