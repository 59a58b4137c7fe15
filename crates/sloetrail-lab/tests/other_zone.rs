//! Requests of a zone that has no engine for them.

use http::{Request, StatusCode};
use http_body_util::Full;
use sloetrail_clients::HttpClient;
use sloetrail_config::Bounds;
use sloetrail_lab::fleet::{LocalFleet, Profile, ProfileName};
use sloetrail_lab::history_log::HistoryLog;
use std::time::Duration;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
const BODY_LIMIT_BYTES: usize = 4_096;

#[tokio::test]
async fn a_request_of_the_largest_size_goes_through_another_zone() {
    let mut profile = Profile::of(ProfileName::Maelir);
    profile.model.count = 0;
    profile.application.count = 0;
    let history = HistoryLog::in_memory();
    let mut fleet = LocalFleet::start(profile.clone(), history, 1)
        .await
        .expect("the fleet starts");
    let bounds = Bounds {
        body_limit_bytes: BODY_LIMIT_BYTES,
        ..Bounds::default()
    };
    for zone in profile.zones.clone() {
        let added = fleet.add_node(zone, bounds.clone()).await;
        added.expect("the node starts");
    }
    let far_zone = profile.zones[1].clone();
    let added = fleet.add_engine(&profile.application, far_zone).await;
    added.expect("the back end starts");
    let http = HttpClient::new();
    let node = fleet.nodes()[0].http_address();
    assert!(fleet.apply_profile().await, "the apply is accepted");

    let body = bytes::Bytes::from(vec![b'x'; BODY_LIMIT_BYTES]);
    let deadline = Instant::now() + WAIT;
    loop {
        let request = Request::post(format!("http://{node}/services/route-api/app/photos"))
            .body(Full::new(body.clone()))
            .expect("sound");
        let answer = http.fetch(request, Duration::from_secs(5), 65_536).await;
        let answer = answer.expect("the node answers");
        if answer.status == StatusCode::OK {
            break;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains("not_run"), "until it is there: {text}");
        assert!(Instant::now() < deadline, "in time: {text}");
        tokio::time::sleep(POLL).await;
    }
    fleet.stop().await;
}
