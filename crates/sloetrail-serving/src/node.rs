//! A serving node: assembly of its components, start and graceful stop.

use crate::back_end_connections::BackEndConnections;
use crate::context::NodeContext;
use crate::dialect::Dialect;
use crate::directory::watch_directory;
use crate::ended_incarnations::watch_ended_incarnations;
use crate::engine_supply::EngineSupply;
use crate::events::{self, Event};
use crate::follow::{FleetSize, PollTimings, SubsetReader, ViewReceiver, follow, follow_directory};
use crate::gateway::call_handler::CallHandler;
use crate::gateway::claims::{Claims, sweep};
use crate::gateway::response::{empty_response, full_body};
use crate::http::{ConnectionTracker, ListenerSettings, spawn_listener};
use crate::leases::watch_leased_sets;
use crate::operator::watch_operator;
use crate::quarantine::{self, Quarantine};
use crate::relay::{self, peers::Peers};
use crate::rows;
use crate::service_pools::ServicePools;
use crate::settings::ServingSettings;
use crate::subset_demand::{SubsetDemand, watch_subset_coverage};
use crate::supervisor::supervise;
use crate::suspension_guard::SuspensionGuard;
use crate::table::Table;
use crate::tasks;
use crate::telemetry::{self, NodeGauges};
use crate::usage::{NodeUsage, UsageRecipient, UsageReportTask};
use crate::zone_work::ZoneWork;
use http::StatusCode;
use sloetrail_clock::BootInstant;
use sloetrail_types::digest;
use sloetrail_usage::ReportSchedule;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(5);
/// How long a stopping node accepts connections, so that the platform sees first that it is not
/// ready.
const LISTENER_DRAIN_TIME: Duration = Duration::from_millis(2_500);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time reserved at the end of the grace period for the last writes and the exit.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// How long a stopping node tries to write its usage counts; within [`GRACE_MARGIN`].
const USAGE_FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// A listener of the node could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct StartError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Optional services of the deployment.
#[derive(Default)]
pub struct ControlServices {
    /// Receives usage reports of tenants. Without it, or without usage settings, usage is not
    /// counted.
    pub usage_recipient: Option<Arc<dyn UsageRecipient>>,
    /// Starts and stops engines. Without it the node does not change their number.
    pub engine_supply: Option<Arc<dyn EngineSupply>>,
}

pub struct ServingNode {
    context: Arc<NodeContext>,
    callers: ConnectionTracker,
    callers_address: SocketAddr,
    ready_address: SocketAddr,
    stopping: CancellationToken,
    owners: JoinHandle<()>,
}

impl ServingNode {
    pub async fn start(
        settings: ServingSettings,
        table: Arc<dyn Table>,
        dialect: Arc<dyn Dialect>,
        services: ControlServices,
    ) -> Result<Self, StartError> {
        events::emit(&Event::NodeStarted {
            node: &settings.node,
            zone: settings.zone().as_str(),
            instance: settings.instance.as_str(),
            version: env!("CARGO_PKG_VERSION"),
        });
        for held in &settings.held_numbers {
            events::emit(&Event::SettingsNumberHeld {
                field: &held.field,
                given: &held.given,
                used: &held.used,
            });
        }
        telemetry::start();
        let (table, peers) = with_relay(&settings, table).await?;
        let callers = listen(settings.callers_address).await?;
        let ready = listen(settings.ready_address).await?;
        let callers_address = local_address(&callers, settings.callers_address);
        let ready_address = local_address(&ready, settings.ready_address);
        let reports = settings.usage.zip(services.usage_recipient);
        let schedule = reports.as_ref().map(|(usage, _)| usage.schedule());
        let supply = services.engine_supply;
        let context = build_context(settings, (table, peers), dialect, schedule, supply);
        let context = Arc::new(context);
        let stopping = CancellationToken::new();
        let tracker = ConnectionTracker::default();
        serve_callers(&context, callers, tracker.clone());
        serve_ready(&context, ready, stopping.clone());
        if let Some(address) = context.settings.metrics_address {
            serve_metrics(&context, listen(address).await?, tracker.clone());
        }
        start_periodic_work(&context);
        let usage = reports.and_then(|(_, recipient)| start_usage(&context, recipient));
        let owners = start_supervisor(&context, usage, &stopping);
        Ok(Self {
            context,
            callers: tracker,
            callers_address,
            ready_address,
            stopping,
            owners,
        })
    }

