//! A stopping node and requests whose callers have gone.

use sloetrail_config::Bounds;
use sloetrail_history::EventBody;
use sloetrail_lab::fleet::{LocalFleet, Profile, ProfileName};
use sloetrail_lab::history_log::HistoryLog;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
/// Longer than a stop takes that waits for nothing, shorter than the deadline.
const SERVICE_TIME: Duration = Duration::from_millis(2_500);

async fn fleet() -> LocalFleet {
    let profile = Profile::of(ProfileName::Maelir);
    let history = HistoryLog::in_memory();
    let started = LocalFleet::start_adjusted(profile.clone(), history, 1, |settings| {
        settings.service_time = SERVICE_TIME;
    });
    let mut fleet = started.await.expect("the fleet starts");
    for zone in profile.zones.clone() {
        let added = fleet.add_node(zone, Bounds::default()).await;
        added.expect("the node starts");
    }
    assert!(fleet.apply_profile().await, "the apply is accepted");
    fleet
}

fn count(fleet: &LocalFleet, wanted: fn(&EventBody) -> bool) -> usize {
    let events = fleet.history.events();
    events.iter().filter(|event| wanted(&event.body)).count()
}

fn starts(body: &EventBody) -> bool {
    matches!(body, EventBody::RunStarted { key: Some(key), .. } if key == "reading")
}

fn ends(body: &EventBody) -> bool {
    matches!(body, EventBody::RunEnded { .. })
}

#[tokio::test]
async fn a_stop_waits_for_a_keyed_request_whose_caller_has_hung_up() {
    let mut fleet = fleet().await;
    let node = fleet.nodes()[0].id().clone();
    let address = fleet.nodes()[0].http_address();
    let request = "POST /services/route-api/app/readings HTTP/1.1\r\nhost: node\r\n\
        idempotency-key: reading\r\ncontent-length: 2\r\n\r\n{}";
    let deadline = Instant::now() + WAIT;
    // Until the node is ready it refuses, and the reading is sent again.
    while count(&fleet, starts) == 0 {
        assert!(Instant::now() < deadline, "the request starts in time");
        let mut caller = TcpStream::connect(address).await.expect("accepted");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let sent = Instant::now();
        while count(&fleet, starts) == 0 && sent.elapsed() < Duration::from_millis(500) {
            tokio::time::sleep(POLL).await;
        }
        // The caller hangs up here.
    }
    fleet.stop_node(&node).await;
    assert_eq!(count(&fleet, starts), 1);
    assert_eq!(count(&fleet, ends), 1, "the stop waited for the run's end");
    fleet.stop().await;
}
