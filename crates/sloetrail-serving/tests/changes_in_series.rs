//! Accepted batches complete after any series of changes of routes, services, nodes and engines.
//!
//! `CHANGES_SEEDS=N` plays the first N seeds, `CHANGES_SEED=N` a single one.

mod support;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, MODEL};
use sloetrail_serving_testkit::engine::FakeEngine;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use support::{assert_each_once, client_cluster, routes_with_rollout, routes_without_rollout};

/// Seeds 5 and 6 find batches whose set is not registered.
const DEFAULT_SEEDS: [u64; 3] = [0, 5, 6];
const CHANGES: usize = 14;
const PAUSE_MS: std::ops::Range<u64> = 0..500;
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
const SERVICES: [&str; 3] = ["models-a", "models-b", "models-c"];
const EVENT_INTERVAL: Duration = Duration::from_millis(8);
const ITEMS: usize = 12;
const EVENTS: u64 = 40;
/// Longer than a play, so that no item expires.
const RETENTION_S: u64 = 600;

#[derive(Clone, Copy, Debug)]
enum Change {
    Submit,
    /// Moves the rollout route to a service that the configuration names.
    MoveRoute,
    RemoveRoute,
    /// Removes a service from the configuration, or adds it again.
    ToggleService,
    Kill,
    Stop,
    Start,
    /// Kills all nodes, moves the route while none runs, and starts them.
    MoveRouteWhileDown,
    /// The engine of a service crashes, or another one is started.
    ToggleEngine,
    Publish,
}

/// The changes to choose from; those that occur more often are more likely.
const CHOICES: [Change; 17] = [
    Change::Submit,
    Change::Submit,
    Change::Submit,
    Change::Submit,
    Change::Submit,
    Change::MoveRoute,
    Change::MoveRoute,
    Change::MoveRoute,
    Change::RemoveRoute,
    Change::ToggleService,
    Change::Kill,
    Change::Stop,
    Change::Start,
    Change::Start,
    Change::MoveRouteWhileDown,
    Change::ToggleEngine,
    Change::Publish,
];

struct Play {
    cluster: Cluster,
    random: StdRng,
    /// The service that the rollout route leads to.
    route: Option<&'static str>,
    removed: BTreeSet<&'static str>,
    /// The running nodes, by name.
    running: BTreeMap<&'static str, usize>,
    engines: BTreeMap<&'static str, Arc<FakeEngine>>,
    submitted: usize,
    accepted: Vec<String>,
    version: u64,
}

impl Play {
    async fn start(seed: u64) -> Self {
        let mut cluster = client_cluster();
        cluster.other_services = SERVICES.map(str::to_owned).to_vec();
        cluster.removed_services = vec!["models".to_owned()];
        cluster.add_application("zone-a").await;
        let mut play = Self {
            cluster,
            random: StdRng::seed_from_u64(seed),
            route: Some(SERVICES[0]),
            removed: BTreeSet::new(),
            running: BTreeMap::new(),
            engines: BTreeMap::new(),
            submitted: 0,
            accepted: Vec::new(),
            version: 1,
        };
        for service in SERVICES {
            play.add_engine(service).await;
        }
        play.configure();
        play.start_nodes().await;
        play
    }

    async fn add_engine(&mut self, service: &'static str) {
        let engine = self.cluster.add_engine_of(service, EVENT_INTERVAL).await;
        engine.force_version(MODEL, self.version);
        self.cluster.list(&engine);
        self.engines.insert(service, engine);
    }

    async fn start_nodes(&mut self) {
        for name in NODES {
            if !self.running.contains_key(name) {
                let node = self.cluster.add_node(name).await;
                self.running.insert(name, node);
            }
        }
        for node in self.running.values() {
            self.cluster.wait_ready(*node).await;
        }
    }

    fn configure(&mut self) {
        let removed = self.removed.iter().map(|name| (*name).to_owned());
        let usual = std::iter::once("models".to_owned());
        self.cluster.removed_services = usual.chain(removed).collect();
        let routes = match self.route {
            Some(service) => {
                routes_with_rollout(&json!({"service": service, "retain_s": RETENTION_S}))
            }
            None => routes_without_rollout(),
        };
        self.cluster.configure(routes);
    }

