use super::BatchScheduler;
use sloetrail_balance::TenantShares;
use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::{
    AllowedRegions, ServiceName, TenantName, TimeSpan, Timestamp, WeightVersion,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn header(tenant: &str, priority: u8, accepted_at_ms: u64) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at: Timestamp(accepted_at_ms),
        max_attempts: 1,
        retention: TimeSpan::default(),
        single_version: false,
        run_target: TimeSpan::default(),
        priority,
        tenant: Some(TenantName::from(tenant)),
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    }
}

/// The batches whose items start, in order, when `slots` are free.
fn order(
    shares: &mut TenantShares,
    batches: &[(&str, BatchHeader, usize)],
    slots: usize,
) -> Vec<String> {
    let ids: Vec<BatchId> = batches.iter().map(|(id, _, _)| (*id).into()).collect();
    let mut remaining: BTreeMap<&str, usize> =
        batches.iter().map(|(id, _, items)| (*id, *items)).collect();
    let mut started = Vec::new();
    let headers = batches.iter().map(|(_, header, _)| header);
    BatchScheduler::new(shares, ids.iter().zip(headers)).run(|id| {
        let items = remaining.get_mut(id.as_str()).expect("known");
        if *items == 0 || started.len() == slots {
            return false;
        }
        *items -= 1;
        started.push(id.to_string());
        true
    });
    started
}

#[test]
fn tenants_take_turns_despite_one_long_queue() {
    let batches = [
        ("flood-1", header("flood", 5, 1), 10),
        ("flood-2", header("flood", 5, 2), 10),
        ("other", header("other", 5, 3), 2),
    ];
    let order = order(&mut TenantShares::default(), &batches, 6);
    let expected = ["flood-1", "other", "flood-1", "other", "flood-1", "flood-1"];
    assert_eq!(order, expected);
}

#[test]
fn batches_of_a_tenant_start_in_acceptance_order() {
    let batches = [
        ("a-late", header("one", 5, 9), 2),
        ("b-early", header("one", 5, 4), 2),
    ];
    let order = order(&mut TenantShares::default(), &batches, 4);
    assert_eq!(order, ["b-early", "b-early", "a-late", "a-late"]);
}

#[test]
fn urgent_batch_starts_first_despite_busy_tenant() {
    let mut shares = TenantShares::default();
    let busy = Some(TenantName::from("busy"));
    shares.recount([(&busy, 6)].into_iter());
    let batches = [
        ("patient", header("idle", 5, 1), 2),
        ("urgent", header("busy", 0, 2), 2),
    ];
    let order = order(&mut shares, &batches, 3);
    assert_eq!(order, ["urgent", "urgent", "patient"]);
}

#[test]
fn single_slot_alternates_between_tenants() {
    let batches = [
        ("flood", header("flood", 5, 1), 10),
        ("other", header("other", 5, 2), 10),
    ];
    let mut shares = TenantShares::default();
    let mut started = Vec::new();
    for _ in 0..4 {
        shares.recount(std::iter::empty());
        started.extend(order(&mut shares, &batches, 1));
    }
    assert_eq!(started, ["flood", "other", "flood", "other"]);
}

#[test]
fn batches_without_items_are_checked_once() {
    const BATCHES: u64 = 10_000;
    let tenants = ["one", "two", "three"].iter().cycle();
    let batches = (0..BATCHES).zip(tenants);
    let headers: Vec<(BatchId, BatchHeader)> = batches
        .map(|(number, tenant)| (number.to_string(), header(tenant, 5, number)))
        .collect();
    let mut shares = TenantShares::default();
    let started_at = Instant::now();
    let mut checks = 0;
    let batches = headers.iter().map(|(id, header)| (id, header));
    BatchScheduler::new(&mut shares, batches).run(|_| {
        checks += 1;
        false
    });
    let elapsed = started_at.elapsed();
    assert_eq!(checks, BATCHES);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}
