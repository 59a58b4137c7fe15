//! What the parts of a node share.

use crate::back_end_connections::BackEndConnections;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::ended_incarnations::EndedIncarnationsReceiver;
use crate::engine_supply::EngineSupply;
use crate::follow::{FleetSize, LastApplied, PollTiming, ViewReceiver};
use crate::gateway::claims::Claims;
use crate::leases::LeasedSets;
use crate::operator::InForce;
use crate::pause_guard::PauseGuard;
use crate::quarantine::Quarantine;
use crate::relay::peers::Peers;
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::subset_demand::SubsetDemand;
use crate::table::Table;
use crate::usage::NodeUsage;
use crate::zone_work::ZoneWork;
use sloetrail_routing::{RequestLimits, ServingConfiguration};
use std::sync::Arc;
use tokio::sync::watch;

/// What the parts of a node share.
pub(crate) struct NodeContext {
    pub(crate) settings: ServingSettings,
    pub(crate) table: Arc<dyn Table>,
    /// The other nodes, if nodes help each other out.
    pub(crate) peers: Option<Arc<Peers>>,
    /// The claims of idempotency keys, where the dialect names these.
    pub(crate) claims: Option<Arc<Claims>>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: BackEndConnections,
    pub(crate) pools: Arc<ServicePools>,
    pub(crate) in_force: watch::Receiver<Arc<InForce>>,
    pub(crate) directory: watch::Receiver<Arc<Directory>>,
    /// When the directory and the operator's rows were asked for that are in force.
    pub(crate) directory_applied: LastApplied,
    pub(crate) operator_applied: LastApplied,
    /// How much of the directory this node wants to hold.
    pub(crate) subset_demand: Arc<SubsetDemand>,
    /// Lives of back ends after which another one began.
    pub(crate) ended_incarnations: EndedIncarnationsReceiver,
    pub(crate) leases: ViewReceiver,
    /// Sets of bound batches that have, or had, an owner.
    pub(crate) leased_sets: watch::Receiver<Arc<LeasedSets>>,
    /// How often the leases are asked for.
    pub(crate) lease_poll_timing: PollTiming,
    pub(crate) fleet: FleetSize,
    /// What runs at back ends, by zone.
    pub(crate) zone_work: Arc<ZoneWork>,
    pub(crate) pause_guard: Arc<PauseGuard>,
    /// The requests under which back ends crash.
    pub(crate) quarantine: Arc<Quarantine>,
    /// Counts what tenants use, where that is to be reported.
    pub(crate) usage: Option<Arc<NodeUsage>>,
    /// Starts engines and takes them away, where the deployment lets the node order that.
    pub(crate) engine_supply: Option<Arc<dyn EngineSupply>>,
}

impl NodeContext {
    /// The configuration in force, once there is one.
    pub(crate) fn configuration(&self) -> Option<Arc<ServingConfiguration>> {
        self.in_force.borrow().configuration.clone()
    }

    /// The bounds on what callers may send.
    pub(crate) fn limits(&self) -> RequestLimits {
        let configuration = self.configuration();
        configuration.map_or_else(RequestLimits::default, |configuration| configuration.limits)
    }

    /// The most bytes of a back end's answer that are held.
    pub(crate) fn answer_limit(&self) -> usize {
        self.limits().body_bytes
    }

    /// The field that begins an event at which the version of the weights changes.
    pub(crate) fn weight_version_field(&self) -> String {
        let name = &self.dialect.headers().weight_version;
        name.as_str().to_owned()
    }
}
