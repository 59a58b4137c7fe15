//! A node that stands still while it opens a connection to a back end: on waking it sends
//! nothing there that its beliefs of after the pause forbid.

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

/// The zone of the node.
const OWN: &str = "zone-a";
const OTHER: &str = "zone-b";
const PACE: Duration = Duration::from_millis(5);
/// Connecting begins within this time and is under way for 400 ms.
const CONNECTING: Duration = Duration::from_millis(200);
/// Longer than the second after which the kernel tries to connect once more.
const FROZEN: Duration = Duration::from_millis(1_200);
const STANDS_STILL: Duration = Duration::from_millis(100);
/// Time for what was wrongly sent to arrive.
const ARRIVES: Duration = Duration::from_millis(200);

/// A back end to which connecting takes until it is let through.
struct Congested {
    back_end: Arc<FakeEngine>,
    proxy: Arc<CongestedProxy>,
}

impl Congested {
    async fn start(cluster: &Cluster, service: &str, zone: &str) -> Self {
        let models: &[&str] = match service {
            MODELS => &[MODEL],
            _ => &[],
        };
        let wire = Arc::new(NativeWire);
        let back_end = FakeEngine::start(wire, service, zone, models, PACE).await;
        let proxy = CongestedProxy::start(back_end.address()).await;
        back_end.set_listed_address(proxy.address);
        cluster.list(&back_end);
        Self { back_end, proxy }
    }

    fn arrivals(&self) -> usize {
        self.back_end.arrivals().len()
    }
}

/// What forbids sending to a back end while the node stands still.
#[derive(Clone, Copy)]
enum Change {
    Evacuated,
    Leaving,
    Gone,
    /// Three other back ends crashed under the request.
    CrashesUnderIt,
}

impl Change {
    fn make(self, cluster: &Cluster, back_end: &FakeEngine) {
        match self {
            Change::Evacuated => cluster.evacuate(&back_end.zone),
            Change::Leaving => {
                back_end.set_draining();
                cluster.list(back_end);
            }
            Change::Gone => cluster.unlist(back_end),
            Change::CrashesUnderIt => write_crashes(cluster),
        }
    }
}

/// Writes what another node has found: three back ends crashed under the usual request.
fn write_crashes(cluster: &Cluster) {
    let digest = RequestDigest::of(RequestParts {
        tenant: b"",
        host: HOST.as_bytes(),
        method: b"POST",
        path_and_query: b"/once/x",
        body: b"question",
    });
    let at_ms = cluster.nodes[0].link.now_ms().expect("it was asked before");
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

/// Freezes the node while it connects, makes a change meanwhile and lets the connection come
/// about before the node wakes.
async fn freeze_while_connecting(cluster: &Cluster, congested: &Congested, change: Change) {
    tokio::time::sleep(CONNECTING).await;
    cluster.nodes[0].freeze(FROZEN);
    tokio::time::sleep(STANDS_STILL).await;
    change.make(cluster, &congested.back_end);
    congested.proxy.open();
}

async fn ask(cluster: &Cluster, path: &str, body: &'static str) -> Option<Answer> {
    let names = cluster.names();
    Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "r1")
        .header(&names.deadline_ms, "5000")
        .body(body)
        .send(cluster.nodes[0].callers)
        .await
}

/// Sends a request for which the node connects to its own zone when it freezes. Nothing may
/// arrive there; another zone serves the request.
async fn is_served_elsewhere(path: &str, body: &'static str, change: Change) {
    let mut cluster = native_cluster();
    let own = Congested::start(&cluster, APPLICATION, OWN).await;
    let other = cluster.add_application(OTHER).await;
    add_node(&mut cluster).await;
    let freezing = freeze_while_connecting(&cluster, &own, change);
    let (answer, ()) = tokio::join!(ask(&cluster, path, body), freezing);
    assert_eq!(answer.expect("an answer").status, 200);
    tokio::time::sleep(ARRIVES).await;
    assert_eq!(own.arrivals(), 0, "chosen before the pause");
    assert_eq!(other.arrivals().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_to_a_zone_evacuated_meanwhile() {
    is_served_elsewhere("/once/x", "question", Change::Evacuated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_to_a_back_end_that_leaves_meanwhile() {
    is_served_elsewhere("/once/x", "question", Change::Leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_to_a_back_end_that_is_gone_meanwhile() {
    is_served_elsewhere("/once/x", "question", Change::Gone).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_which_back_ends_crash_meanwhile_is_not_sent() {
    let mut cluster = native_cluster();
    let own = Congested::start(&cluster, APPLICATION, OWN).await;
    let other = cluster.add_application(OTHER).await;
    add_node(&mut cluster).await;
    let freezing = freeze_while_connecting(&cluster, &own, Change::CrashesUnderIt);
    let (answer, ()) = tokio::join!(ask(&cluster, "/once/x", "question"), freezing);
    let answer = answer.expect("an answer");
    assert_eq!(answer.json()["code"], 1111, "{}", answer.text());
    tokio::time::sleep(ARRIVES).await;
    assert_eq!((own.arrivals(), other.arrivals().len()), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_is_not_opened_in_a_zone_evacuated_meanwhile() {
    is_served_elsewhere("/events/x", "events=4", Change::Evacuated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_back_end_is_not_asked_in_a_zone_evacuated_meanwhile() {
    let mut cluster = native_cluster();
    let own = cluster.add_application(OWN).await;
    own.set_fault(EngineFault::Silent, None);
    let other = Congested::start(&cluster, APPLICATION, OTHER).await;
    add_node(&mut cluster).await;
    let freezing = async {
        let has_come = || async { (!own.arrivals().is_empty()).then_some(()) };
        eventually("the request has come", has_come).await;
        freeze_while_connecting(&cluster, &other, Change::Evacuated).await;
    };
    tokio::join!(ask(&cluster, "/live/x", "question"), freezing);
    tokio::time::sleep(ARRIVES).await;
    assert_eq!(other.arrivals(), 0, "chosen before the pause");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_not_run_by_an_engine_that_leaves_meanwhile() {
    const ITEMS: usize = 4;
    let mut cluster = native_cluster();
    let leaving = Congested::start(&cluster, MODELS, OWN).await;
    add_node(&mut cluster).await;
    let work = batch(&items(ITEMS, 2), MODEL, 1);
    let answer = cluster.submit(0, "b1", &work).await;
    assert_eq!(answer.expect("an answer").status, 202);
    freeze_while_connecting(&cluster, &leaving, Change::Leaving).await;
    cluster.add_engine(PACE).await;
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    assert_eq!(leaving.arrivals(), 0, "chosen before the pause");
}
