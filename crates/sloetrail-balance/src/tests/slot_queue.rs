//! The order in which waiting requests get free slots.

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

fn restricted_to(region: &str, request: SlotRequest) -> SlotRequest {
    let regions = AllowedRegions::only([RegionName::from(region)]);
    SlotRequest { regions, ..request }
}

fn join(queue: &mut SlotQueue, request: &SlotRequest) -> SlotTicket {
    queue.join(request, None)
}

fn anywhere(_: &AllowedRegions) -> bool {
    true
}

/// Offers slots until the queue is empty, without releasing any, and returns the order.
fn drain(queue: &mut SlotQueue, requests: &[(SlotTicket, &SlotRequest)]) -> Vec<SlotTicket> {
    let mut order = Vec::new();
    while let Some(ticket) = queue.offer(NOW, anywhere) {
        queue.leave(ticket);
        let request = requests.iter().find(|(known, _)| *known == ticket);
        queue.record_start(&request.expect("a queued ticket").1.tenant);
        order.push(ticket);
    }
    order
}

#[test]
fn urgency_goes_before_tenant_share_and_age() {
    let mut queue = SlotQueue::default();
    let (less_urgent, urgent) = (request("calm", 5), request("flood", 0));
    queue.record_start(&urgent.tenant);
    let first = join(&mut queue, &less_urgent);
    let second = join(&mut queue, &urgent);
    let order = drain(&mut queue, &[(first, &less_urgent), (second, &urgent)]);
    assert_eq!(order, [second, first]);
}

#[test]
fn tenants_alternate_and_oldest_request_goes_first() {
    let mut queue = SlotQueue::default();
    let (flood, calm) = (request("flood", 5), request("calm", 5));
    let floods = [(); 3].map(|()| join(&mut queue, &flood));
    let calms = [(); 2].map(|()| join(&mut queue, &calm));
    let known = floods.map(|ticket| (ticket, &flood));
    let known = [&known[..], &calms.map(|ticket| (ticket, &calm))].concat();
    let order = drain(&mut queue, &known);
    assert_eq!(order, [floods[0], calms[0], floods[1], calms[1], floods[2]]);
}

#[test]
fn oldest_request_goes_first_without_tenants() {
    let mut queue = SlotQueue::default();
    let without_tenant = SlotRequest {
        tenant: None,
        ..request("-", 5)
    };
    let tickets = [(); 3].map(|()| join(&mut queue, &without_tenant));
    let known = tickets.map(|ticket| (ticket, &without_tenant));
    assert_eq!(drain(&mut queue, &known), tickets);
    assert_eq!(queue.requests_ahead(&without_tenant, None), 0);
}

#[test]
fn restricted_request_is_skipped_and_keeps_its_position() {
    let mut queue = SlotQueue::default();
    let (restricted, free) = (restricted_to("north", request("a", 0)), request("b", 5));
    let first = join(&mut queue, &restricted);
    let second = join(&mut queue, &free);
    let only_south = |regions: &AllowedRegions| regions.is_everywhere();
    assert_eq!(queue.offer(NOW, only_south), Some(second));
    assert!(queue.is_next(&free, Some(second), NOW, only_south));
    assert!(!queue.is_next(&free, Some(second), NOW, anywhere));
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
}

#[test]
fn new_request_waits_behind_equals_but_not_less_urgent() {
    let mut queue = SlotQueue::default();
    let (waiting, urgent) = (request("a", 5), request("b", 0));
    assert!(queue.is_next(&waiting, None, NOW, anywhere));
    let ticket = join(&mut queue, &waiting);
    assert!(!queue.is_next(&waiting, None, NOW, anywhere));
    assert!(queue.is_next(&urgent, None, NOW, anywhere));
    queue.leave(ticket);
    assert!(queue.is_next(&waiting, None, NOW, anywhere));
}

#[test]
fn request_that_ignores_its_offer_is_skipped() {
    let mut queue = SlotQueue::default();
    let (stalled, other) = (request("a", 0), request("b", 5));
    let first = join(&mut queue, &stalled);
    let second = join(&mut queue, &other);
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
fn requests_ahead_count_only_for_tenants_exceeding_their_share() {
    let mut queue = SlotQueue::default();
    let (flood, calm) = (request("flood", 5), request("calm", 5));
    for _ in 0..4 {
        queue.record_start(&flood.tenant);
    }
    let ticket = join(&mut queue, &flood);
    assert_eq!(queue.requests_ahead(&flood, Some(ticket)), 0);
    for _ in 0..3 {
        join(&mut queue, &calm);
    }
    assert_eq!(queue.requests_ahead(&flood, Some(ticket)), 3);
    assert_eq!(queue.requests_ahead(&flood, None), 4);
    assert_eq!(queue.requests_ahead(&calm, None), 0);
}

#[test]
fn rejoining_request_keeps_its_age() {
    let mut queue = SlotQueue::default();
    let same = request("a", 5);
    let first = join(&mut queue, &same);
    let second = join(&mut queue, &same);
    queue.leave(first);
    assert_eq!(queue.join(&same, Some(first)), first);
    let known = [(first, &same), (second, &same)];
    assert_eq!(drain(&mut queue, &known), [first, second]);
}

#[test]
fn underserved_urgency_goes_before_a_more_urgent_one() {
    let mut queue = SlotQueue::default();
    let (urgent, less_urgent) = (request("a", 0), request("a", 7));
    let first = join(&mut queue, &urgent);
    let second = join(&mut queue, &less_urgent);
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
    for _ in 0..20 {
        queue.record_outcome(urgent.urgency, true);
        queue.record_outcome(less_urgent.urgency, false);
    }
    assert_eq!(queue.offer(NOW, anywhere), Some(second));
    for _ in 0..20 {
        queue.record_outcome(less_urgent.urgency, true);
    }
    assert_eq!(queue.offer(NOW, anywhere), Some(first));
}

/// Guards against a cost per waiting request that grows with the queue length.
#[test]
fn counting_requests_ahead_is_fast_in_a_long_queue() {
    const WAITING: usize = 10_000;
    let mut queue = SlotQueue::default();
    let without_tenant = SlotRequest {
        tenant: None,
        ..request("-", 5)
    };
    let tickets: Vec<SlotTicket> = (0..WAITING)
        .map(|_| join(&mut queue, &without_tenant))
        .collect();
    let started_at = Instant::now();
    for ticket in tickets {
        assert_eq!(queue.requests_ahead(&without_tenant, Some(ticket)), 0);
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}
