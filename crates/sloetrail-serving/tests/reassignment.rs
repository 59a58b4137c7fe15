//! Engines are reassigned to the model whose batches need them.

mod support;

use log::LevelFilter;
use sloetrail_serving::events;
use sloetrail_serving_testkit::cluster::{MODEL, eventually, usual_routes};
use std::time::Duration;
use support::log_reader::LogReader;
use support::{assert_each_once, native_cluster, submit_items};

const OTHER_MODEL: &str = "n";
const ENGINES: usize = 8;
/// Engines of the other model beyond those that it keeps for its next step.
const SPARE_ENGINES: usize = 2;
const ITEMS: usize = 700;

/// Guards against an owner that decides on reassignments and does not carry them out, and against
/// taking the last engines of a model without batches.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_an_idle_model_go_to_one_with_waiting_items() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    cluster.other_models = vec![OTHER_MODEL];
    cluster.configure(usual_routes());
    cluster.add_application("zone-a").await;
    for _ in 0..ENGINES {
        cluster.add_engine(Duration::from_millis(30)).await;
    }
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    submit_items(&cluster, node, "b1", ITEMS, 20).await;
    let is_reassigned = || async {
        let reassigned = reader.decisions("engine_reassigned");
        (reassigned.len() >= SPARE_ENGINES).then_some(reassigned)
    };
    let reassigned = eventually("spare engines are reassigned", is_reassigned).await;
    for decision in &reassigned {
        assert_eq!(decision["from"], OTHER_MODEL);
        assert_eq!(decision["to"], MODEL);
    }
    assert_each_once(&cluster.wait_results(node, "b1", ITEMS).await, ITEMS);
    let reassigned = reader.decisions("engine_reassigned");
    assert_eq!(reassigned.len(), SPARE_ENGINES, "{reassigned:?}");
}
