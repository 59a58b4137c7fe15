//! Which tenant's turn it is, and when one has more than its share.

use crate::{TenantShares, WorkTenant};
use sloetrail_types::TenantName;
use std::collections::{BTreeMap, VecDeque};

fn tenant(name: &str) -> WorkTenant {
    Some(TenantName::from(name))
}

fn shares(under_way: &[(&str, usize)]) -> TenantShares {
    let mut shares = TenantShares::default();
    for (name, count) in under_way {
        for _ in 0..*count {
            shares.record_start(&tenant(name));
        }
    }
    shares
}

#[test]
fn the_tenant_with_the_least_under_way_goes_first() {
    let shares = shares(&[("much", 3), ("little", 1)]);
    assert!(shares.turn(&tenant("little")) < shares.turn(&tenant("much")));
    assert!(shares.turn(&tenant("nothing")) < shares.turn(&tenant("little")));
    assert!(shares.turn(&None) < shares.turn(&tenant("little")));
}

#[test]
fn of_tenants_with_as_much_under_way_the_one_served_longest_ago_goes_first() {
    let mut shares = shares(&[("first", 1), ("second", 1)]);
    assert!(shares.turn(&tenant("first")) < shares.turn(&tenant("second")));
    shares.record_end(&tenant("first"));
    shares.record_end(&tenant("second"));
    assert!(shares.turn(&tenant("first")) < shares.turn(&tenant("second")));
    shares.record_start(&tenant("first"));
    shares.record_end(&tenant("first"));
    assert!(shares.turn(&tenant("second")) < shares.turn(&tenant("first")));
}

#[test]
fn a_tenant_is_beyond_its_share_only_beside_others() {
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
fn a_recount_replaces_what_is_under_way_and_keeps_the_last_starts() {
    let mut shares = shares(&[("first", 2), ("second", 1)]);
    let (first, second) = (tenant("first"), tenant("second"));
    shares.recount([(&second, 1), (&first, 1)].into_iter());
    assert!(shares.turn(&first) < shares.turn(&second));
    shares.recount([(&first, 1)].into_iter());
    assert!(shares.turn(&second) < shares.turn(&first));
    assert!(shares.exceeds_share(&first, [&second].into_iter()));
}

#[test]
fn an_end_that_has_no_start_counts_for_nothing() {
    let mut shares = shares(&[("one", 1)]);
    shares.record_end(&tenant("other"));
    shares.record_end(&tenant("one"));
    shares.record_end(&tenant("one"));
    assert!(!shares.exceeds_share(&tenant("one"), [&tenant("other")].into_iter()));
    shares.forget_idle();
    assert_eq!(shares.turn(&tenant("one")), shares.turn(&tenant("other")));
}

/// Items of one length each at a fixed number of places, in rounds of one unit of time.
struct Load {
    tenant: &'static str,
    items: usize,
    /// How long one item takes.
    length: usize,
}

/// The time at which each tenant's last item ends if `choose` names the tenant whose item is
/// started each time that a place is free.
fn ends(
    loads: &[Load],
    places: usize,
    mut choose: impl FnMut(&BTreeMap<&'static str, usize>, &[&'static str]) -> &'static str,
) -> BTreeMap<&'static str, usize> {
    let mut left: BTreeMap<&str, usize> =
        loads.iter().map(|load| (load.tenant, load.items)).collect();
    let lengths: BTreeMap<&str, usize> = loads
        .iter()
        .map(|load| (load.tenant, load.length))
        .collect();
    let mut running: Vec<(usize, &'static str)> = Vec::new();
    let mut ends = BTreeMap::new();
    for now in 0.. {
        for (_, tenant) in running.iter().filter(|(end, _)| *end == now) {
            ends.insert(*tenant, now);
        }
        running.retain(|(end, _)| *end > now);
        while running.len() < places {
            let waiting: Vec<&'static str> = loads
                .iter()
                .map(|load| load.tenant)
                .filter(|tenant| left[tenant] > 0)
                .collect();
            if waiting.is_empty() {
                break;
            }
            let mut under_way = BTreeMap::new();
            for (_, tenant) in &running {
                *under_way.entry(*tenant).or_insert(0) += 1;
            }
            let tenant = choose(&under_way, &waiting);
            *left.get_mut(tenant).expect("known") -= 1;
            running.push((now + lengths[tenant], tenant));
        }
        if running.is_empty() {
            return ends;
        }
    }
    ends
}

fn in_order_of_arrival(loads: &[Load], places: usize) -> BTreeMap<&'static str, usize> {
    ends(loads, places, |_, waiting| waiting[0])
}

fn least_under_way(loads: &[Load], places: usize) -> BTreeMap<&'static str, usize> {
    let mut shares = TenantShares::default();
    ends(loads, places, |under_way, waiting| {
        let owners: Vec<(WorkTenant, usize)> = under_way
            .iter()
            .map(|(name, count)| (tenant(name), *count))
            .collect();
        shares.recount(owners.iter().map(|(owner, count)| (owner, *count)));
        let chosen = waiting.iter().min_by_key(|name| shares.turn(&tenant(name)));
        let chosen = *chosen.expect("one waits");
        shares.record_start(&tenant(chosen));
        chosen
    })
}

/// Deficit round robin with a quantum of one item, whose length is not known beforehand.
fn in_rounds(loads: &[Load], places: usize) -> BTreeMap<&'static str, usize> {
    let mut order: VecDeque<&'static str> = loads.iter().map(|load| load.tenant).collect();
    ends(loads, places, |_, waiting| {
        loop {
            let next = order.pop_front().expect("a tenant");
            order.push_back(next);
            if waiting.contains(&next) {
                return next;
            }
        }
    })
}

#[test]
fn a_flood_of_items_delays_another_tenant_least_where_the_least_under_way_goes_first() {
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
    let (arrival, least) = (in_order_of_arrival(&even, 8), least_under_way(&even, 8));
    assert_eq!((arrival["other"], least["other"]), (110, 20));
    assert_eq!(in_rounds(&even, 8)["other"], 20);
    let (arrival, least) = (arrival["flood"], least["flood"]);
    assert_eq!((arrival, least), (100, 110));
    let long = flood(10);
    let (least, rounds) = (least_under_way(&long, 8), in_rounds(&long, 8));
    assert_eq!((least["other"], rounds["other"]), (20, 58));
}
