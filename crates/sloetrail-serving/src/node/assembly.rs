//! Assembly of the components that a node's context holds.

use crate::back_end_connections::BackEndConnections;
use crate::context::NodeContext;
use crate::dialect::Dialect;
use crate::directory::watch_directory;
use crate::ended_incarnations::watch_ended_incarnations;
use crate::engine_supply::EngineSupply;
use crate::follow::{
    FleetSize, PollTimings, SubsetReader, ViewReceiver, follow, follow_both, follow_directory,
};
use crate::gateway::claims::Claims;
use crate::http::AnswerBudget;
use crate::leases::watch_recorded_sets;
use crate::operator::watch_operator;
use crate::quarantine::Quarantine;
use crate::relay::peers::Peers;
use crate::rows;
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::shutdown::Shutdown;
use crate::subset_demand::{SubsetDemand, watch_subset_coverage};
use crate::suspension_guard::SuspensionGuard;
use crate::table::Table;
use crate::usage::NodeUsage;
use crate::zone_work::ZoneWork;
use sloetrail_types::digest;
use sloetrail_usage::ReportSchedule;
use std::sync::Arc;

/// Views of the table rows that every node follows.
struct Views {
    operator: ViewReceiver,
    directory: ViewReceiver,
    leases: ViewReceiver,
}

impl Views {
    fn follow(
        table: &Arc<dyn Table>,
        dialect: &dyn Dialect,
        timings: PollTimings,
        subset_reader: SubsetReader,
    ) -> Self {
        let sources = dialect.sources().clone();
        let configuration = sources.configuration;
        Self {
            operator: follow(
                Arc::clone(table),
                configuration.table,
                configuration.partition,
                timings.operator,
            ),
            directory: follow_directory(
                Arc::clone(table),
                sources.directory_table,
                timings.directory,
                subset_reader,
            ),
            leases: follow_both(
                Arc::clone(table),
                rows::LEASES,
                [rows::OWNERS, rows::CALLERS],
                timings.leases,
            ),
        }
    }
}

pub(super) fn build_context(
    (settings, shutdown): (ServingSettings, Shutdown),
    (table, peers): (Arc<dyn Table>, Option<Arc<Peers>>),
    dialect: Arc<dyn Dialect>,
    usage_schedule: Option<ReportSchedule>,
    engine_supply: Option<Arc<dyn EngineSupply>>,
) -> NodeContext {
    let fleet = FleetSize::default();
    let timings = PollTimings::new(&fleet, &settings.bounds);
    let lease_poll_timing = timings.leases.clone();
    let subset_demand = Arc::new(SubsetDemand::default());
    let subset_reader = SubsetReader::new(&settings.node, Arc::clone(&subset_demand));
    let views = Views::follow(&table, &*dialect, timings, subset_reader);
    let (directory, directory_applied) =
        watch_directory(views.directory, Arc::clone(&dialect), fleet.clone());
    let seed = digest(settings.instance.as_str().as_bytes());
    let (in_force, operator_applied) = watch_operator(views.operator, Arc::clone(&dialect));
    watch_subset_coverage(
        Arc::clone(&subset_demand),
        settings.topology.clone(),
        directory.clone(),
        in_force.clone(),
    );
    let ended_incarnations = watch_ended_incarnations(directory.clone());
    let (quarantine, crashes_applied) = Quarantine::start(
        &settings,
        Arc::clone(&table),
        (directory.clone(), ended_incarnations.clone()),
        views.leases.clone(),
    );
    let applied = [
        directory_applied.clone(),
        operator_applied.clone(),
        crashes_applied,
    ];
    let suspension_guard = SuspensionGuard::start(applied);
    let zone_work = ZoneWork::start(in_force.clone());
    let pools = ServicePools::new(
        &settings,
        (peers.clone(), Arc::clone(&subset_demand)),
        Arc::clone(&zone_work),
        seed,
    );
    let recorded_sets = watch_recorded_sets(views.leases.clone());
    pools.follow(directory.clone(), in_force.clone(), recorded_sets.clone());
    let usage = usage_schedule.map(|schedule| {
        let (table, leases) = (Arc::clone(&table), views.leases.clone());
        NodeUsage::new(
            schedule,
            settings.instance.clone(),
            table,
            leases,
            fleet.clone(),
        )
    });
    let connections = BackEndConnections::new(
        directory.clone(),
        in_force.clone(),
        Arc::clone(&suspension_guard),
        shutdown.clone(),
        AnswerBudget::new(settings.bounds.answer_budget_bytes),
    );
    let has_keys = dialect.headers().idempotency_key.is_some();
    let claims = has_keys.then(|| Claims::new(&settings, Arc::clone(&table)));
    NodeContext {
        claims,
        in_force,
        connections,
        settings,
        shutdown,
        table,
        peers,
        dialect,
        pools,
        ended_incarnations,
        quarantine,
        directory,
        directory_applied,
        operator_applied,
        subset_demand,
        leases: views.leases,
        recorded_sets,
        lease_poll_timing,
        fleet,
        zone_work,
        suspension_guard,
        usage,
        engine_supply,
    }
}
