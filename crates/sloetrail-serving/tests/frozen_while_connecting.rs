//! A node suspended while it connects to a back end must check the current state before it sends.

mod support;

use http::Method;
use serde_json::json;
use sloetrail_quarantine::{RequestDigest, RequestParts};
use sloetrail_serving::table::{RowAddress, Table};
use sloetrail_serving_testkit::client::{Answer, Call, batch};
use sloetrail_serving_testkit::cluster::{APPLICATION, Cluster, HOST, MODEL, MODELS, eventually};
use sloetrail_serving_testkit::congested_proxy::CongestedProxy;
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::time::Duration;
use support::{assert_each_once, items, native_cluster};

/// Zone of the node.
const OWN_ZONE: &str = "zone-a";
const OTHER_ZONE: &str = "zone-b";
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Connecting starts within this time and lasts up to 400 ms.
const CONNECT_STARTED: Duration = Duration::from_millis(200);
/// Longer than the second after which the kernel retransmits a SYN.
const FREEZE_TIME: Duration = Duration::from_millis(1_200);
const UNTIL_FROZEN: Duration = Duration::from_millis(100);
/// Time for a wrongly sent request to arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// A back end whose connections stay pending until its proxy is opened.
struct CongestedBackEnd {
    back_end: Arc<FakeEngine>,
    proxy: Arc<CongestedProxy>,
}

impl CongestedBackEnd {
    async fn start(cluster: &Cluster, service: &str, zone: &str) -> Self {
        let models: &[&str] = match service {
            MODELS => &[MODEL],
            _ => &[],
        };
        let wire = Arc::new(NativeWire);
        let back_end = FakeEngine::start(wire, service, zone, models, EVENT_INTERVAL).await;
        let proxy = CongestedProxy::start(back_end.address()).await;
        back_end.set_listed_address(proxy.address);
        cluster.list(&back_end);
        Self { back_end, proxy }
    }

    fn arrivals(&self) -> usize {
        self.back_end.arrivals().len()
    }
}

/// A change during the suspension that forbids sending to a back end.
#[derive(Clone, Copy)]
enum Change {
    Evacuated,
    Leaving,
    Gone,
    /// Three other back ends crashed while running the request.
    Quarantined,
}

impl Change {
    fn apply(self, cluster: &Cluster, back_end: &FakeEngine) {
        match self {
            Change::Evacuated => cluster.evacuate(&back_end.zone),
            Change::Leaving => {
                back_end.set_draining();
                cluster.list(back_end);
            }
            Change::Gone => cluster.unlist(back_end),
            Change::Quarantined => write_crashes(cluster),
        }
    }
}

/// Writes another node's reports that three back ends crashed while running the request.
fn write_crashes(cluster: &Cluster) {
    let digest = RequestDigest::of(RequestParts {
        tenant: b"",
        host: HOST.as_bytes(),
        method: b"POST",
        path_and_query: b"/once/x",
        body: b"question",
    });
    let at_ms = cluster.nodes[0]
        .link
        .now_ms()
        .expect("the table has answered before");
    for number in 0..3 {
        let report = json!({"crashed": {
            "service": APPLICATION, "back_end": format!("crashed-{number}"), "at_ms": at_ms,
            "requests": [digest],
        }});
        let key = format!("crash/node-2/1/{number}");
        let address = RowAddress::new("sloetrail_leases", "sloetrail", key);
        cluster.table.write(address, report.to_string());
    }
}

async fn add_node(cluster: &mut Cluster) {
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
}

/// Freezes the node while it connects, applies the change and lets the connection complete before
/// the node resumes.
async fn freeze_while_connecting(cluster: &Cluster, congested: &CongestedBackEnd, change: Change) {
    tokio::time::sleep(CONNECT_STARTED).await;
    cluster.nodes[0].freeze(FREEZE_TIME);
    tokio::time::sleep(UNTIL_FROZEN).await;
    change.apply(cluster, &congested.back_end);
    congested.proxy.open();
}

