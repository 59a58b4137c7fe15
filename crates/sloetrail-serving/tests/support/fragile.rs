//! A cluster whose back ends crash under one request and are replaced.

use super::native_cluster;
use http::Method;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually};
use sloetrail_serving_testkit::engine::FakeEngine;
use std::sync::Arc;
use std::time::Duration;

/// The body of the request under which back ends crash.
pub const LETHAL: &str = "a reading that ends its server";
/// Back ends that one request may crash: it is quarantined after the third, and one more attempt
/// may be in flight then.
pub const MAX_CRASHES: usize = 4;

/// A cluster whose applications crash under one request.
pub struct FragileCluster {
    pub cluster: Cluster,
    /// The software version of applications that are started from now on.
    pub software: &'static str,
    replaced: usize,
}

impl FragileCluster {
    /// Starts a cluster of `nodes` nodes and four applications.
    pub async fn start(nodes: usize) -> Self {
        Self::with_cluster(native_cluster(), nodes).await
    }

    /// Adds nodes and four applications to an existing cluster.
    pub async fn with_cluster(cluster: Cluster, nodes: usize) -> Self {
        let mut fragile = Self {
            cluster,
            software: "v1",
            replaced: 0,
        };
        for _ in 0..4 {
            fragile.add_application().await;
        }
        for number in 1..=nodes {
            fragile.add_node(&format!("node-{number}")).await;
        }
        fragile
    }

    /// Adds a node and waits until it is ready.
    pub async fn add_node(&mut self, name: &str) -> usize {
        let node = self.cluster.add_node(name).await;
        self.cluster.wait_ready(node).await;
        node
    }

    async fn add_application(&mut self) {
        let application = self.cluster.add_application("zone-a").await;
        application.set_software(self.software);
        application.set_crash_body(LETHAL);
        self.cluster.list(&application);
    }

    pub async fn send_request(&self, node: usize, path: &str, id: &str, body: &str) -> Answer {
        let answer = self.start_request(node, path, id, body).await;
        answer.expect("an answer")
    }

    /// Returns a future that sends a request to a node. None if no answer comes.
    pub fn start_request(
        &self,
        node: usize,
        path: &str,
        id: &str,
        body: &str,
    ) -> impl Future<Output = Option<Answer>> + Send + use<> {
        let names = self.cluster.names();
        let call = Call::new(Method::POST, HOST, path)
            .header(&names.request_id, id)
            .header(&names.deadline_ms, "1500")
            .body(body.to_owned());
        let address = self.cluster.nodes[node].callers;
        async move { call.send(address).await }
    }

    /// Sends the lethal request to the nodes in turn until it has crashed three back ends,
    /// and replaces each.
    pub async fn crash_three(&mut self, path: &str) {
        let nodes = self.cluster.nodes.len();
        for number in 0..6 {
            if self.crash_count() >= 3 {
                return;
            }
            let id = format!("first-{number}");
            self.send_request(number % nodes, path, &id, LETHAL).await;
            self.replace_crashed().await;
        }
        panic!("{} back ends have crashed", self.crash_count());
    }

    pub fn crash_count(&self) -> usize {
        self.crashed_applications().len()
    }

    fn crashed_applications(&self) -> Vec<Arc<FakeEngine>> {
        let engines = self.cluster.engines.iter();
        let crash_count = engines.filter(|engine| engine.has_crashed());
        crash_count.cloned().collect()
    }

    /// Removes the crashed applications from the directory.
    pub fn unlist_crashed(&self) {
        for application in self.crashed_applications() {
            self.cluster.unlist(&application);
        }
    }

    /// Replaces the crashed applications, and waits until each node serves requests again.
    pub async fn replace_crashed(&mut self) {
        self.unlist_crashed();
        let crash_count = self.crash_count();
        for _ in self.replaced..crash_count {
            self.add_application().await;
        }
        self.replaced = crash_count;
        self.wait_served().await;
    }

    /// Replaces every application by one with another software version.
    pub async fn replace_software(&mut self, software: &'static str) {
        self.software = software;
        for engine in self.cluster.engines.clone() {
            self.cluster.unlist(&engine);
        }
        for _ in 0..4 {
            self.add_application().await;
        }
        self.wait_served().await;
    }

    /// Waits until each node serves an ordinary request.
    pub async fn wait_served(&self) {
        for node in 0..self.cluster.nodes.len() {
            let is_served = || async {
                let answer = self
                    .send_request(node, "/live/x", "sound", "another reading")
                    .await;
                (answer.status == 200).then_some(())
            };
            eventually("other requests are served", is_served).await;
        }
    }

    /// Waits until the crashes so far are known at all nodes, unless something delays the reports.
    pub async fn wait_crashes_reported(&self) {
        tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    }

    /// Sends ordinary requests to a node, so many at once that each back end is tried.
    pub async fn try_each_back_end(&self, node: usize) {
        let requests = (0..2 * self.cluster.engines.len()).map(|number| {
            let id = format!("ordinary-{number}");
            self.start_request(node, "/live/x", &id, "another reading")
        });
        futures_util::future::join_all(requests).await;
    }

    /// Counts the runs of a request at all back ends.
    pub fn runs_of(&self, id: &str) -> usize {
        let engines = self.cluster.engines.iter();
        engines.map(|engine| engine.runs_of(id).len()).sum()
    }

    /// Waits until the node refuses the lethal request as quarantined.
    pub async fn wait_quarantined(&self, node: usize, path: &str) {
        let is_quarantined = || async {
            let answer = self.send_request(node, path, "asked", LETHAL).await;
            (answer.json()["code"] == REQUEST_QUARANTINED).then_some(())
        };
        eventually("the request is quarantined", is_quarantined).await;
    }
}

/// The result code of a quarantined request.
pub const REQUEST_QUARANTINED: u16 = 1111;

/// Time within which a crash report reaches all nodes if nothing is delayed.
pub const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(500);
