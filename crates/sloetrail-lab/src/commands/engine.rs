//! One engine or back end as a process.

use crate::history_log::HistoryLog;
use crate::standins::engine::{EngineKind, EngineSettings, FakeEngine};
use clap::{Arg, ArgMatches, Command, value_parser};
use sloetrail_types::{EngineId, ServiceName};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

pub(super) fn command() -> Command {
    let required = |name: &'static str| Arg::new(name).long(name).required(true);
    Command::new("engine")
        .about("Runs one engine or back end until it is killed")
        .after_help(
            "Example: sloetrail-lab engine --id e1 --service vision-lm --kind model \
             --weight-store 127.0.0.1:7704 --history e1.jsonl",
        )
        .arg(required("id"))
        .arg(required("service"))
        .arg(required("kind").value_parser(["model", "application"]))
        .arg(required("weight-store").value_parser(value_parser!(SocketAddr)))
        .arg(required("history").value_parser(value_parser!(PathBuf)))
        .arg(
            Arg::new("address")
                .long("address")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(super::seed_argument())
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    match start(matches).await {
        Ok(engine) => {
            println!("listening http={}", engine.address());
            std::future::pending::<ExitCode>().await
        }
        Err(error) => {
            eprintln!("engine: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn start(matches: &ArgMatches) -> std::io::Result<FakeEngine> {
    let text = |name: &str| matches.get_one::<String>(name).expect("it is required");
    let kind = match text("kind").as_str() {
        "model" => EngineKind::Model,
        _ => EngineKind::Application,
    };
    let weights: SocketAddr = *matches.get_one("weight-store").expect("it is required");
    let settings = EngineSettings::assumed(
        EngineId::new(text("id")),
        ServiceName::new(text("service")),
        kind,
        weights,
    );
    let history: &PathBuf = matches.get_one("history").expect("it is required");
    let history = HistoryLog::in_file(history)?;
    let address: SocketAddr = *matches.get_one("address").expect("it has a default");
    FakeEngine::start(address, settings, history, super::seed_of(matches)).await
}
