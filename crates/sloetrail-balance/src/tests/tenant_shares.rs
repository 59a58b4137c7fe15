//! The order of tenants, and when a tenant exceeds its share.

use crate::{TenantShares, WorkTenant};
use sloetrail_types::TenantName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

fn tenant(name: &str) -> WorkTenant {
    Some(TenantName::from(name))
}

fn shares(in_flight: &[(&str, usize)]) -> TenantShares {
    let mut shares = TenantShares::default();
    for (name, count) in in_flight {
        for _ in 0..*count {
            shares.record_start(&tenant(name));
        }
    }
    shares
}

#[test]
fn tenant_with_least_in_flight_goes_first() {
    let shares = shares(&[("much", 3), ("little", 1)]);
    assert!(shares.order_of(&tenant("little")) < shares.order_of(&tenant("much")));
    assert!(shares.order_of(&tenant("nothing")) < shares.order_of(&tenant("little")));
    assert!(shares.order_of(&None) < shares.order_of(&tenant("little")));
}

#[test]
fn least_recently_served_of_equal_tenants_goes_first() {
    let mut shares = shares(&[("first", 1), ("second", 1)]);
    assert!(shares.order_of(&tenant("first")) < shares.order_of(&tenant("second")));
    shares.record_end(&tenant("first"));
    shares.record_end(&tenant("second"));
    assert!(shares.order_of(&tenant("first")) < shares.order_of(&tenant("second")));
    shares.record_start(&tenant("first"));
    shares.record_end(&tenant("first"));
    assert!(shares.order_of(&tenant("second")) < shares.order_of(&tenant("first")));
}

#[test]
fn tenant_exceeds_its_share_only_beside_others() {
    let alone = shares(&[("much", 6)]);
    let (much, other) = (tenant("much"), tenant("other"));
    assert!(!alone.exceeds_share(&much, [&much].into_iter()));
    assert!(alone.exceeds_share(&much, [&much, &other].into_iter()));
    let even = shares(&[("much", 3), ("other", 3)]);
    assert!(!even.exceeds_share(&much, [&much, &other].into_iter()));
    let uneven = shares(&[("much", 4), ("other", 3)]);
    assert!(uneven.exceeds_share(&much, [].into_iter()));
    assert!(!uneven.exceeds_share(&other, [].into_iter()));
}

#[test]
fn recount_replaces_in_flight_and_keeps_last_starts() {
    let mut shares = shares(&[("first", 2), ("second", 1)]);
    let (first, second) = (tenant("first"), tenant("second"));
    shares.recount([(&second, 1), (&first, 1)].into_iter());
    assert!(shares.order_of(&first) < shares.order_of(&second));
    shares.recount([(&first, 1)].into_iter());
    assert!(shares.order_of(&second) < shares.order_of(&first));
    assert!(shares.exceeds_share(&first, [&second].into_iter()));
}

#[test]
fn end_without_start_is_ignored() {
    let mut shares = shares(&[("one", 1)]);
    shares.record_end(&tenant("other"));
    shares.record_end(&tenant("one"));
    shares.record_end(&tenant("one"));
    assert!(!shares.exceeds_share(&tenant("one"), [&tenant("other")].into_iter()));
    shares.forget_idle();
    assert_eq!(
        shares.order_of(&tenant("one")),
        shares.order_of(&tenant("other"))
    );
}

/// A tenant's items, all submitted at time zero.
struct Load {
    tenant: &'static str,
    items: usize,
    /// Time units that one item takes.
    length: usize,
}

/// Simulates a fixed number of slots and returns when each tenant's last item completed.
/// `choose` picks the tenant whose item starts in a free slot, given the items in flight by
/// tenant and the tenants with waiting items.
fn completion_times(
    loads: &[Load],
    slots: usize,
    mut choose: impl FnMut(&BTreeMap<&'static str, usize>, &[&'static str]) -> &'static str,
) -> BTreeMap<&'static str, usize> {
    let mut remaining: BTreeMap<&str, usize> =
        loads.iter().map(|load| (load.tenant, load.items)).collect();
    let lengths: BTreeMap<&str, usize> = loads
        .iter()
        .map(|load| (load.tenant, load.length))
        .collect();
    let mut running: Vec<(usize, &'static str)> = Vec::new();
    let mut completed = BTreeMap::new();
    for now in 0.. {
        for (_, tenant) in running.iter().filter(|(end, _)| *end == now) {
            completed.insert(*tenant, now);
        }
        running.retain(|(end, _)| *end > now);
        while running.len() < slots {
            let waiting: Vec<&'static str> = loads
                .iter()
                .map(|load| load.tenant)
                .filter(|tenant| remaining[tenant] > 0)
                .collect();
            if waiting.is_empty() {
                break;
            }
            let mut in_flight = BTreeMap::new();
            for (_, tenant) in &running {
                *in_flight.entry(*tenant).or_insert(0) += 1;
            }
            let tenant = choose(&in_flight, &waiting);
            *remaining.get_mut(tenant).expect("known") -= 1;
            running.push((now + lengths[tenant], tenant));
        }
        if running.is_empty() {
            return completed;
        }
    }
    completed
}

