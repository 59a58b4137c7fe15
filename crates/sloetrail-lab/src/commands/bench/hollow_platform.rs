//! The platform and hollow samplers in a process of their own, so that they do
//! not count as the nodes' cost.

use crate::fleet::{PlatformSettings, PlatformStandIns};
use crate::standins::Served;
use axum::routing::get;
use axum::{Json, Router};
use clap::{Arg, ArgMatches, Command, value_parser};
use sloetrail_clients::{EngineLoadState, EngineStatus, Machine, MachineRole, MachineState};
use sloetrail_types::{EngineId, Epoch, ServiceName, WeightVersion, ZoneName};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// The service of the hollow samplers.
pub(super) const SERVICE: &str = "hollow-lm";
const CAPACITY: u32 = 64;

/// The name of a zone of the bench.
pub(super) fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

pub(super) fn command() -> Command {
    let number = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(usize))
    };
    Command::new("hollow-platform")
        .hide(true)
        .about("Started by `bench control`")
        .arg(number("samplers"))
        .arg(number("zones"))
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let samplers: usize = *matches.get_one("samplers").expect("it is required");
    let zones: usize = *matches.get_one("zones").expect("it is required");
    match start(samplers, zones).await {
        Ok((platform, _served)) => {
            let addresses = platform.addresses().for_nodes;
            println!(
                "listening table={} objects={} machines={} scoring={}",
                addresses.table, addresses.objects, addresses.machines, addresses.scoring
            );
            std::future::pending::<ExitCode>().await
        }
        Err(error) => {
            eprintln!("hollow-platform: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn start(samplers: usize, zones: usize) -> std::io::Result<(PlatformStandIns, Vec<Served>)> {
    let mut settings = PlatformSettings::assumed(1);
    // The start of a whole fleet at once is not what is measured.
    settings.table_per_second = 100_000.0;
    settings.list_lag = Duration::ZERO;
    let platform = PlatformStandIns::start(settings).await?;
    let mut served = Vec::new();
    let mut machines = Vec::new();
    for index in 0..samplers {
        let engine = EngineId::new(format!("{SERVICE}-{index:04}"));
        let sampler = serve_status(engine.clone()).await?;
        machines.push(Machine {
            id: engine.to_string(),
            role: MachineRole::Engine,
            zone: zone_name(index % zones),
            service: Some(ServiceName::from(SERVICE)),
            address: sampler.address(),
            gossip_address: None,
            state: MachineState::Live,
        });
        served.push(sampler);
    }
    platform.machines.add_all(machines);
    Ok((platform, served))
}

async fn serve_status(engine: EngineId) -> std::io::Result<Served> {
    let status = EngineStatus {
        engine,
        service: ServiceName::from(SERVICE),
        state: EngineLoadState::Serving,
        version: WeightVersion(1),
        loaded: vec![WeightVersion(1)],
        running: CAPACITY / 2,
        queued: 0,
        capacity: CAPACITY,
        epoch: Epoch(1),
    };
    let router = Router::new().route(
        "/v1/status",
        get(move || std::future::ready(Json(status.clone()))),
    );
    Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
}
