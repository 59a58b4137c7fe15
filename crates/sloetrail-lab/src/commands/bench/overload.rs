//! Goodput below, at and above capacity, and after the overload has ended; with
//! the node's limits and with all of them off, as a baseline.

use super::gateway::apply_to_fleet;
use crate::fleet::{LocalFleet, Profile, ProfileName};
use crate::history_log::HistoryLog;
use crate::workload::{OpenLoopReport, OpenLoopSettings, run_open_loop};
use clap::{Arg, ArgMatches, Command, value_parser};
use sloetrail_config::Bounds;
use std::process::ExitCode;
use std::time::Duration;

const BACK_ENDS: usize = 3;
const PLACES_EACH: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const USEFUL_WITHIN: Duration = Duration::from_millis(1_000);
const PHASES: [(&str, f64); 5] = [
    ("half", 0.5),
    ("full", 0.95),
    ("double", 2.0),
    ("double again", 2.0),
    ("half after", 0.5),
];
const GOAL_SHARE: f64 = 0.9;

pub(super) fn command() -> Command {
    Command::new("overload")
        .about("Goodput under twice the capacity and after it, with and without limits")
        .after_help("Example: sloetrail-lab bench overload --seconds 8")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("8")
                .help("Length of each phase"),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let seconds: u64 = *matches.get_one("seconds").expect("it has a default");
    let phase = Duration::from_secs(seconds);
    let baseline = measure("baseline", &service_file(4_096, 100_000, 100), phase).await;
    let limited = measure("limits", &service_file(64, 256, 10), phase).await;
    match (baseline, limited) {
        (Ok(_), Ok(share)) if share >= GOAL_SHARE => ExitCode::SUCCESS,
        (Err(reason), _) | (_, Err(reason)) => {
            eprintln!("bench overload: {reason}");
            ExitCode::FAILURE
        }
        _ => ExitCode::FAILURE,
    }
}

fn service_file(engine_concurrency: usize, queue_limit: usize, retry_percent: u32) -> String {
    format!(
        "version = 1\n[[zone]]\nname = \"ikeja-hall\"\n[[service]]\nname = \"guide-app\"\n\
         kind = \"application\"\nsamplers = {BACK_ENDS}\nrequest_timeout_ms = 1000\n\
         engine_concurrency = {engine_concurrency}\nqueue_limit = {queue_limit}\n\
         retry_budget_percent = {retry_percent}\n"
    )
}

/// Runs the phases and returns the goodput under overload as a share of the peak.
async fn measure(what: &str, file: &str, phase: Duration) -> Result<f64, String> {
    let mut profile = Profile::of(ProfileName::Oyelaran);
    profile.zones.truncate(1);
    profile.model.count = 0;
    profile.application.count = BACK_ENDS;
    let history = HistoryLog::in_memory();
    let started = LocalFleet::start_adjusted(profile.clone(), history, 1, |settings| {
        settings.service_time = SERVICE_TIME;
        settings.application_capacity = PLACES_EACH;
    });
    let mut fleet = started.await.map_err(|error| error.to_string())?;
    for _ in 0..2 {
        let added = fleet.add_node(profile.zones[0].clone(), Bounds::default());
        added.await.map_err(|error| error.to_string())?;
    }
    apply_to_fleet(&fleet, file).await?;
    let capacity = (BACK_ENDS * PLACES_EACH) as f64 / SERVICE_TIME.as_secs_f64();
    let mut peak: f64 = 0.0;
    let mut overloaded = f64::INFINITY;
    for (index, (name, share)) in PHASES.into_iter().enumerate() {
        let settings = OpenLoopSettings {
            path: "/services/guide-app/app/guide".to_owned(),
            rate: capacity * share,
            during: phase,
            useful_within: USEFUL_WITHIN,
            seed: index as u64,
        };
        let report = run_open_loop(settings, &fleet.book).await;
        print_phase(what, name, &report);
        peak = peak.max(report.useful_per_second);
        if share > 1.0 {
            overloaded = overloaded.min(report.useful_per_second);
        }
    }
    fleet.stop().await;
    let share = overloaded / peak;
    println!("{what}: goodput under twice the capacity is {share:.2} of its peak");
    Ok(share)
}

fn print_phase(what: &str, phase: &str, report: &OpenLoopReport) {
    let line = serde_json::to_string(report).expect("reports are plain data");
    println!("{what:<9} {phase:<13} {line}");
}
