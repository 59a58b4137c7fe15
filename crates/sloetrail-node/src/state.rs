//! What the node's tasks share.

use crate::clock::Clock;
use crate::directory::{Directory, is_leaving};
use crate::gateway::ServicePool;
use crate::lifecycle::Lifecycle;
use crate::owner::{RunHandle, WeightsHandle};
use sloetrail_balance::ListedEngine;
use sloetrail_clients::{
    EngineClient, HttpClient, MachineListClient, ObjectClient, ScoringClient, TableClient,
};
use sloetrail_config::{Configuration, NodeSettings};
use sloetrail_membership::{ConfigurationFreshness, Membership, MembershipSettings};
use sloetrail_types::{
    EngineId, NodeId, Revision, RunName, ServiceName, Timestamp, TransactionId, digest,
};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

const TABLE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
const OBJECT_CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
const LIST_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const SCORING_CALL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// The configuration that the node acts on.
/// Cheap to clone: it is taken for each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: Revision,
    pub(crate) text: Arc<str>,
    pub(crate) configuration: Arc<Configuration>,
}

/// Datagrams that tasks hand to the gossip task.
pub(crate) type GossipSender = mpsc::UnboundedSender<sloetrail_membership::Outgoing>;

/// The clients of the platform.
pub(crate) struct Clients {
    pub(crate) http: HttpClient,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) machines: MachineListClient,
    pub(crate) scoring: ScoringClient,
    pub(crate) engines: EngineClient,
}

impl Clients {
    fn new(settings: &NodeSettings) -> Self {
        let http = HttpClient::new();
        let platform = &settings.platform;
        Self {
            table: TableClient::new(http.clone(), platform.table, TABLE_CALL_TIMEOUT),
            objects: ObjectClient::new(http.clone(), platform.objects, OBJECT_CALL_TIMEOUT),
            machines: MachineListClient::new(http.clone(), platform.machines, LIST_CALL_TIMEOUT),
            scoring: ScoringClient::new(http.clone(), platform.scoring, SCORING_CALL_TIMEOUT),
            engines: EngineClient::new(http.clone()),
            http,
        }
    }
}

/// Shared state of one node.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) clients: Clients,
    pub(crate) cancel: CancellationToken,
    pub(crate) gossip: GossipSender,
    /// Woken when a newer configuration or machine list is known to exist.
    pub(crate) behind: Notify,
    /// Woken when the pools' services or engines may have changed.
    pub(crate) pools_changed: Notify,
    configuration: RwLock<ConfigurationInForce>,
    directory: RwLock<Arc<Directory>>,
    membership: Mutex<Membership>,
    freshness: Mutex<ConfigurationFreshness>,
    pools: RwLock<BTreeMap<ServiceName, Arc<ServicePool>>>,
    runs: Mutex<BTreeMap<RunName, RunHandle>>,
    weights: Mutex<BTreeMap<ServiceName, WeightsHandle>>,
    holders: Mutex<BTreeMap<String, KnownHolder>>,
    list_version_heard: AtomicU64,
    next_number: AtomicU64,
}

/// The holder of a lease, as it was last read.
#[derive(Clone, Debug)]
pub(crate) struct KnownHolder {
    pub(crate) holder: Option<NodeId>,
    pub(crate) read_at: Timestamp,
}

