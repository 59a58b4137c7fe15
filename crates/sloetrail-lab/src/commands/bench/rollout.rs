//! How long a new version takes to be on all engines of a service: the daemon's
//! planner in virtual time, at the pace of its owner's loop.

use clap::{Arg, ArgMatches, Command, value_parser};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use sloetrail_rollout::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep, WeightSource};
use sloetrail_types::{EngineId, Timestamp, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

const OLD: WeightVersion = WeightVersion(1);
const NEW: WeightVersion = WeightVersion(2);
/// The owner's loop asks every engine and plans once in this time.
const ROUND_MS: u64 = 100;
/// The owner learns of a publication within this time.
const NOTICE_MS: u64 = 500;
const LIMIT_MS: u64 = 600_000;

pub(super) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("rollout")
        .about("Time and store reads of a weight rollout, in virtual time")
        .after_help("Example: sloetrail-lab bench rollout --engines 178 --load-ms 1000")
        .arg(number("engines", "178", "Engines of the service"))
        .arg(number(
            "load-ms",
            "1000",
            "Time of a load, from a peer or the store",
        ))
        .arg(number("switch-ms", "300", "Pause of a switch"))
        .arg(number(
            "floor-percent",
            "60",
            "Engines that must not be switching",
        ))
        .arg(number("failing-percent", "0", "Steps that fail"))
        .arg(number("seed", "1", "Drives the failures"))
}

#[derive(Serialize)]
struct RolloutReport {
    engines: u64,
    load_ms: u64,
    switch_ms: u64,
    floor_percent: u64,
    failing_percent: u64,
    seconds: f64,
    store_reads: u64,
    switching_at_a_time: usize,
}

struct Underway {
    step: RolloutStep,
    ends_at: u64,
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let mut report = RolloutReport {
        engines: number("engines"),
        load_ms: number("load-ms"),
        switch_ms: number("switch-ms"),
        floor_percent: number("floor-percent"),
        failing_percent: number("failing-percent"),
        seconds: 0.0,
        store_reads: 0,
        switching_at_a_time: 0,
    };
    let finished = roll_out(&mut report, number("seed"));
    println!(
        "{}",
        serde_json::to_string(&report).expect("reports are plain data")
    );
    match finished {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// True if every engine uses the new version in the end.
fn roll_out(report: &mut RolloutReport, seed: u64) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let mut planner = RolloutPlanner::new(RolloutLimits {
        store_reads: 2,
        peer_reads: 2,
        capacity_floor_percent: report.floor_percent as u32,
    });
    let mut engines: BTreeMap<EngineId, EngineWeights> = (0..report.engines)
        .map(|index| {
            let weights = EngineWeights {
                version: OLD,
                loaded: BTreeSet::from([OLD]),
            };
            (EngineId::new(format!("engine-{index:04}")), weights)
        })
        .collect();
    let mut underway: Vec<Underway> = Vec::new();
    let mut now = NOTICE_MS;
    while now < LIMIT_MS {
        let (ended, still): (Vec<Underway>, Vec<Underway>) =
            underway.into_iter().partition(|entry| entry.ends_at <= now);
        underway = still;
        for entry in ended {
            let fails = random.random_range(0..100) < report.failing_percent;
            end_step(&mut planner, &mut engines, &entry.step, now, !fails);
        }
        if engines.values().all(|weights| weights.version == NEW) {
            report.seconds = now as f64 / 1e3;
            return true;
        }
        for step in planner.next_steps(Timestamp(now), NEW, &engines) {
            let length = match &step {
                RolloutStep::Load { source, .. } => {
                    report.store_reads += u64::from(*source == WeightSource::Store);
                    report.load_ms
                }
                RolloutStep::Switch { .. } => report.switch_ms,
            };
            let ends_at = now + length;
            underway.push(Underway { step, ends_at });
        }
        let switching = underway
            .iter()
            .filter(|entry| matches!(entry.step, RolloutStep::Switch { .. }))
            .count();
        report.switching_at_a_time = report.switching_at_a_time.max(switching);
        now += ROUND_MS;
    }
    false
}

fn end_step(
    planner: &mut RolloutPlanner,
    engines: &mut BTreeMap<EngineId, EngineWeights>,
    step: &RolloutStep,
    now: u64,
    succeeded: bool,
) {
    planner.finish(Timestamp(now), step.engine(), succeeded);
    let weights = engines.get_mut(step.engine()).expect("a known engine");
    match step {
        _ if !succeeded => {}
        RolloutStep::Load { version, .. } => drop(weights.loaded.insert(*version)),
        RolloutStep::Switch { version, .. } => weights.version = *version,
    }
}