    /// True while callers are connected or claims are being written.
    fn has_pending_work(&self) -> bool {
        let claims = self.context.claims.as_ref();
        self.callers.connections() > 0 || claims.is_some_and(|claims| claims.pending_writes() > 0)
    }

    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// The address of the readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Stops gracefully: reports not ready, releases the leases, accepts connections for a short
    /// time and finishes the requests in flight.
    pub async fn stop(mut self) {
        let started_at = BootInstant::now();
        events::emit(&Event::NodeStopping {
            requests: self.callers.requests(),
            connections: self.callers.connections(),
        });
        self.stopping.cancel();
        let grace = self.context.settings.bounds.grace;
        let deadline = started_at + grace.saturating_sub(GRACE_MARGIN);
        // Lease managers release their leases; if the table does not answer, the leases expire.
        let _ = sloetrail_clock::timeout_at(deadline, &mut self.owners).await;
        sloetrail_clock::sleep_until(deadline.min(started_at + LISTENER_DRAIN_TIME)).await;
        self.callers.stop();
        while self.has_pending_work() && BootInstant::now() < deadline {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        if let Some(usage) = &self.context.usage {
            // Counts that cannot be written in time are lost, as when the node is killed.
            let _ = tokio::time::timeout(USAGE_FLUSH_TIMEOUT, usage.flush()).await;
        }
        events::emit(&Event::NodeStopped {
            requests: self.callers.requests(),
        });
    }
}

/// Starts the work that is repeated at intervals.
fn start_periodic_work(context: &Arc<NodeContext>) {
    let housekeeping = Arc::clone(context);
    tasks::spawn_part("housekeeping", move || {
        run_housekeeping(Arc::clone(&housekeeping))
    });
    let (quarantine, fleet) = (Arc::clone(&context.quarantine), context.fleet.clone());
    tasks::spawn_part("quarantine sweeper", move || {
        quarantine::run_row_sweeper(Arc::clone(&quarantine), fleet.clone())
    });
    if context.claims.is_some() {
        let (table, fleet) = (Arc::clone(&context.table), context.fleet.clone());
        tasks::spawn_part("claim sweeper", move || {
            sweep::run_sweeper(Arc::clone(&table), fleet.clone())
        });
    }
}

fn start_supervisor(
    context: &Arc<NodeContext>,
    usage: Option<UsageReportTask>,
    stopping: &CancellationToken,
) -> JoinHandle<()> {
    let (context, stopping) = (Arc::clone(context), stopping.clone());
    let usage = usage.map(Arc::new);
    let managers = Arc::default();
    tasks::spawn_part("supervisor", move || {
        let (context, managers) = (Arc::clone(&context), Arc::clone(&managers));
        supervise(context, usage.clone(), managers, stopping.clone())
    })
}

/// Starts counting usage and returns the task that reports it.
fn start_usage(
    context: &Arc<NodeContext>,
    recipient: Arc<dyn UsageRecipient>,
) -> Option<UsageReportTask> {
    let usage = Arc::clone(context.usage.as_ref()?);
    let counted = Arc::clone(&usage);
    tasks::spawn_part("usage counts", move || Arc::clone(&counted).run());
    Some(UsageReportTask {
        context: Arc::clone(context),
        usage,
        recipient,
    })
}

/// Wraps the table so that peers relay calls while this node cannot reach it, if relaying is
/// configured.
async fn with_relay(
    settings: &ServingSettings,
    table: Arc<dyn Table>,
) -> Result<(Arc<dyn Table>, Option<Arc<Peers>>), StartError> {
    match settings.peer_address {
        Some(address) if settings.policies.relay_table_calls => {
            let listener = listen(address).await?;
            let (table, peers) = relay::start(settings, table, listener);
            Ok((table, Some(peers)))
        }
        _ => Ok((table, None)),
    }
}

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
            leases: follow(
                Arc::clone(table),
                rows::LEASES,
                rows::OWNERS,
                timings.leases,
            ),
        }
    }
}

