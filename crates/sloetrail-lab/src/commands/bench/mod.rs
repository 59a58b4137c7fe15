//! Measurements.

mod control;
mod gateway;
mod hollow_platform;
mod overload;
mod process_stats;
mod rollout;

use clap::{ArgMatches, Command};
use std::future::Future;
use std::pin::Pin;
use std::process::ExitCode;

pub(super) fn command() -> Command {
    Command::new("bench")
        .about("Measures the system on this machine")
        .subcommand_required(true)
        .subcommand(control::command())
        .subcommand(gateway::command())
        .subcommand(overload::command())
        .subcommand(rollout::command())
        .subcommand(hollow_platform::command())
}

pub(super) fn run(matches: &ArgMatches) -> Pin<Box<dyn Future<Output = ExitCode> + '_>> {
    match matches.subcommand() {
        Some(("control", matches)) => Box::pin(control::run(matches)),
        Some(("rollout", matches)) => Box::pin(std::future::ready(rollout::run(matches))),
        Some(("overload", matches)) => Box::pin(overload::run(matches)),
        Some(("gateway", matches)) => Box::pin(gateway::run(matches)),
        Some(("hollow-platform", matches)) => Box::pin(hollow_platform::run(matches)),
        _ => Box::pin(async { ExitCode::FAILURE }),
    }
}
