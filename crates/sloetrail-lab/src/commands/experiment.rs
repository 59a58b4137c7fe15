//! Policies side by side in virtual time.

use crate::experiment::{ExperimentReport, ExperimentSettings, Policy, simulate};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::process::ExitCode;

pub(super) fn command() -> Command {
    Command::new("experiment")
        .about("Runs a workload through the daemon's decision logic in virtual time")
        .after_help("Example: sloetrail-lab experiment experiments/oyelaran.toml")
        .arg(Arg::new("file").required(true).value_name("FILE"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one line of JSON for each policy and seed"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let file: &String = matches.get_one("file").expect("it is required");
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string());
    let parsed =
        text.and_then(|text| ExperimentSettings::parse(&text).map_err(|error| error.to_string()));
    let settings = match parsed {
        Ok(settings) => settings,
        Err(reason) => {
            eprintln!("experiment: {file}: {reason}");
            return ExitCode::FAILURE;
        }
    };
    let reports = run_all(&settings);
    if matches.get_flag("json") {
        for report in &reports {
            let line = serde_json::to_string(report).expect("reports are plain data");
            println!("{line}");
        }
    }
    print_table(&settings, &reports);
    ExitCode::SUCCESS
}

/// Every policy on every seed, each on a thread of its own.
fn run_all(settings: &ExperimentSettings) -> Vec<ExperimentReport> {
    let mut cases = Vec::new();
    for policy in &settings.policies {
        cases.extend(settings.seeds.iter().map(|seed| (*policy, *seed)));
    }
    std::thread::scope(|scope| {
        let running: Vec<_> = cases
            .into_iter()
            .map(|(policy, seed)| scope.spawn(move || simulate(settings, policy, seed)))
            .collect();
        running
            .into_iter()
            .map(|thread| thread.join().expect("simulations do not panic"))
            .collect()
    })
}

fn print_table(settings: &ExperimentSettings, reports: &[ExperimentReport]) {
    println!(
        "{}: {} seeds, {} steps of {} samples on {} engines; means over seeds, highest max",
        settings.name,
        settings.seeds.len(),
        settings.steps,
        settings.samples_per_step,
        settings.engines
    );
    println!(
        "{:<20} {:>6} {:>9} {:>9} {:>6} {:>4} {:>4} {:>8} {:>10} {:>8}",
        "policy",
        "idle",
        "one-step",
        "overlap",
        "stale",
        "p99",
        "max",
        "again",
        "wasted",
        "rollout"
    );
    for policy in &settings.policies {
        print_row(*policy, reports);
    }
}

fn print_row(policy: Policy, reports: &[ExperimentReport]) {
    let of_policy: Vec<&ExperimentReport> = reports
        .iter()
        .filter(|report| report.policy == policy)
        .collect();
    let mean = |value: &dyn Fn(&ExperimentReport) -> f64| -> f64 {
        let sum: f64 = of_policy.iter().map(|report| value(report)).sum();
        sum / of_policy.len() as f64
    };
    let highest = |value: &dyn Fn(&ExperimentReport) -> u64| -> u64 {
        let values = of_policy.iter().map(|report| value(report));
        values.max().unwrap_or(0)
    };
    let name = serde_json::to_value(policy).expect("policies are plain data");
    println!(
        "{:<20} {:>6.3} {:>9.3} {:>9.3} {:>6.2} {:>4} {:>4} {:>8.0} {:>10.0} {:>7.1}s",
        name.as_str().unwrap_or_default(),
        mean(&|report| report.idle_share),
        mean(&|report| report.idle_bound_one_step),
        mean(&|report| report.idle_bound_overlapping),
        mean(&|report| report.staleness.mean),
        highest(&|report| report.staleness.p99),
        highest(&|report| report.staleness.max),
        mean(&|report| report.regenerated as f64),
        mean(&|report| report.tokens_wasted as f64),
        mean(&|report| report.rollout_seconds_max)
    );
}
