//! Command-line tool for operators.
//!
//! Exit codes: 0 success, 1 request refused or check failed, 2 invalid arguments or
//! file, 3 no node reachable, 4 outcome unknown (it can be read back).
//! See `docs/OPERATING.md`.

#![forbid(unsafe_code)]

mod apply;
mod arguments;
mod check;
mod client;
mod engine_commands;
mod explain;
mod explain_request;
mod failure;
mod log_files;
mod log_timeline;
mod node_metrics;
mod reports;
mod serving_configuration;
mod step_report;
mod usage_report;
mod zones;

use clap::ArgMatches;
use failure::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let as_json = matches.get_one::<String>("output").map(String::as_str) == Some("json");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the Tokio runtime");
    match runtime.block_on(run(&matches, as_json)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print(as_json);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("validate", matches)) => apply::validate(matches, as_json),
        Some(("plan", matches)) => apply::plan(matches, as_json).await,
        Some(("apply", matches)) => apply::apply(matches, as_json).await,
        Some(("get", matches)) => reports::get(matches, as_json).await,
        Some(("status", matches)) => reports::status(matches, as_json).await,
        Some(("drain", matches)) => engine_commands::drain(matches).await,
        Some(("resume", matches)) => engine_commands::resume(matches).await,
        Some(("explain", matches)) => explain::explain(matches, as_json),
        Some(("explain-request", matches)) => explain_request::explain_request(matches, as_json),
        Some(("step-report", matches)) => step_report::step_report(matches, as_json),
        Some(("usage", matches)) => usage_report::usage_report(matches, as_json),
        Some(("zones", matches)) => zones::zones(matches, as_json).await,
        Some(("check-configuration", matches)) => serving_configuration::check(matches, as_json),
        Some(("check", matches)) => check::check(matches, as_json),
        Some(("replay", matches)) => check::replay(matches, as_json),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
