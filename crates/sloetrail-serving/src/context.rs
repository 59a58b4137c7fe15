//! State shared by the components of a node.

use crate::back_end_connections::BackEndConnections;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::ended_incarnations::EndedIncarnationsReceiver;
use crate::engine_supply::EngineSupply;
use crate::follow::{FleetSize, LastApplied, PollTiming, ViewReceiver};
use crate::gateway::claims::Claims;
use crate::leases::RecordedSets;
use crate::operator::InForce;
use crate::quarantine::Quarantine;
use crate::relay::peers::Peers;
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::shutdown::Shutdown;
use crate::subset_demand::SubsetDemand;
use crate::suspension_guard::SuspensionGuard;
use crate::table::Table;
use crate::usage::NodeUsage;
use crate::zone_work::ZoneWork;
use sloetrail_routing::{RequestLimits, ServingConfiguration};
use std::sync::Arc;
use tokio::sync::watch;

pub(crate) struct NodeContext {
    pub(crate) settings: ServingSettings,
    pub(crate) shutdown: Shutdown,
    pub(crate) table: Arc<dyn Table>,
    /// The other nodes; None if nodes do not relay table calls.
    pub(crate) peers: Option<Arc<Peers>>,
    /// The claims of idempotency keys; None if the dialect has no such header.
    pub(crate) claims: Option<Arc<Claims>>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: BackEndConnections,
    pub(crate) pools: Arc<ServicePools>,
    pub(crate) in_force: watch::Receiver<Arc<InForce>>,
    pub(crate) directory: watch::Receiver<Arc<Directory>>,
    /// When the directory and the operator's rows in force were requested from the table.
    pub(crate) directory_applied: LastApplied,
    pub(crate) operator_applied: LastApplied,
    /// The part of the directory that this node needs.
    pub(crate) subset_demand: Arc<SubsetDemand>,
    /// Incarnations of back ends that were followed by another one.
    pub(crate) ended_incarnations: EndedIncarnationsReceiver,
    pub(crate) leases: ViewReceiver,
    /// Batch sets that the lease table names, whatever the configuration in force says.
    pub(crate) recorded_sets: watch::Receiver<Arc<RecordedSets>>,
    pub(crate) lease_poll_timing: PollTiming,
    pub(crate) fleet: FleetSize,
    /// The work in flight at back ends, by zone.
    pub(crate) zone_work: Arc<ZoneWork>,
    pub(crate) suspension_guard: Arc<SuspensionGuard>,
    /// Requests that crash back ends.
    pub(crate) quarantine: Arc<Quarantine>,
    /// Counts the usage of tenants; None if it is not reported.
    pub(crate) usage: Option<Arc<NodeUsage>>,
    /// Starts and stops engines; None if the node may not order engines.
    pub(crate) engine_supply: Option<Arc<dyn EngineSupply>>,
}

impl NodeContext {
    /// Returns the configuration in force; None until one has been read.
    pub(crate) fn configuration(&self) -> Option<Arc<ServingConfiguration>> {
        self.in_force.borrow().configuration.clone()
    }

    /// Returns the limits on requests of callers.
    pub(crate) fn limits(&self) -> RequestLimits {
        let configuration = self.configuration();
        configuration.map_or_else(RequestLimits::default, |configuration| configuration.limits)
    }

    /// Returns the maximum size of a buffered answer of a back end, in bytes.
    pub(crate) fn answer_limit(&self) -> usize {
        self.limits().body_bytes
    }

    /// Returns the field name that carries the weight version in an event stream.
    pub(crate) fn weight_version_field(&self) -> String {
        let name = &self.dialect.headers().weight_version;
        name.as_str().to_owned()
    }
}
