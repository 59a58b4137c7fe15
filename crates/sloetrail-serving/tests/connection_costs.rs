//! What ordinary work costs in connections to back ends, each of which costs them time.

mod support;

use futures_util::future::join_all;
use sloetrail_serving_testkit::blackhole_proxy::BlackholeProxy;
use sloetrail_serving_testkit::client::{batch, with_reward};
use sloetrail_serving_testkit::cluster::{APPLICATION, Cluster, HOST, MODEL, MODELS};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::time::Duration;
use support::{items, live, native_cluster};

/// The most requests of one node at a back end.
const AT_A_TIME: usize = 8;

/// A node, two applications and an engine, all reached through proxies that count.
struct Counted {
    cluster: Cluster,
    applications: Vec<Arc<FakeEngine>>,
    proxies: Vec<Arc<BlackholeProxy>>,
}

impl Counted {
    async fn start(pace: Duration) -> Self {
        let mut cluster = native_cluster();
        let mut proxies = Vec::new();
        let mut started = Vec::new();
        for (service, models) in [
            (APPLICATION, &[][..]),
            (APPLICATION, &[][..]),
            (MODELS, &[MODEL][..]),
        ] {
            let wire = Arc::new(NativeWire);
            let back_end = FakeEngine::start(wire, service, "zone-a", models, pace).await;
            let proxy = BlackholeProxy::start(back_end.address()).await;
            back_end.set_listed_address(proxy.address);
            cluster.list(&back_end);
            proxies.push(proxy);
            started.push(back_end);
        }
        let node = cluster.add_node("node-1").await;
        cluster.wait_ready(node).await;
        started.truncate(2);
        Self {
            cluster,
            applications: started,
            proxies,
        }
    }

    /// Makes requests at once, so that connections are kept to both applications.
    async fn use_both(&self) {
        let requests = (0..AT_A_TIME).map(|number| self.request(format!("first-{number}")));
        join_all(requests).await;
    }

    async fn request(&self, id: String) -> u16 {
        let answer = live(&self.cluster, 0, "/live/x", &id).await;
        answer.expect("an answer").status.as_u16()
    }

    /// Runs a batch whose texts are scored.
    async fn score_batch(&self, round: u64) {
        const ITEMS: usize = 32;
        let named = |mut item: serde_json::Value| {
            let own = item["id"].as_str().expect("an id").to_owned();
            item["id"] = format!("{round}-{own}").into();
            with_reward(item, HOST)
        };
        let rewarded: Vec<_> = items(ITEMS, 5).into_iter().map(named).collect();
        let id = format!("scored-{round}");
        let work = batch(&rewarded, MODEL, 1);
        let answer = self.cluster.submit(0, &id, &work).await;
        assert_eq!(answer.expect("an answer").status, 202);
        self.cluster.wait_results(0, &id, ITEMS).await;
    }

    /// Requests that reached the applications.
    fn arrivals(&self) -> usize {
        let applications = self.applications.iter();
        applications.map(|one| one.arrivals().len()).sum()
    }

    /// Requests that they ran.
    fn runs(&self) -> usize {
        self.applications.iter().map(|one| one.runs().len()).sum()
    }

    /// Connections to the applications.
    fn opened(&self) -> usize {
        let proxies = &self.proxies[..self.applications.len()];
        proxies.iter().map(|proxy| proxy.accepted()).sum()
    }
}

/// A back end that refuses has answered: nothing is silent, and the next one is asked over a
/// connection that was kept.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_back_end_refuses_open_no_connections_elsewhere() {
    const REQUESTS: usize = 30;
    let counted = Counted::start(Duration::from_millis(5)).await;
    counted.use_both().await;
    let before = counted.opened();
    let (arrived_before, ran_before) = (counted.arrivals(), counted.runs());
    for application in &counted.applications {
        application.set_fault(EngineFault::Refuses, Some(REQUESTS / 2));
    }
    for number in 0..REQUESTS {
        counted.request(format!("r{number}")).await;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let refused = counted.arrivals() - arrived_before - counted.runs() + ran_before;
    assert!(refused >= REQUESTS / 2, "{refused} tried elsewhere");
    let opened = counted.opened() - before;
    assert!(opened <= 2, "{opened} for {REQUESTS} requests");
}

/// Ordinary work costs no more connections than it needs at a time: a node has at most eight
/// requests at each back end.
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_work_opens_few_connections() {
    const BATCHES: u64 = 3;
    const REQUESTS: u64 = 100;
    let counted = Counted::start(Duration::from_millis(10)).await;
    let requests = async {
        for number in 0..REQUESTS {
            counted.request(format!("r{number}")).await;
            tokio::time::sleep(Duration::from_millis(35)).await;
        }
    };
    let batches = async {
        for round in 0..BATCHES {
            counted.score_batch(round).await;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    };
    tokio::join!(requests, batches);
    for proxy in &counted.proxies {
        let opened = proxy.accepted();
        assert!(opened <= AT_A_TIME + 1, "{opened} opened");
    }
}

/// A back end that is asked as well costs a new connection at most, and so does the one
/// whose answer is not waited for.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_back_end_costs_two_connections_at_most() {
    const REQUESTS: usize = 30;
    let counted = Counted::start(Duration::from_millis(5)).await;
    counted.use_both().await;
    let (before, ran_before) = (counted.opened(), counted.runs());
    for number in 0..REQUESTS {
        for (place, application) in counted.applications.iter().enumerate() {
            let is_slow = number % 2 == place;
            application.set_event_interval(Duration::from_millis(if is_slow { 150 } else { 5 }));
        }
        counted.request(format!("r{number}")).await;
    }
    let opened = counted.opened() - before;
    let asked_as_well = counted.runs() - ran_before - REQUESTS;
    assert!(opened <= 2 * asked_as_well, "{opened} for {asked_as_well}");
}
