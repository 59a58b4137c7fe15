use super::*;
use crate::wire::NativeWire;
use sloetrail_serving::native_dialect::NativeDialect;

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_metrics_port_was_taken_starts_at_another() {
    let taken = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let taken_address = taken.local_addr().expect("bound");
    let free = free_address();
    let cluster = Cluster::new(Arc::new(NativeWire), Arc::new(NativeDialect::default()));
    let addresses = [Some(taken_address), Some(free)];
    let node = cluster.start_node("zone-a", "node-1", addresses).await;
    assert_eq!(node.metrics, Some(free));
    let metrics = Call::new(Method::GET, HOST, "/metrics");
    let answer = metrics.send(free).await.expect("an answer");
    assert_eq!(answer.status, 200);
}
