//! Weight changes while a trainer's batches need more slots than there are.

mod support;

use sloetrail_serving::policies::Policies;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, MODELS};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{accepted, assert_each_once, items, native_cluster};

const ENGINES: usize = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const EVENTS: u64 = 20;
/// More items than 64 slots run in a step.
const ITEMS_PER_STEP: usize = 160;
const STEP_INTERVAL: Duration = Duration::from_millis(1_200);
const LISTING_INTERVAL: Duration = Duration::from_millis(50);
const LAST_VERSION: u64 = 8;
/// Until then the owner observes for how long slots have been in use.
const FIRST_MEASURED_VERSION: u64 = 6;

async fn cluster_with(policies: Policies) -> Cluster {
    let mut cluster = native_cluster();
    cluster.policies = policies;

    cluster.add_application("zone-a").await;
    for _ in 0..ENGINES {
        cluster.add_engine(EVENT_INTERVAL).await;
    }
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    cluster
}

/// Keeps the directory rows of the engines up to date with their versions. Never ends.
async fn keep_engines_listed(cluster: &Cluster) {
    loop {
        for engine in cluster
            .engines
            .iter()
            .filter(|engine| engine.service == MODELS)
        {
            cluster.list(engine);
        }
        tokio::time::sleep(LISTING_INTERVAL).await;
    }
}

/// Publishes versions and submits after each one a batch that accepts the version before it.
/// Returns the number of engines that were ordered to use each version.
async fn train(cluster: &Cluster) -> BTreeMap<u64, usize> {
    for version in 2..=LAST_VERSION {
        cluster.publish(version);
        let work = batch(&items(ITEMS_PER_STEP, EVENTS), MODEL, version - 1);
        accepted(cluster, 0, &format!("step-{version}"), &work).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    let mut engines: BTreeMap<u64, usize> = BTreeMap::new();
    for record in cluster.engines.iter().flat_map(|engine| engine.orders()) {
        *engines.entry(record.order.version).or_default() += 1;
    }
    for version in 2..=LAST_VERSION {
        let id = format!("step-{version}");
        let results = cluster.wait_results(0, &id, ITEMS_PER_STEP).await;
        assert_each_once(&results, ITEMS_PER_STEP);
    }
    engines
}

/// Guards against stalling the texts of every engine for each version while slots are scarce, and
/// against batches that no engine is brought up to date for.
#[tokio::test(flavor = "multi_thread")]
async fn about_half_of_the_engines_take_each_version() {
    let cluster = cluster_with(Policies::default()).await;
    let engines = tokio::select! {
        engines = train(&cluster) => engines,
        () = keep_engines_listed(&cluster) => unreachable!("the loop does not end"),
    };
    let measured = FIRST_MEASURED_VERSION..=LAST_VERSION;
    let changes: usize = measured
        .clone()
        .filter_map(|version| engines.get(&version))
        .sum();
    let versions = measured.count();
    assert!(changes >= versions * ENGINES / 4, "{engines:?}");
    assert!(changes <= versions * ENGINES * 5 / 8, "{engines:?}");
}
