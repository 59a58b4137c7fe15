use super::{ServiceSlotQueue, SlotWaiter};
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::zone_work::ZoneWork;
use serde_json::json;
use sloetrail_balance::SlotRequest;
use sloetrail_types::{AllowedRegions, ServiceName, Timestamp, Urgency};
use std::sync::Arc;

const NOW: Timestamp = Timestamp(1_000);
/// After the offer made at `NOW` has expired.
const LATER: Timestamp = Timestamp(1_016);
const HIGH_PRIORITY: u8 = 0;
const LOW_PRIORITY: u8 = 7;

/// Pools of a node without back ends.
fn pools() -> Arc<ServicePools> {
    let settings = json!({
        "node": "node-1", "zone": "zone-a",
        "callers_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
    });
    let settings = ServingSettings::parse(settings.to_string().as_bytes(), 1).expect("valid");
    ServicePools::new(
        &settings,
        (None, Arc::default()),
        Arc::new(ZoneWork::default()),
        1,
    )
}

fn waiter(pools: &Arc<ServicePools>, priority: u8) -> SlotWaiter {
    let request = SlotRequest {
        urgency: Urgency::new(None, priority),
        tenant: None,
        regions: AllowedRegions::everywhere(),
    };
    SlotWaiter::new(pools, &ServiceName::from("maps"), request)
}

fn anywhere(_: &AllowedRegions) -> bool {
    true
}

#[test]
fn waiters_that_ignore_an_offer_are_skipped() {
    let pools = pools();
    let mut queue = ServiceSlotQueue::default();
    queue.join(&waiter(&pools, HIGH_PRIORITY));
    let mut other = waiter(&pools, LOW_PRIORITY);
    other.ticket = Some(queue.join(&other));
    assert!(!queue.check_turn(&other, NOW, anywhere));
    assert!(queue.check_turn(&other, LATER, anywhere));
}

#[test]
fn unservable_requests_do_not_raise_their_priority() {
    const REQUESTS: usize = 20;
    let pools = pools();
    for _ in 0..REQUESTS {
        let high = Urgency::new(None, HIGH_PRIORITY);
        pools.with_slot_queue(&ServiceName::from("maps"), |queue| {
            queue.queue.record_outcome(high, true);
        });
        drop(waiter(&pools, LOW_PRIORITY));
    }
    let (high, low) = (waiter(&pools, HIGH_PRIORITY), waiter(&pools, LOW_PRIORITY));
    let (offered, first) = pools.with_slot_queue(&ServiceName::from("maps"), |queue| {
        let first = queue.join(&high);
        queue.join(&low);
        (queue.queue.offer(NOW, anywhere), first)
    });
    assert_eq!(offered, Some(first));
}
