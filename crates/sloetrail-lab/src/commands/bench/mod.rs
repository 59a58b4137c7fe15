//! Measurements.

mod gateway;
mod overload;
mod rollout;

use clap::{ArgMatches, Command};
use std::future::Future;
use std::pin::Pin;
use std::process::ExitCode;

pub(super) fn command() -> Command {
    Command::new("bench")
        .about("Measures the system on this machine")
        .subcommand_required(true)
        .subcommand(gateway::command())
        .subcommand(overload::command())
        .subcommand(rollout::command())
}

pub(super) fn run(matches: &ArgMatches) -> Pin<Box<dyn Future<Output = ExitCode> + '_>> {
    match matches.subcommand() {
        Some(("rollout", matches)) => Box::pin(std::future::ready(rollout::run(matches))),
        Some(("overload", matches)) => Box::pin(overload::run(matches)),
        Some(("gateway", matches)) => Box::pin(gateway::run(matches)),
        _ => Box::pin(async { ExitCode::FAILURE }),
    }
}
