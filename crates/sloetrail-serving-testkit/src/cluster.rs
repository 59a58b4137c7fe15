//! A cluster of nodes, a table and back ends within one test process.

mod configuration;
mod node_process;

pub use configuration::{usual_configuration, usual_routes};
pub use node_process::NodeProcess;

use crate::client::{Answer, Call, submission};
use crate::engine::FakeEngine;
use crate::table::{MemoryTable, TableLink};
use crate::wire::EngineWire;
use http::Method;
use serde_json::{Value, json};
use sloetrail_serving::dialect::{Dialect, HeaderNames};
use sloetrail_serving::engine_supply::EngineSupply;
use sloetrail_serving::policies::Policies;
use sloetrail_serving::settings::{
    RawColdSettings, RawServingSettings, RawUsageSettings, ServingSettings,
};
use sloetrail_serving::table::{RowAddress, Table};
use sloetrail_serving::usage::UsageRecipient;
use sloetrail_serving::{ControlServices, StartError};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub const HOST: &str = "a.example";
pub const APPLICATION: &str = "application";
pub const MODELS: &str = "models";
pub const MODEL: &str = "m";

/// Starts of a node whose address for metrics another process has taken in the meantime.
const MAX_STARTS: usize = 5;
/// Short, so that takeovers complete quickly.
const LEASE_MS: u64 = 500;
/// Shorter than by default, so that tests with a stop end soon.
const GRACE_S: f64 = 4.0;
/// Longer than a lease, as in the default settings.
const ORDER_GAP_MS: u64 = 800;
/// The delay between two attempts of [`eventually`].
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How long [`eventually`] retries: enough for several takeovers on a busy machine.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// Nodes, their table and their back ends. Fields that hold settings apply to nodes started,
/// and configurations written, after the field is set.
pub struct Cluster {
    pub table: Arc<MemoryTable>,
    pub nodes: Vec<NodeProcess>,
    pub engines: Vec<Arc<FakeEngine>>,
    pub body_budget_bytes: Option<usize>,
    pub answer_budget_bytes: Option<usize>,
    pub processor_share: Option<f64>,
    /// True if nodes relay table calls for one another.
    pub peers: bool,
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
    /// The cold period in seconds and the requests per second that a cold back end receives,
    /// for both services.
    pub cold: Option<(f64, f64)>,
    /// By how much the limits of cold back ends may be exceeded.
    pub cold_tolerance: Option<RawColdSettings>,
    pub lease_ms: u64,
    /// How long a node may take to stop, in seconds.
    pub grace_s: f64,
    pub usage: Option<RawUsageSettings>,
    /// Receives usage reports.
    pub recipient: Option<Arc<dyn UsageRecipient>>,
    /// Receives orders for engine counts.
    pub engine_supply: Option<Arc<dyn EngineSupply>>,
    /// The `scaling` section of the models service.
    pub scaling: Option<Value>,
    /// The `tenants` section of the configuration.
    pub tenants: Option<Value>,
    /// The API key that [`Self::with_api_key`] adds to calls.
    pub api_key: Option<String>,
    pub policies: Policies,
    /// True if the next nodes serve their metrics, at [`NodeProcess::metrics`].
    pub has_metrics: bool,
    /// Models of the engines besides [`MODEL`].
    pub other_models: Vec<&'static str>,
    /// Model services of the configuration besides [`MODELS`].
    pub other_services: Vec<String>,
    /// Services that the configuration leaves out.
    pub removed_services: Vec<String>,
    wire: Arc<dyn EngineWire>,
    dialect: Arc<dyn Dialect>,
    /// Builds the table client of a node from its link.
    wrap: Box<dyn Fn(Arc<TableLink>) -> Arc<dyn Table> + Send + Sync>,
    revision: u64,
}

