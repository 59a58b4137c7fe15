//! Number of connections opened to back ends by regular requests and batches.

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

/// Maximum concurrent requests of one node at a back end.
const MAX_CONCURRENT: usize = 8;

/// A node, two applications and an engine behind proxies that count connections.
struct CountingCluster {
    cluster: Cluster,
    applications: Vec<Arc<FakeEngine>>,
    proxies: Vec<Arc<BlackholeProxy>>,
}

impl CountingCluster {
    async fn start(event_interval: Duration) -> Self {
        let mut cluster = native_cluster();
        let mut proxies = Vec::new();
        let mut started = Vec::new();
        for (service, models) in [
            (APPLICATION, &[][..]),
            (APPLICATION, &[][..]),
            (MODELS, &[MODEL][..]),
        ] {
            let wire = Arc::new(NativeWire);
            let back_end = FakeEngine::start(wire, service, "zone-a", models, event_interval).await;
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

    /// Sends concurrent requests, so that the pool has connections to both applications.
    async fn warm_up(&self) {
        let requests = (0..MAX_CONCURRENT).map(|number| self.request(format!("first-{number}")));
        join_all(requests).await;
    }

    async fn request(&self, id: String) -> u16 {
        let answer = live(&self.cluster, 0, "/live/x", &id).await;
        answer.expect("an answer").status.as_u16()
    }

    /// Runs a batch whose results are scored.
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

    /// Number of requests that reached the applications.
    fn arrivals(&self) -> usize {
        let applications = self.applications.iter();
        applications.map(|one| one.arrivals().len()).sum()
    }

    /// Number of requests that the applications ran.
    fn runs(&self) -> usize {
        self.applications.iter().map(|one| one.runs().len()).sum()
    }

    /// Number of connections opened to the applications.
    fn opened(&self) -> usize {
        let proxies = &self.proxies[..self.applications.len()];
        proxies.iter().map(|proxy| proxy.accepted()).sum()
    }
}

/// Guards against evicting idle connections because a back end refused a request.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_are_retried_over_idle_connections() {
    const REQUESTS: usize = 30;
    let cluster = CountingCluster::start(Duration::from_millis(5)).await;
    cluster.warm_up().await;
    let before = cluster.opened();
    let (arrived_before, ran_before) = (cluster.arrivals(), cluster.runs());
    for application in &cluster.applications {
        application.set_fault(EngineFault::Refuses, Some(REQUESTS / 2));
    }
    for number in 0..REQUESTS {
        cluster.request(format!("r{number}")).await;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let refused = cluster.arrivals() - arrived_before - cluster.runs() + ran_before;
    assert!(
        refused >= REQUESTS / 2,
        "{refused} of {REQUESTS} requests were refused"
    );
    let opened = cluster.opened() - before;
    assert!(
        opened <= 2,
        "{opened} connections opened for {REQUESTS} requests"
    );
}

/// Guards against opening more connections than there are concurrent requests.
#[tokio::test(flavor = "multi_thread")]
async fn regular_work_opens_few_connections() {
    const BATCHES: u64 = 3;
    const REQUESTS: u64 = 100;
    let cluster = CountingCluster::start(Duration::from_millis(10)).await;
    let requests = async {
        for number in 0..REQUESTS {
            cluster.request(format!("r{number}")).await;
            tokio::time::sleep(Duration::from_millis(35)).await;
        }
    };
    let batches = async {
        for round in 0..BATCHES {
            cluster.score_batch(round).await;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    };
    tokio::join!(requests, batches);
    for proxy in &cluster.proxies {
        let opened = proxy.accepted();
        assert!(
            opened <= MAX_CONCURRENT + 1,
            "{opened} connections opened to one back end"
        );
    }
}

/// A hedged request opens at most one new connection, and the cancelled request costs at most one
/// more.
#[tokio::test(flavor = "multi_thread")]
async fn a_hedged_request_costs_at_most_two_connections() {
    const REQUESTS: usize = 30;
    let cluster = CountingCluster::start(Duration::from_millis(5)).await;
    cluster.warm_up().await;
    let (before, ran_before) = (cluster.opened(), cluster.runs());
    for number in 0..REQUESTS {
        for (index, application) in cluster.applications.iter().enumerate() {
            let is_slow = number % 2 == index;
            application.set_event_interval(Duration::from_millis(if is_slow { 150 } else { 5 }));
        }
        cluster.request(format!("r{number}")).await;
    }
    let opened = cluster.opened() - before;
    let hedged = cluster.runs() - ran_before - REQUESTS;
    assert!(
        opened <= 2 * hedged,
        "{opened} connections opened for {hedged} hedged requests"
    );
}
