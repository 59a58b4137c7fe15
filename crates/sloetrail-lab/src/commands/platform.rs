//! The platform's stand-ins as one process, for nodes that are started by hand.

use crate::fleet::{PlatformSettings, PlatformStandIns};
use crate::history_log::HistoryLog;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

pub(super) fn command() -> Command {
    Command::new("platform")
        .about("Runs the platform's stand-ins until it is killed")
        .after_help(
            "Example: sloetrail-lab platform --first-port 7700\n\
             Five ports in a row: table, objects, machines, scoring, weights.\n\
             Machines are added with POST /lab/machines, faults set with POST /lab/faults.",
        )
        .arg(
            Arg::new("first-port")
                .long("first-port")
                .value_parser(value_parser!(u16).range(1..65_530))
                .help("Ports from the system if absent"),
        )
        .arg(
            Arg::new("history")
                .long("history")
                .value_parser(value_parser!(PathBuf))
                .help("File for one JSON line a call"),
        )
        .arg(super::seed_argument())
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let mut settings = PlatformSettings::assumed(super::seed_of(matches));
    settings.first_port = matches.get_one::<u16>("first-port").copied();
    let history = matches.get_one::<PathBuf>("history");
    settings.history = match history.map(|path| HistoryLog::in_file(path)).transpose() {
        Ok(history) => history,
        Err(error) => {
            eprintln!("platform: {error}");
            return ExitCode::FAILURE;
        }
    };
    match PlatformStandIns::start(settings).await {
        Ok(platform) => {
            let addresses = platform.addresses();
            println!(
                "listening table={} objects={} machines={} scoring={} weights={}",
                addresses.for_nodes.table,
                addresses.for_nodes.objects,
                addresses.for_nodes.machines,
                addresses.for_nodes.scoring,
                addresses.weights
            );
            std::future::pending::<ExitCode>().await
        }
        Err(error) => {
            eprintln!("platform: {error}");
            ExitCode::FAILURE
        }
    }
}