impl Cluster {
    /// A cluster without nodes and back ends. Writes a configuration with [`usual_routes`].
    pub fn new(wire: Arc<dyn EngineWire>, dialect: Arc<dyn Dialect>) -> Self {
        let mut cluster = Self {
            table: MemoryTable::new(),
            nodes: Vec::new(),
            engines: Vec::new(),
            body_budget_bytes: None,
            answer_budget_bytes: None,
            processor_share: None,
            peers: false,
            regions: BTreeMap::new(),
            cold: None,
            cold_tolerance: None,
            lease_ms: LEASE_MS,
            grace_s: GRACE_S,
            usage: None,
            recipient: None,
            engine_supply: None,
            scaling: None,
            tenants: None,
            api_key: None,
            policies: Policies::default(),
            has_metrics: false,
            other_models: Vec::new(),
            other_services: Vec::new(),
            removed_services: Vec::new(),
            wire,
            dialect,
            wrap: Box::new(|link| link),
            revision: 0,
        };
        cluster.configure(usual_routes());
        cluster
    }

    /// Sets how the table client of a node is built from its link.
    #[must_use]
    pub fn with_table(
        mut self,
        wrap: impl Fn(Arc<TableLink>) -> Arc<dyn Table> + Send + Sync + 'static,
    ) -> Self {
        self.wrap = Box::new(wrap);
        self
    }

    pub fn names(&self) -> HeaderNames {
        self.dialect.headers().clone()
    }

    /// Writes a configuration with these routes under the next version.
    pub fn configure(&mut self, routes: Value) {
        self.revision += 3;
        let revision = self.revision;
        self.write_configuration(revision, routes);
    }

    /// Writes a configuration with these routes under the given version.
    pub fn write_configuration(&self, version: u64, routes: Value) {
        let mut configuration = usual_configuration(version, &routes);
        if let Some(scaling) = &self.scaling {
            configuration["services"][1]["scaling"] = scaling.clone();
        }
        let models = self.models().into_iter();
        let models: Vec<Value> = models.map(|name| json!({"name": name})).collect();
        configuration["services"][1]["engine"]["models"] = json!(models);
        if let Some(tenants) = &self.tenants {
            configuration["tenants"] = tenants.clone();
        }
        if let Some((seconds, per_second)) = self.cold {
            for service in [0, 1] {
                configuration["services"][service]["cold_s"] = json!(seconds);
                configuration["services"][service]["cold_per_s"] = json!(per_second);
            }
        }
        self.set_services(&mut configuration);
        let address = self.dialect.sources().configuration.clone();
        self.table.write(address, configuration.to_string());
    }

    /// Adds the other services and leaves out the removed ones.
    fn set_services(&self, configuration: &mut Value) {
        let models = &configuration["services"][1];
        let others = self.other_services.iter().map(|name| {
            let mut service = models.clone();
            service["name"] = json!(name);
            service
        });
        let others: Vec<Value> = others.collect();
        let services = configuration["services"].as_array_mut().expect("a list");
        services.extend(others);
        let is_removed = |service: &Value| {
            let mut removed = self.removed_services.iter();
            removed.any(|name| service["name"] == **name)
        };
        services.retain(|service| !is_removed(service));
    }

    /// Publishes a weight version of [`MODEL`].
    pub fn publish(&self, version: u64) {
        let (key, value) = self.wire.published(MODEL, version);
        let sources = self.dialect.sources();
        let address = RowAddress::new(&sources.configuration.table, "", key);
        self.table.write(address, value.to_string());
    }

    /// Requests the evacuation of a zone.
    pub fn evacuate(&self, zone: &str) {
        self.table.write(self.evacuation(zone), "{}");
    }

    pub fn withdraw_evacuation(&self, zone: &str) {
        self.table.delete(self.evacuation(zone));
    }

    fn evacuation(&self, zone: &str) -> RowAddress {
        let sources = self.dialect.sources();
        RowAddress::new(&sources.configuration.table, "", self.wire.evacuation(zone))
    }

    /// Starts a back end of [`APPLICATION`].
    pub async fn add_application(&mut self, zone: &str) -> Arc<FakeEngine> {
        self.add(APPLICATION, zone, &[], Duration::from_millis(5))
            .await
    }

