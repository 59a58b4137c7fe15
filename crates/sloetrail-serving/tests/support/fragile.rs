//! A cluster whose back ends crash under one request, and are replaced.

use super::native_cluster;
use http::Method;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually};
use sloetrail_serving_testkit::engine::FakeEngine;
use std::sync::Arc;
use std::time::Duration;

/// The body of the request under which back ends crash.
pub const LETHAL: &str = "a reading that ends its server";
/// Back ends that one request may end: after the third its repeats are kept from further ones,
/// and an attempt may be on its way when the third ends.
pub const CRASHES_MOST: usize = 4;

/// A cluster whose applications crash under one request.
pub struct FragileCluster {
    /// The cluster.
    pub cluster: Cluster,
    /// The software of applications that start from now on.
    pub software: &'static str,
    replaced: usize,
}

impl FragileCluster {
    /// So many nodes and four applications.
    pub async fn start(nodes: usize) -> Self {
        Self::around(native_cluster(), nodes).await
    }

    /// The same with a cluster that was made before.
    pub async fn around(cluster: Cluster, nodes: usize) -> Self {
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

    /// Sends a request to a node.
    pub async fn ask(&self, node: usize, path: &str, id: &str, body: &str) -> Answer {
        let answer = self.sending(node, path, id, body).await;
        answer.expect("an answer")
    }

    /// The sending of a request to a node; nothing if no answer comes.
    pub fn sending(
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

    /// Sends the lethal request to the nodes in turn, and replaces what crashes, until it has
    /// ended three back ends.
    pub async fn end_three(&mut self, path: &str) {
        let nodes = self.cluster.nodes.len();
        for number in 0..6 {
            if self.crashed() >= 3 {
                return;
            }
            let id = format!("first-{number}");
            self.ask(number % nodes, path, &id, LETHAL).await;
            self.replace_crashed().await;
        }
        panic!("{} back ends have crashed", self.crashed());
    }

    /// The applications that have crashed.
    pub fn crashed(&self) -> usize {
        self.crashed_ones().len()
    }

    fn crashed_ones(&self) -> Vec<Arc<FakeEngine>> {
        let engines = self.cluster.engines.iter();
        let crashed = engines.filter(|engine| engine.has_crashed());
        crashed.cloned().collect()
    }

    /// Takes the applications that have crashed off the directory.
    pub fn unlist_crashed(&self) {
        for application in self.crashed_ones() {
            self.cluster.unlist(&application);
        }
    }

    /// Replaces the applications that have crashed, and waits until each node is served again.
    pub async fn replace_crashed(&mut self) {
        self.unlist_crashed();
        let crashed = self.crashed();
        for _ in self.replaced..crashed {
            self.add_application().await;
        }
        self.replaced = crashed;
        self.wait_served().await;
    }

    /// Replaces every application by one of other software.
    pub async fn release_software(&mut self, software: &'static str) {
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
                let answer = self.ask(node, "/live/x", "sound", "another reading").await;
                (answer.status == 200).then_some(())
            };
            eventually("other requests are served", is_served).await;
        }
    }

    /// Runs of a request at all back ends.
    pub fn runs_of(&self, id: &str) -> usize {
        let engines = self.cluster.engines.iter();
        engines.map(|engine| engine.runs_of(id).len()).sum()
    }

    /// Waits until the node refuses the lethal request without sending it on.
    pub async fn wait_held(&self, node: usize, path: &str) {
        let is_held = || async {
            let answer = self.ask(node, path, "asked", LETHAL).await;
            (answer.json()["code"] == HELD).then_some(())
        };
        eventually("the request is held", is_held).await;
    }
}

/// The code of a request that is kept from back ends.
pub const HELD: u16 = 1111;

/// How long news of a crash may take from one node to the others where nothing is slow.
pub const NEWS_TIME: Duration = Duration::from_millis(500);
