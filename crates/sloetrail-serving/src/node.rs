//! A serving node: its start, its periodic work and its graceful stop.

mod assembly;
mod endpoints;

use self::assembly::build_context;
use self::endpoints::{serve_callers, serve_metrics, serve_ready};
use crate::context::NodeContext;
use crate::dialect::Dialect;
use crate::engine_supply::EngineSupply;
use crate::events::{self, Event};
use crate::gateway::claims::sweep;
use crate::http::ConnectionTracker;
use crate::quarantine;
use crate::relay::{self, peers::Peers};
use crate::settings::ServingSettings;
use crate::shutdown::{Shutdown, StopSchedule};
use crate::supervisor::supervise;
use crate::table::Table;
use crate::tasks;
use crate::telemetry;
use crate::usage::{UsageRecipient, UsageReportTask};
use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(5);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a stopping node tries to write its usage counts, beside the last answers.
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
    shutdown: Shutdown,
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
        let shutdown = Shutdown::default();
        let configured = (settings, shutdown.clone());
        let context = build_context(configured, (table, peers), dialect, schedule, supply);
        let context = Arc::new(context);
        let tracker = ConnectionTracker::new(shutdown.clone());
        serve_callers(&context, callers, tracker.clone());
        serve_ready(&context, ready, shutdown.stopping().clone());
        if let Some(address) = context.settings.metrics_address {
            serve_metrics(&context, listen(address).await?, tracker.clone());
        }
        start_periodic_work(&context);
        let usage = reports.and_then(|(_, recipient)| start_usage(&context, recipient));
        let owners = start_supervisor(&context, usage, shutdown.stopping());
        Ok(Self {
            context,
            callers: tracker,
            callers_address,
            ready_address,
            shutdown,
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

    /// Stops gracefully, in the stages of [`crate::shutdown`]. Leases that are not released in time
    /// expire.
    pub async fn stop(mut self) {
        let schedule = StopSchedule::new(BootInstant::now(), self.context.settings.bounds.grace);
        events::emit(&Event::NodeStopping {
            requests: self.callers.requests(),
            connections: self.callers.connections(),
        });
        self.shutdown.begin(schedule);
        sloetrail_clock::sleep_until(schedule.refuse_at).await;
        self.shutdown.refuse_requests();
        self.report_stage("requests_refused", &schedule);
        // What is not finished by then gets a last answer.
        let _ = sloetrail_clock::timeout_at(schedule.last_answer_at, self.finish_work()).await;
        self.shutdown.give_last_answers();
        self.report_stage("last_answer", &schedule);
        let closing = sloetrail_clock::timeout_at(schedule.close_at, self.wait_closed());
        let _ = tokio::join!(closing, self.flush_usage());
        events::emit(&Event::NodeStopped {
            requests: self.callers.requests(),
        });
    }

    /// Waits until the callers have left, claims are written and leases are released.
    async fn finish_work(&mut self) {
        while self.has_pending_work() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        // Fails only if the runtime shuts down.
        let _ = (&mut self.owners).await;
    }

    async fn wait_closed(&self) {
        while self.callers.connections() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Counts that cannot be written in time are lost, as when the node is killed.
    async fn flush_usage(&self) {
        if let Some(usage) = &self.context.usage {
            let _ = tokio::time::timeout(USAGE_FLUSH_TIMEOUT, usage.flush()).await;
        }
    }

    fn report_stage(&self, stage: &str, schedule: &StopSchedule) {
        events::emit(&Event::NodeStopStage {
            stage,
            after_ms: whole_millis(schedule.signalled_at.elapsed()),
            requests: self.callers.requests(),
            connections: self.callers.connections(),
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