    /// Starts an engine in `zone-a`.
    pub async fn add_engine(&mut self, event_interval: Duration) -> Arc<FakeEngine> {
        self.add_engine_in("zone-a", event_interval).await
    }

    /// Starts an engine of [`MODELS`].
    pub async fn add_engine_in(&mut self, zone: &str, event_interval: Duration) -> Arc<FakeEngine> {
        let models = self.models();
        self.add(MODELS, zone, &models, event_interval).await
    }

    /// Starts an engine of another service than [`MODELS`] in `zone-a`.
    pub async fn add_engine_of(
        &mut self,
        service: &str,
        event_interval: Duration,
    ) -> Arc<FakeEngine> {
        let models = self.models();
        self.add(service, "zone-a", &models, event_interval).await
    }

    fn models(&self) -> Vec<&'static str> {
        let others = self.other_models.iter().copied();
        std::iter::once(MODEL).chain(others).collect()
    }

    async fn add(
        &mut self,
        service: &str,
        zone: &str,
        models: &[&str],
        event_interval: Duration,
    ) -> Arc<FakeEngine> {
        let wire = Arc::clone(&self.wire);
        let engine = FakeEngine::start(wire, service, zone, models, event_interval).await;
        self.engines.push(Arc::clone(&engine));
        self.list(&engine);
        engine
    }

    /// Writes the directory row of a back end with its present state.
    pub fn list(&self, engine: &FakeEngine) {
        let (table, value) = self.wire.row(&engine.listing());
        self.table
            .write(RowAddress::new(table, "", &engine.id), value.to_string());
    }

    /// Deletes the directory row of a back end.
    pub fn unlist(&self, engine: &FakeEngine) {
        let (table, _) = self.wire.row(&engine.listing());
        self.table.delete(RowAddress::new(table, "", &engine.id));
    }

    /// Starts a node in `zone-a` and returns its index. Nodes with the same name are incarnations
    /// of one machine.
    pub async fn add_node(&mut self, name: &str) -> usize {
        self.add_node_in("zone-a", name).await
    }

    /// Starts a node and returns its index.
    pub async fn add_node_in(&mut self, zone: &str, name: &str) -> usize {
        let has_metrics = self.has_metrics;
        let addresses = std::iter::repeat_with(|| has_metrics.then(free_address));
        let addresses = addresses.take(MAX_STARTS);
        let node = self.start_node(zone, name, addresses).await;
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Starts a node that serves its metrics at the first of the addresses that is still free.
    async fn start_node(
        &self,
        zone: &str,
        name: &str,
        metrics_addresses: impl IntoIterator<Item = Option<SocketAddr>>,
    ) -> NodeProcess {
        let mut refused = None;
        for metrics_address in metrics_addresses {
            match self.try_start_node(zone, name, metrics_address).await {
                Ok(node) => return node,
                Err(error) => refused = Some(error),
            }
        }
        panic!("no start of {name} succeeded: {refused:?}");
    }

    async fn try_start_node(
        &self,
        zone: &str,
        name: &str,
        metrics_address: Option<SocketAddr>,
    ) -> Result<NodeProcess, StartError> {
        let raw = self.raw_settings(zone, name, metrics_address);
        let incarnation = NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed);
        let settings = ServingSettings::check(raw, incarnation).expect("valid settings");
        let link = TableLink::new(Arc::clone(&self.table));
        let table = (self.wrap)(Arc::clone(&link));
        let dialect = Arc::clone(&self.dialect);
        let services = ControlServices {
            usage_recipient: self.recipient.clone(),
            engine_supply: self.engine_supply.clone(),
        };
        NodeProcess::start(settings, link, table, dialect, services).await
    }

    fn raw_settings(
        &self,
        zone: &str,
        name: &str,
        metrics_address: Option<SocketAddr>,
    ) -> RawServingSettings {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("valid socket address");
        RawServingSettings {
            node: name.to_owned(),
            zone: zone.to_owned(),
            regions: Some(self.regions.clone()),
            cold: self.cold_tolerance,
            callers_address: any,
            ready_address: any,
            peer_address: self.peers.then_some(any),
            metrics_address,
            lease_ms: Some(self.lease_ms),
            order_gap_ms: Some(ORDER_GAP_MS),
            grace_s: Some(self.grace_s),
            batch_status_s: None,
            claims_kept_s: None,
            quarantine_s: None,
            max_view_age_ms: None,
            concurrent_loads: None,
            body_budget_bytes: self.body_budget_bytes,
            answer_budget_bytes: self.answer_budget_bytes,
            processor_share: self.processor_share,
            policies: self.policies,
            usage: self.usage,
        }
    }

    /// Waits until a node reports that it is ready.
    pub async fn wait_ready(&self, node: usize) {
        wait_until_ready(self.nodes[node].ready).await;
    }

    /// Submits a batch without retries. None if no response arrives.
    pub async fn submit(&self, node: usize, id: &str, batch: &Value) -> Option<Answer> {
        let call = self.with_api_key(submission(&self.names(), HOST, id, batch));
        call.send(self.nodes[node].callers).await
    }

    /// Reads one page of a batch's results. None unless the response has status 200.
    pub async fn read(&self, node: usize, id: &str, after: usize) -> Option<Value> {
        let answer = self.read_answer(node, id, after).await?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Reads one page of a batch's results and returns the response with any status.
    pub async fn read_answer(&self, node: usize, id: &str, after: usize) -> Option<Answer> {
        let path = format!("{}{id}?after={after}", self.dialect.paths().batches);
        self.with_api_key(Call::new(Method::GET, HOST, path))
            .send(self.nodes[node].callers)
            .await
    }

    /// Adds the API key of the cluster to a call, if one is set.
    pub fn with_api_key(&self, call: Call) -> Call {
        match &self.api_key {
            Some(key) => call.header(&self.names().api_key, key),
            None => call,
        }
    }

    /// Deletes a batch.
    pub async fn end(&self, node: usize, id: &str) -> Option<Answer> {
        let path = format!("{}{id}", self.dialect.paths().batches);
        self.with_api_key(Call::new(Method::DELETE, HOST, path))
            .send(self.nodes[node].callers)
            .await
    }

    /// Reads a batch until at least `count` results are listed, and returns all of them.
    pub async fn wait_results(&self, node: usize, id: &str, count: usize) -> Vec<Value> {
        let all = || async {
            let mut results: Vec<Value> = Vec::new();
            loop {
                let page = self.read(node, id, results.len()).await?;
                let listed = page["results"].as_array()?.clone();
                if listed.is_empty() {
                    break;
                }
                results.extend(listed);
            }
            (results.len() >= count).then_some(results)
        };
        eventually("the batch lists all expected results", all).await
    }
}