    async fn apply(&mut self, change: Change) {
        match change {
            Change::Submit => self.submit().await,
            Change::MoveRoute => self.move_route(),
            Change::RemoveRoute => {
                self.route = None;
                self.configure();
            }
            Change::ToggleService => {
                let service = self.any_service();
                if !self.removed.remove(service) {
                    self.removed.insert(service);
                    self.route = self.route.filter(|route| *route != service);
                }
                self.configure();
            }
            Change::Kill => {
                if let Some(node) = self.take_node() {
                    self.cluster.nodes[node].kill();
                }
            }
            Change::Stop => {
                if let Some(node) = self.take_node() {
                    self.cluster.nodes[node].stop();
                }
            }
            Change::Start => self.start_nodes().await,
            Change::MoveRouteWhileDown => {
                for node in std::mem::take(&mut self.running).into_values() {
                    self.cluster.nodes[node].kill();
                }
                self.move_route();
                self.start_nodes().await;
            }
            Change::ToggleEngine => {
                let service = self.any_service();
                match self.engines.remove(service) {
                    Some(engine) => {
                        engine.crash();
                        self.cluster.unlist(&engine);
                    }
                    None => self.add_engine(service).await,
                }
            }
            Change::Publish => {
                self.version += 1;
                self.cluster.publish(self.version);
            }
        }
    }

    fn move_route(&mut self) {
        let named = SERVICES.into_iter();
        let named = named.filter(|service| !self.removed.contains(service));
        let named: Vec<&'static str> = named.collect();
        self.route = named.choose(&mut self.random).copied();
        self.configure();
    }

    fn any_service(&mut self) -> &'static str {
        SERVICES.choose(&mut self.random).expect("not empty")
    }

    /// Takes a running node out, unless it is the last one.
    fn take_node(&mut self) -> Option<usize> {
        let names: Vec<&'static str> = self.running.keys().copied().collect();
        let name = names.choose(&mut self.random)?;
        let is_last = names.len() == 1;
        (!is_last).then(|| self.running.remove(name))?
    }

    /// Submits a batch at a running node and notes it if it is accepted.
    async fn submit(&mut self) {
        let nodes: Vec<usize> = self.running.values().copied().collect();
        let Some(node) = nodes.choose(&mut self.random) else {
            return;
        };
        self.submitted += 1;
        let id = format!("b{}", self.submitted);
        let oldest = self.random.random_range(1..=self.version);
        let answer = self.cluster.submit(*node, &id, &work(&id, oldest)).await;
        if answer.is_some_and(|answer| answer.status == 202) {
            self.accepted.push(id);
        }
    }

    /// Restores all nodes and engines, but not the configuration, and awaits all batches.
    async fn settle(&mut self) {
        for service in SERVICES {
            if !self.engines.contains_key(service) {
                self.add_engine(service).await;
            }
        }
        self.start_nodes().await;
        let node = *self.running.values().next().expect("a node");
        for id in &self.accepted {
            let results = self.cluster.wait_results(node, id, ITEMS).await;
            assert_each_once(&results, ITEMS);
            let all_succeeded = results.iter().all(|result| result["state"] == "succeeded");
            assert!(all_succeeded, "{id}");
        }
    }
}

/// A batch whose items have ids of their own.
fn work(id: &str, oldest_version: u64) -> Value {
    let items = (0..ITEMS).map(|number| item(&format!("{id}-{number}"), "g", EVENTS));
    batch(&items.collect::<Vec<Value>>(), MODEL, oldest_version)
}

async fn play(seed: u64) {
    let mut play = Play::start(seed).await;
    let mut changes = Vec::new();
    for _ in 0..CHANGES {
        let change = *CHOICES.choose(&mut play.random).expect("not empty");
        changes.push(change);
        play.apply(change).await;
        let pause = play.random.random_range(PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    println!("seed {seed}: accepted {:?} amid {changes:?}", play.accepted);
    play.settle().await;
}

/// Guards against orders of changes in which no node takes charge of an accepted batch.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_batches_complete_after_any_series_of_changes() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seeds = match (number("CHANGES_SEED"), number("CHANGES_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).collect(),
        (None, None) => DEFAULT_SEEDS.to_vec(),
    };
    for seed in seeds {
        play(seed).await;
    }
}
