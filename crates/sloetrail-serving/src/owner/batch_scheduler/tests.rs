use super::{BatchScheduler, StartOutcome, StartsSinceLate, TurnRule};
use sloetrail_balance::TenantShares;
use sloetrail_batch::{BatchHeader, BatchId, DispatchClass};
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
    BatchScheduler::new(shares, TurnRule::ItemsInFlight, ids.iter().zip(headers)).run(|id| {
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
    BatchScheduler::new(&mut shares, TurnRule::ItemsInFlight, batches).run(|_| {
        checks += 1;
        false
    });
    let elapsed = started_at.elapsed();
    assert_eq!(checks, BATCHES);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

const BY_ENGINE_TIME: TurnRule = TurnRule::EngineTime {
    run_time: Duration::from_secs(1),
};

/// The batches and classes whose items start, in order, when `slots` are free. Each batch has
/// items in time and late ones.
fn order_by_class(
    shares: &mut TenantShares,
    starts_since_late: &mut StartsSinceLate,
    batches: &[(&str, BatchHeader, [usize; 2])],
    slots: usize,
) -> Vec<(String, DispatchClass)> {
    let ids: Vec<BatchId> = batches.iter().map(|(id, _, _)| (*id).into()).collect();
    let mut remaining: BTreeMap<(BatchId, DispatchClass), usize> = BTreeMap::new();
    for (id, _, [in_time, late]) in batches {
        remaining.insert((id.to_string(), DispatchClass::InTime), *in_time);
        remaining.insert((id.to_string(), DispatchClass::Late), *late);
    }
    let mut started = Vec::new();
    let headers = ids.iter().zip(batches.iter().map(|(_, header, _)| header));
    let scheduler = BatchScheduler::new(shares, BY_ENGINE_TIME, headers);
    scheduler.run_by_class(starts_since_late, |id, class| {
        let Some(items) = remaining.get_mut(&(id.clone(), class)) else {
            return StartOutcome::NoItem;
        };
        if *items == 0 {
            return StartOutcome::NoItem;
        }
        if started.len() == slots {
            return StartOutcome::NoRoom;
        }
        *items -= 1;
        started.push((id.clone(), class));
        StartOutcome::Started
    });
    started
}

fn late_starts(started: &[(String, DispatchClass)]) -> Vec<usize> {
    let positions = started.iter().enumerate();
    let late = positions.filter(|(_, (_, class))| *class == DispatchClass::Late);
    late.map(|(position, _)| position).collect()
}

/// Guards against late groups that wait until no other work is left, also if single slots become
/// free at different times.
#[test]
fn one_start_in_eight_goes_to_a_late_group() {
    let batches = [("a", header("one", 5, 1), [100, 100])];
    let mut shares = TenantShares::default();
    let started = order_by_class(&mut shares, &mut BTreeMap::new(), &batches, 24);
    assert_eq!(late_starts(&started), [7, 15, 23]);
    let mut since_late = BTreeMap::new();
    let mut started = Vec::new();
    for _ in 0..24 {
        started.extend(order_by_class(&mut shares, &mut since_late, &batches, 1));
    }
    assert_eq!(late_starts(&started), [7, 15, 23]);
}

/// Guards against late groups of an urgent batch that wait behind less urgent ones.
#[test]
fn classes_of_an_urgency_go_before_the_next_urgency() {
    let batches = [
        ("patient", header("one", 5, 1), [4, 4]),
        ("urgent", header("one", 0, 2), [1, 2]),
    ];
    let mut shares = TenantShares::default();
    let started = order_by_class(&mut shares, &mut BTreeMap::new(), &batches, 4);
    let ids: Vec<&str> = started.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["urgent", "urgent", "urgent", "patient"]);
}

/// Guards against a tenant with long texts that has as many items in flight as others, and so
/// most of the engine time.
#[test]
fn tenants_take_turns_by_engine_time_under_triage() {
    let batches = [
        ("long", header("long", 5, 1), [20, 0]),
        ("short", header("short", 5, 2), [20, 0]),
    ];
    let mut shares = TenantShares::default();
    let long = Some(TenantName::from("long"));
    shares.record_engine_time(
        Duration::ZERO,
        [(&long, Duration::from_secs(4))].into_iter(),
    );
    let started = order_by_class(&mut shares, &mut BTreeMap::new(), &batches, 8);
    let of_short = started.iter().filter(|(id, _)| id == "short").count();
    assert_eq!(of_short, 6, "{started:?}");
}

#[test]
fn batches_of_a_tenant_start_in_order_of_due_time_under_triage() {
    let mut early = header("one", 5, 4);
    early.run_target = TimeSpan::from_millis(9_000);
    let mut due_first = header("one", 5, 9);
    due_first.run_target = TimeSpan::from_millis(2_000);
    let batches = [("early", early, [2, 0]), ("due-first", due_first, [2, 0])];
    let mut shares = TenantShares::default();
    let started = order_by_class(&mut shares, &mut BTreeMap::new(), &batches, 4);
    let ids: Vec<&str> = started.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["due-first", "due-first", "early", "early"]);
}

/// Guards against a search for an engine for each class of a batch that none has room for.
#[test]
fn batch_without_room_is_tried_once() {
    let batches = [("a", header("one", 5, 1)), ("b", header("one", 5, 2))];
    let ids = batches.iter().map(|(id, _)| id.to_string());
    let ids: Vec<BatchId> = ids.collect();
    let mut shares = TenantShares::default();
    let headers = ids.iter().zip(batches.iter().map(|(_, header)| header));
    let mut tried = Vec::new();
    BatchScheduler::new(&mut shares, BY_ENGINE_TIME, headers).run_by_class(
        &mut BTreeMap::new(),
        |id, _| {
            tried.push(id.clone());
            StartOutcome::NoRoom
        },
    );
    assert_eq!(tried, ["a", "b"]);
}
