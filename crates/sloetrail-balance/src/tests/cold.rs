//! What cold engines get, from one sender and from all together.

use super::locality::{ENGINES, choose, listed, mark, serving};
use super::{EVERYWHERE, report};
use crate::{ColdBudget, ColdEngine, ListedEngine, ReportedState, SendBound, SendWindow};
use sloetrail_types::{EngineId, Timestamp, ZoneName};
use std::time::Duration;

#[test]
fn cold_engines_get_what_warm_ones_cannot_take_and_no_more_than_their_bound() {
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
    assert_eq!(warm.count(), 5, "a warm engine is not spared");
}

#[test]
fn what_was_sent_counts_although_the_engine_was_not_listed_in_between() {
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
    let news = report(400, ReportedState::Serving, 0);
    balancer.report(&EngineId::from("own"), news);
    assert_eq!(choose(&mut balancer, 500), None);
    assert!(choose(&mut balancer, 1_400).is_some());
}

#[test]
fn waiting_does_not_help_where_other_nodes_send_a_cold_engine_all_that_it_bears() {
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
fn any_span_of_the_bound_holds_no_more_sends() {
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
        let within = sends
            .iter()
            .filter(|at| *at >= first && **at < first + 1_000);
        assert!(within.count() <= 7);
    }
    assert!(sends.len() >= 60, "{} sends in ten seconds", sends.len());
    let slow = SendBound::per_second(0.5);
    assert_eq!((slow.most, slow.span), (1, Duration::from_secs(2)));
    assert_eq!(SendBound::per_second(0.0), SendBound::NONE);
}

/// However many nodes there are: what they may send together, in any second, is what the
/// back end bears.
#[test]
fn all_nodes_together_send_a_cold_back_end_no_more_than_it_bears() {
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
            let rate = bounds.map(|bound| bound.most as f64 / bound.span.as_secs_f64());
            let rate: f64 = rate.sum();
            assert!(
                rate <= sustained_per_second + 1e-9,
                "{nodes} nodes, {sustained_per_second}: {rate}"
            );
            assert!(rate > 0.0, "somebody may send");
        }
    }
}

#[test]
fn an_owner_and_its_successor_together_keep_the_most() {
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
        let cold = budget.owner_bound().most;
        let unnoticed = budget.possibly_cold_bound().most;
        let both = (senders * (cold + unnoticed.max(cold))) as f64;
        assert!(
            both <= max_per_second,
            "{sustained_per_second}: {cold} and {unnoticed} of {max_per_second}"
        );
        assert!(cold >= 1);
    }
}
