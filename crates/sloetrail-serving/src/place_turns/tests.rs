//! Those that wait, and what they may do to one another.

use super::{PlaceSeeker, PlaceTurns};
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::zone_work::ZoneWork;
use serde_json::json;
use sloetrail_balance::PlaceRequest;
use sloetrail_types::{AllowedRegions, ServiceName, Timestamp, Urgency};
use std::sync::Arc;

const NOW: Timestamp = Timestamp(1_000);
/// Longer than an offer is left to the one that it was made to.
const LATER: Timestamp = Timestamp(1_016);
const URGENT: u8 = 0;
const PATIENT: u8 = 7;

/// Pools of a node that knows of no back end.
fn pools() -> Arc<ServicePools> {
    let settings = json!({
        "node": "node-1", "zone": "zone-a",
        "callers_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
    });
    let settings = ServingSettings::parse(settings.to_string().as_bytes(), 1).expect("sound");
    ServicePools::new(
        &settings,
        (None, Arc::default()),
        Arc::new(ZoneWork::default()),
        1,
    )
}

fn seeker(pools: &Arc<ServicePools>, priority: u8) -> PlaceSeeker {
    let request = PlaceRequest {
        urgency: Urgency::new(None, priority),
        tenant: None,
        regions: AllowedRegions::everywhere(),
    };
    PlaceSeeker::new(pools, &ServiceName::from("maps"), request)
}

fn anywhere(_: &AllowedRegions) -> bool {
    true
}

#[test]
fn one_that_does_not_look_holds_up_nobody_though_no_place_was_freed() {
    let pools = pools();
    let mut turns = PlaceTurns::default();
    turns.join(&seeker(&pools, URGENT));
    let mut looking = seeker(&pools, PATIENT);
    looking.ticket = Some(turns.join(&looking));
    assert!(!turns.ask_turn(&looking, NOW, anywhere));
    assert!(turns.ask_turn(&looking, LATER, anywhere));
}

#[test]
fn what_no_back_end_may_serve_does_not_put_its_kind_before_others() {
    const REQUESTS: usize = 20;
    let pools = pools();
    for _ in 0..REQUESTS {
        let urgent = Urgency::new(None, URGENT);
        pools.with_slot_queue(&ServiceName::from("maps"), |turns| {
            turns.queue.note_served(urgent, true);
        });
        drop(seeker(&pools, PATIENT));
    }
    let (urgent, patient) = (seeker(&pools, URGENT), seeker(&pools, PATIENT));
    let (offered, first) = pools.with_slot_queue(&ServiceName::from("maps"), |turns| {
        let first = turns.join(&urgent);
        turns.join(&patient);
        (turns.queue.offer(NOW, anywhere), first)
    });
    assert_eq!(offered, Some(first));
}