/// Waits until the node whose readiness endpoint is at `address` is ready.
pub async fn wait_until_ready(address: SocketAddr) {
    let call = Call::new(Method::GET, HOST, "/v1/ready");
    let is_ready = || async {
        let answer = call.send(address).await?;
        (answer.status == 200).then_some(())
    };
    eventually("the node is ready", is_ready).await;
}

/// Retries until the attempt returns a value.
///
/// # Panics
///
/// If no attempt succeeds in twenty seconds.
pub async fn eventually<Outcome, Trying>(what: &str, attempt: impl Fn() -> Trying) -> Outcome
where
    Trying: Future<Output = Option<Outcome>>,
{
    let deadline = Instant::now() + EVENTUALLY_TIMEOUT;
    loop {
        if let Some(outcome) = attempt().await {
            return outcome;
        }
        assert!(
            Instant::now() < deadline,
            "timed out after {EVENTUALLY_TIMEOUT:?} waiting for: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Counts how often each id occurs.
pub fn count_ids<'a>(ids: impl IntoIterator<Item = &'a str>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for id in ids {
        *counts.entry(id.to_owned()).or_default() += 1;
    }
    counts
}

/// Returns an address that was free a moment ago. Nodes bind their other ports elsewhere.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.2:0").expect("a free port");
    listener.local_addr().expect("bound")
}

#[cfg(test)]
mod tests;