impl NodeState {
    pub(crate) fn new(settings: NodeSettings, gossip: GossipSender) -> Self {
        let seed = digest(settings.node.as_str().as_bytes());
        let membership = Membership::new(
            settings.node.clone(),
            settings.zone.clone(),
            MembershipSettings::default(),
            seed,
        );
        Self {
            clients: Clients::new(&settings),
            settings,
            clock: Clock::new(),
            lifecycle: Arc::default(),
            cancel: CancellationToken::new(),
            gossip,
            behind: Notify::new(),
            pools_changed: Notify::new(),
            configuration: RwLock::default(),
            directory: RwLock::default(),
            membership: Mutex::new(membership),
            freshness: Mutex::default(),
            pools: RwLock::default(),
            runs: Mutex::default(),
            weights: Mutex::default(),
            holders: Mutex::default(),
            list_version_heard: AtomicU64::new(0),
            next_number: AtomicU64::new(1),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A number that this life of the node gives once.
    pub(crate) fn unique_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn new_transaction_id(&self) -> TransactionId {
        TransactionId::new(format!("{}/{}", self.settings.node, self.unique_number()))
    }

    pub(crate) fn configuration(&self) -> ConfigurationInForce {
        self.configuration.read().expect("not poisoned").clone()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.configuration.read().expect("not poisoned").revision
    }

    /// Moves to a higher revision; anything else is left out. True if it moved.
    pub(crate) fn adopt_configuration(&self, candidate: ConfigurationInForce) -> bool {
        let revision = candidate.revision;
        {
            let mut held = self.configuration.write().expect("not poisoned");
            if revision <= held.revision {
                return false;
            }
            *held = candidate;
            self.freshness().hold(revision);
        }
        self.refresh_pools();
        self.announce_view();
        log::info!(target: "config", "Revision {revision} is in force here.");
        true
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.directory.read().expect("not poisoned").clone()
    }

    /// Takes in a newer machine list. True if it was newer.
    pub(crate) fn adopt_directory(&self, directory: Directory) -> bool {
        {
            let mut held = self.directory.write().expect("not poisoned");
            if directory.version() <= held.version() {
                return false;
            }
            *held = Arc::new(directory);
        }
        let peers = self.directory().nodes();
        self.membership().set_candidates(self.now(), &peers);
        self.refresh_pools();
        self.announce_view();
        true
    }

    pub(crate) fn hear_list_version(&self, version: u64) -> bool {
        self.list_version_heard
            .fetch_max(version, Ordering::Relaxed);
        self.list_is_behind()
    }

    pub(crate) fn list_is_behind(&self) -> bool {
        self.list_version_heard.load(Ordering::Relaxed) > self.directory().version()
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().expect("not poisoned")
    }

    pub(crate) fn freshness(&self) -> MutexGuard<'_, ConfigurationFreshness> {
        self.freshness.lock().expect("not poisoned")
    }

    /// True while the configuration held here is known to be in force.
    pub(crate) fn configuration_is_fresh(&self) -> bool {
        let configuration = self.configuration().configuration;
        let bound = self.settings.bounds.configuration_freshness;
        let membership = self.membership();
        self.freshness()
            .is_fresh(self.now(), membership.zones(), &configuration.zones, bound)
    }

    /// Tells the members what this node holds now.
    pub(crate) fn announce_view(&self) {
        let now = self.now();
        // While behind, this node's revision is not what the table held.
        let table_age = {
            let freshness = self.freshness();
            let read_at = freshness.table_read_at();
            let read_at = read_at.filter(|_| !freshness.is_behind());
            read_at.map(|at| now.since(at).as_millis() as u64)
        };
        let view = sloetrail_membership::View {
            revision: self.revision(),
            list_version: self.directory().version(),
            table_age_ms: table_age,
        };
        let outgoing = self.membership().set_view(now, view);
        self.send_all(outgoing);
    }

    pub(crate) fn send_all(&self, outgoing: Vec<sloetrail_membership::Outgoing>) {
        for message in outgoing {
            // The gossip task ends only with the node.
            let _ = self.gossip.send(message);
        }
    }

    pub(crate) fn pool(&self, service: &ServiceName) -> Option<Arc<ServicePool>> {
        self.pools
            .read()
            .expect("not poisoned")
            .get(service)
            .cloned()
    }

    pub(crate) fn pools(&self) -> Vec<Arc<ServicePool>> {
        let pools = self.pools.read().expect("not poisoned");
        pools.values().cloned().collect()
    }

    /// Brings the pools in line with the configuration and the machine list.
    fn refresh_pools(&self) {
        let configuration = self.configuration().configuration;
        let directory = self.directory();
        let mut pools = self.pools.write().expect("not poisoned");
        pools.retain(|name, _| configuration.services.contains_key(name));
        for service in configuration.services.values() {
            let pool = pools
                .entry(service.name.clone())
                .or_insert_with(|| Arc::new(ServicePool::new(service, &self.settings, self.clock)));
            pool.configure(service);
            let listed = directory
                .engines_of(&service.name)
                .map(|machine| ListedEngine {
                    leaving: is_leaving(machine),
                    ..ListedEngine::ready(EngineId::new(machine.id.clone()), machine.zone.clone())
                })
                .collect();
            pool.set_engines(listed);
        }
        self.pools_changed.notify_one();
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, BTreeMap<RunName, RunHandle>> {
        self.runs.lock().expect("not poisoned")
    }

    pub(crate) fn weights(&self) -> MutexGuard<'_, BTreeMap<ServiceName, WeightsHandle>> {
        self.weights.lock().expect("not poisoned")
    }

    pub(crate) fn known_holder(&self, resource: &str) -> Option<KnownHolder> {
        let holders = self.holders.lock().expect("not poisoned");
        holders.get(resource).cloned()
    }

    pub(crate) fn remember_holder(&self, resource: &str, holder: Option<NodeId>) {
        let known = KnownHolder {
            holder,
            read_at: self.now(),
        };
        let mut holders = self.holders.lock().expect("not poisoned");
        holders.insert(resource.to_owned(), known);
    }

    pub(crate) fn forget_holder(&self, resource: &str) {
        let mut holders = self.holders.lock().expect("not poisoned");
        holders.remove(resource);
    }
}