fn in_order_of_arrival(loads: &[Load], slots: usize) -> BTreeMap<&'static str, usize> {
    completion_times(loads, slots, |_, waiting| waiting[0])
}

fn least_in_flight(loads: &[Load], slots: usize) -> BTreeMap<&'static str, usize> {
    let mut shares = TenantShares::default();
    completion_times(loads, slots, |in_flight, waiting| {
        let counts: Vec<(WorkTenant, usize)> = in_flight
            .iter()
            .map(|(name, count)| (tenant(name), *count))
            .collect();
        shares.recount(counts.iter().map(|(tenant, count)| (tenant, *count)));
        let chosen = waiting
            .iter()
            .min_by_key(|name| shares.order_of(&tenant(name)));
        let chosen = *chosen.expect("a waiting tenant");
        shares.record_start(&tenant(chosen));
        chosen
    })
}

/// Deficit round robin with a quantum of one item of unknown length.
fn round_robin(loads: &[Load], slots: usize) -> BTreeMap<&'static str, usize> {
    let mut order: VecDeque<&'static str> = loads.iter().map(|load| load.tenant).collect();
    completion_times(loads, slots, |_, waiting| {
        loop {
            let next = order.pop_front().expect("a tenant");
            order.push_back(next);
            if waiting.contains(&next) {
                return next;
            }
        }
    })
}

/// Guards against one tenant's many or long items delaying another tenant.
#[test]
fn least_in_flight_order_limits_delay_by_other_tenants() {
    let flood = |length| {
        let flood = Load {
            tenant: "flood",
            items: 400,
            length,
        };
        [
            flood,
            Load {
                tenant: "other",
                items: 40,
                length: 2,
            },
        ]
    };
    let even = flood(2);
    let (arrival, least) = (in_order_of_arrival(&even, 8), least_in_flight(&even, 8));
    assert_eq!((arrival["other"], least["other"]), (110, 20));
    assert_eq!(round_robin(&even, 8)["other"], 20);
    let (arrival, least) = (arrival["flood"], least["flood"]);
    assert_eq!((arrival, least), (100, 110));
    let long = flood(10);
    let (least, rotated) = (least_in_flight(&long, 8), round_robin(&long, 8));
    assert_eq!((least["other"], rotated["other"]), (20, 58));
}

/// Guards against a tenant whose texts are long having most of the engine time, and against a
/// lasting debt for it.
#[test]
fn engine_time_orders_tenants_and_is_forgotten() {
    let mut shares = TenantShares::default();
    let (much, little) = (tenant("much"), tenant("little"));
    let used = [
        (&much, Duration::from_secs(8)),
        (&little, Duration::from_secs(1)),
    ];
    shares.record_engine_time(Duration::ZERO, used.into_iter());
    let order =
        |shares: &TenantShares, tenant| shares.order_by_engine_time(tenant, Duration::from_secs(2));
    assert!(order(&shares, &little) < order(&shares, &much));
    for _ in 0..3 {
        shares.record_start(&little);
    }
    assert!(order(&shares, &little) < order(&shares, &much));
    shares.record_start(&little);
    assert!(
        order(&shares, &much) < order(&shares, &little),
        "work in flight counts"
    );
    shares.recount(std::iter::empty());
    shares.record_engine_time(Duration::from_secs(30), std::iter::empty());
    let now = [(&little, Duration::from_millis(1_500))];
    shares.record_engine_time(Duration::ZERO, now.into_iter());
    assert!(
        order(&shares, &much) < order(&shares, &little),
        "earlier use decays"
    );
    shares.record_engine_time(Duration::from_secs(3_600), std::iter::empty());
    assert_eq!(order(&shares, &much), order(&shares, &tenant("unknown")));
}

/// Guards against a change of the order of live requests and of batches without triage.
#[test]
fn engine_time_does_not_change_the_order_by_work_in_flight() {
    let mut shares = shares(&[("much", 2), ("little", 1)]);
    let little = tenant("little");
    let used = [(&little, Duration::from_secs(1_000))];
    shares.record_engine_time(Duration::ZERO, used.into_iter());
    assert!(shares.order_of(&little) < shares.order_of(&tenant("much")));
}
