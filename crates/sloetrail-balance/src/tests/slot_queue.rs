//! Who gets a place that comes free.

use crate::{SlotQueue, SlotRequest, SlotTicket};
use sloetrail_types::{AllowedRegions, RegionName, TenantName, Timestamp, Urgency};
use std::time::{Duration, Instant};

const NOW: Timestamp = Timestamp(1_000);

fn request(tenant: &str, route_priority: u8) -> SlotRequest {
    SlotRequest {
        urgency: Urgency::new(None, route_priority),
        tenant: Some(TenantName::from(tenant)),
        regions: AllowedRegions::everywhere(),
    }
}

fn bound_to(region: &str, request: SlotRequest) -> SlotRequest {
    let regions = AllowedRegions::only([RegionName::from(region)]);
    SlotRequest { regions, ..request }
}

fn joined(queue: &mut SlotQueue, request: &SlotRequest) -> SlotTicket {
    queue.join(request, None)
}

fn anywhere(_: &AllowedRegions) -> bool {
    true
}

/// The order in which those that wait get places, each of which stays taken.
fn served(queue: &mut SlotQueue, requests: &[(SlotTicket, &SlotRequest)]) -> Vec<SlotTicket> {
    let mut order = Vec::new();
    while let Some(ticket) = queue.offer(NOW, anywhere) {
        queue.leave(ticket);
        let request = requests.iter().find(|(known, _)| *known == ticket);
        queue.record_start(&request.expect("it waited").1.tenant);
        order.push(ticket);
    }
    order
}

#[test]
fn the_most_urgent_goes_first_whatever_its_tenant_has_and_its_age() {
    let mut queue = SlotQueue::default();
    let (patient, urgent) = (request("calm", 5), request("flood", 0));
    queue.record_start(&urgent.tenant);
    let first = joined(&mut queue, &patient);
    let second = joined(&mut queue, &urgent);
    let order = served(&mut queue, &[(first, &patient), (second, &urgent)]);
    assert_eq!(order, [second, first]);
}

#[test]
fn tenants_take_turns_and_within_one_the_oldest_goes_first() {
    let mut queue = SlotQueue::default();
    let (flood, calm) = (request("flood", 5), request("calm", 5));
    let floods = [(); 3].map(|()| joined(&mut queue, &flood));
    let calms = [(); 2].map(|()| joined(&mut queue, &calm));
    let known = floods.map(|ticket| (ticket, &flood));
    let known = [&known[..], &calms.map(|ticket| (ticket, &calm))].concat();
    let order = served(&mut queue, &known);
    assert_eq!(order, [floods[0], calms[0], floods[1], calms[1], floods[2]]);
}

#[test]
fn without_tenants_the_oldest_goes_first() {
    let mut queue = SlotQueue::default();
    let nobody = SlotRequest {
        tenant: None,
        ..request("-", 5)
    };
    let tickets = [(); 3].map(|()| joined(&mut queue, &nobody));
    let known = tickets.map(|ticket| (ticket, &nobody));
    assert_eq!(served(&mut queue, &known), tickets);
    assert_eq!(queue.requests_ahead(&nobody, None), 0);
}

#[test]
fn one_that_may_not_use_the_place_is_passed_over_and_keeps_its_turn() {
    let mut queue = SlotQueue::default();
    let (bound, free) = (bound_to("north", request("a", 0)), request("b", 5));
    let first = joined(&mut queue, &bound);
    let second = joined(&mut queue, &free);
    let only_south = |regions: &AllowedRegions| regions.is_everywhere();
    assert_eq!(queue.offer(NOW, only_south), Some(second));
    assert!(queue.is_next(&free, Some(second), NOW, only_south));
    assert!(!queue.is_next(&free, Some(second), NOW, anywhere));
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
}

#[test]
fn a_newcomer_waits_behind_its_equals_and_goes_before_the_less_urgent() {
    let mut queue = SlotQueue::default();
    let (waiting, urgent) = (request("a", 5), request("b", 0));
    assert!(queue.is_next(&waiting, None, NOW, anywhere));
    let ticket = joined(&mut queue, &waiting);
    assert!(!queue.is_next(&waiting, None, NOW, anywhere));
    assert!(queue.is_next(&urgent, None, NOW, anywhere));
    queue.leave(ticket);
    assert!(queue.is_next(&waiting, None, NOW, anywhere));
}

#[test]
fn one_that_does_not_take_its_offer_holds_up_nobody() {
    let mut queue = SlotQueue::default();
    let (stalled, other) = (request("a", 0), request("b", 5));
    let first = joined(&mut queue, &stalled);
    let second = joined(&mut queue, &other);
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
    let soon = Timestamp(NOW.0 + 10);
    assert_eq!(queue.offer(soon, anywhere), Some(first));
    let later = Timestamp(NOW.0 + 16);
    assert_eq!(queue.offer(later, anywhere), Some(second));
    assert!(queue.is_next(&other, Some(second), later, anywhere));
    assert_eq!(queue.join(&stalled, Some(first)), first);
    assert_eq!(queue.offer(later, anywhere), Some(first));
}

#[test]
fn only_a_tenant_beyond_its_share_is_held_back_by_those_that_wait() {
    let mut queue = SlotQueue::default();
    let (flood, calm) = (request("flood", 5), request("calm", 5));
    for _ in 0..4 {
        queue.record_start(&flood.tenant);
    }
    let ticket = joined(&mut queue, &flood);
    assert_eq!(queue.requests_ahead(&flood, Some(ticket)), 0);
    for _ in 0..3 {
        joined(&mut queue, &calm);
    }
    assert_eq!(queue.requests_ahead(&flood, Some(ticket)), 3);
    assert_eq!(queue.requests_ahead(&flood, None), 4);
    assert_eq!(queue.requests_ahead(&calm, None), 0);
}

#[test]
fn a_request_that_waits_again_keeps_its_age() {
    let mut queue = SlotQueue::default();
    let same = request("a", 5);
    let first = joined(&mut queue, &same);
    let second = joined(&mut queue, &same);
    queue.leave(first);
    assert_eq!(queue.join(&same, Some(first)), first);
    let known = [(first, &same), (second, &same)];
    assert_eq!(served(&mut queue, &known), [first, second]);
}

#[test]
fn a_kind_that_gets_next_to_nothing_goes_before_a_more_urgent_one() {
    let mut queue = SlotQueue::default();
    let (urgent, patient) = (request("a", 0), request("a", 7));
    let first = joined(&mut queue, &urgent);
    let second = joined(&mut queue, &patient);
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
    for _ in 0..20 {
        queue.record_outcome(urgent.urgency, true);
        queue.record_outcome(patient.urgency, false);
    }
    assert_eq!(queue.offer(NOW, anywhere), Some(second));
    for _ in 0..20 {
        queue.record_outcome(patient.urgency, true);
    }
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
}

#[test]
fn the_look_of_one_that_waits_does_not_take_longer_the_more_wait_beside_it() {
    const WAITING: usize = 10_000;
    let mut queue = SlotQueue::default();
    let nobody = SlotRequest {
        tenant: None,
        ..request("-", 5)
    };
    let tickets: Vec<SlotTicket> = (0..WAITING).map(|_| joined(&mut queue, &nobody)).collect();
    let began = Instant::now();
    for ticket in tickets {
        assert_eq!(queue.requests_ahead(&nobody, Some(ticket)), 0);
    }
    let took = began.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}