async fn send(cluster: &Cluster, path: &str, body: &'static str) -> Option<Answer> {
    let names = cluster.names();
    Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "r1")
        .header(&names.deadline_ms, "5000")
        .body(body)
        .send(cluster.nodes[0].callers)
        .await
}

/// Checks that a request is served by another zone if the change is made while the node is frozen
/// and connecting to its own zone.
async fn assert_served_by_other_zone(path: &str, body: &'static str, change: Change) {
    let mut cluster = native_cluster();
    let own = CongestedBackEnd::start(&cluster, APPLICATION, OWN_ZONE).await;
    let other = cluster.add_application(OTHER_ZONE).await;
    add_node(&mut cluster).await;
    let freezing = freeze_while_connecting(&cluster, &own, change);
    let (answer, ()) = tokio::join!(send(&cluster, path, body), freezing);
    assert_eq!(answer.expect("an answer").status, 200);
    tokio::time::sleep(ARRIVAL_TIME).await;
    assert_eq!(
        own.arrivals(),
        0,
        "sent to a back end chosen before the suspension"
    );
    assert_eq!(other.arrivals().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_sent_to_a_zone_evacuated_during_suspension() {
    assert_served_by_other_zone("/once/x", "question", Change::Evacuated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_sent_to_a_back_end_leaving_during_suspension() {
    assert_served_by_other_zone("/once/x", "question", Change::Leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_sent_to_a_back_end_removed_during_suspension() {
    assert_served_by_other_zone("/once/x", "question", Change::Gone).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_quarantined_during_suspension_are_not_sent() {
    let mut cluster = native_cluster();
    let own = CongestedBackEnd::start(&cluster, APPLICATION, OWN_ZONE).await;
    let other = cluster.add_application(OTHER_ZONE).await;
    add_node(&mut cluster).await;
    let freezing = freeze_while_connecting(&cluster, &own, Change::Quarantined);
    let (answer, ()) = tokio::join!(send(&cluster, "/once/x", "question"), freezing);
    let answer = answer.expect("an answer");
    assert_eq!(answer.json()["code"], 1111, "{}", answer.text());
    tokio::time::sleep(ARRIVAL_TIME).await;
    assert_eq!((own.arrivals(), other.arrivals().len()), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_opened_in_a_zone_evacuated_during_suspension() {
    assert_served_by_other_zone("/events/x", "events=4", Change::Evacuated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_hedged_to_a_zone_evacuated_during_suspension() {
    let mut cluster = native_cluster();
    let own = cluster.add_application(OWN_ZONE).await;
    own.set_fault(EngineFault::Silent, None);
    let other = CongestedBackEnd::start(&cluster, APPLICATION, OTHER_ZONE).await;
    add_node(&mut cluster).await;
    let freezing = async {
        let has_arrived = || async { (!own.arrivals().is_empty()).then_some(()) };
        eventually("the request has arrived", has_arrived).await;
        freeze_while_connecting(&cluster, &other, Change::Evacuated).await;
    };
    tokio::join!(send(&cluster, "/live/x", "question"), freezing);
    tokio::time::sleep(ARRIVAL_TIME).await;
    assert_eq!(
        other.arrivals(),
        0,
        "sent to a back end chosen before the suspension"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn items_are_not_run_by_an_engine_leaving_during_suspension() {
    const ITEMS: usize = 4;
    let mut cluster = native_cluster();
    let leaving = CongestedBackEnd::start(&cluster, MODELS, OWN_ZONE).await;
    add_node(&mut cluster).await;
    let work = batch(&items(ITEMS, 2), MODEL, 1);
    let answer = cluster.submit(0, "b1", &work).await;
    assert_eq!(answer.expect("an answer").status, 202);
    freeze_while_connecting(&cluster, &leaving, Change::Leaving).await;
    cluster.add_engine(EVENT_INTERVAL).await;
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    assert_eq!(
        leaving.arrivals(),
        0,
        "sent to a back end chosen before the suspension"
    );
}
