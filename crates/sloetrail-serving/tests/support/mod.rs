//! What the tests of this folder share.

use http::Method;
use sloetrail_serving::native_dialect::NativeDialect;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST};
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::time::Duration;

/// A cluster in the product's own dialect.
pub fn native_cluster() -> Cluster {
    Cluster::new(Arc::new(NativeWire), Arc::new(NativeDialect::default()))
}

/// A cluster with two nodes, two applications and two engines, ready.
#[allow(dead_code, reason = "not every test file needs it")]
pub async fn usual_cluster(pace: Duration) -> Cluster {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    cluster.add_application("zone-b").await;
    cluster.add_engine(pace).await;
    cluster.add_engine(pace).await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

/// Makes a live request.
#[allow(dead_code, reason = "not every test file needs it")]
pub async fn live(cluster: &Cluster, node: usize, path: &str, id: &str) -> Option<Answer> {
    let names = cluster.names();
    Call::new(Method::POST, HOST, path)
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .body("question")
        .send(cluster.nodes[node].callers)
        .await
}