fn build_context(
    settings: ServingSettings,
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
    let leased_sets = watch_leased_sets(views.leases.clone());
    pools.follow(directory.clone(), in_force.clone(), leased_sets.clone());
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
    );
    let has_keys = dialect.headers().idempotency_key.is_some();
    let claims = has_keys.then(|| Claims::new(&settings, Arc::clone(&table)));
    NodeContext {
        claims,
        in_force,
        connections,
        settings,
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
        leased_sets,
        lease_poll_timing,
        fleet,
        zone_work,
        suspension_guard,
        usage,
        engine_supply,
    }
}

fn serve_callers(context: &Arc<NodeContext>, listener: TcpListener, tracker: ConnectionTracker) {
    let seed = digest(context.settings.instance.as_str().as_bytes()) as f64 / u64::MAX as f64;
    let call_handler = Arc::new(CallHandler::new(Arc::clone(context), seed));
    let context = Arc::clone(context);
    let settings = move || {
        let limits = context.limits();
        ListenerSettings {
            header_bytes: limits.header_bytes,
            idle_timeout: limits.idle_timeout,
        }
    };
    spawn_listener(listener, settings, tracker, move |request| {
        let call_handler = Arc::clone(&call_handler);
        async move { call_handler.answer(request).await }
    });
}

/// Serves the readiness check. The node is ready once it has read a configuration, the back ends
/// and the quarantined requests, until it stops.
fn serve_ready(context: &Arc<NodeContext>, listener: TcpListener, stopping: CancellationToken) {
    let context = Arc::clone(context);
    let settings = || ListenerSettings {
        header_bytes: 8 * 1024,
        idle_timeout: Duration::from_secs(15),
    };
    let tracker = ConnectionTracker::default();
    spawn_listener(listener, settings, tracker, move |_| {
        let knows_back_ends = !context.directory.borrow().back_ends.is_empty();
        let knows_requests = context.leases.borrow().confirmed_at.is_some();
        let is_ready = context.configuration().is_some()
            && knows_back_ends
            && knows_requests
            && !stopping.is_cancelled();
        let status = match is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { empty_response(status) }
    });
}

/// Serves metrics, and the quarantined requests under a separate path.
fn serve_metrics(context: &Arc<NodeContext>, listener: TcpListener, callers: ConnectionTracker) {
    let context = Arc::clone(context);
    let settings = || ListenerSettings {
        header_bytes: 8 * 1024,
        idle_timeout: Duration::from_secs(15),
    };
    let tracker = ConnectionTracker::default();
    spawn_listener(listener, settings, tracker, move |request| {
        let (method, path) = (request.method(), request.uri().path());
        let answer = context.quarantine.answer_operator(method, path);
        let response = answer.unwrap_or_else(|| {
            telemetry::set_node_gauges(&node_gauges(&context, &callers));
            http::Response::new(full_body(telemetry::render()))
        });
        async move { response }
    });
}

fn node_gauges(context: &NodeContext, callers: &ConnectionTracker) -> NodeGauges {
    let configuration = context.configuration();
    let directory = Arc::clone(&context.directory.borrow());
    let age = |requested_at: Option<BootInstant>| requested_at.map(|at| at.elapsed());
    NodeGauges {
        configuration_revision: configuration.as_ref().map_or(0, |known| known.revision.0),
        configuration_numbers_held: configuration.map_or(0, |known| known.held_numbers.len()),
        directory_version: directory.version.0,
        back_ends_known: directory.back_ends.len(),
        back_ends_listed: directory.total_rows,
        directory_age: age(*context.directory_applied.borrow()),
        operator_age: age(*context.operator_applied.borrow()),
        zones: context.zone_work.evacuated_zones(),
        zones_evacuated: context.in_force.borrow().evacuations.count(),
        back_ends_cold: directory.cold_count(BootInstant::now()),
        requests_quarantined: context.quarantine.assessment().quarantined().count(),
        lease_view_age: context.leases.borrow().age(BootInstant::now()),
        requests: callers.requests(),
        connections: callers.connections(),
    }
}

async fn run_housekeeping(context: Arc<NodeContext>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_PERIOD).await;
        context.connections.sweep();
        telemetry::run_upkeep();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(StartSnafu { address })
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}
