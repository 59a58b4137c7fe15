//! The whole path with every program as a process of its own: the operators'
//! command line, nodes, engines; stopped by SIGTERM.

use serde_json::Value;
use sloetrail_history::{CheckBounds, EventBody, check};
use sloetrail_lab::fleet::{ProcessFleet, Profile, ProfileName, sibling_program};
use sloetrail_lab::workload::{
    CallerSettings, CallerTotals, TrainerSettings, run_callers, run_trainer,
};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const SEED: u64 = 5;
const WAIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sloetrail-test-{}-{name}", std::process::id()))
}

/// Runs the operators' command line; its exit code and JSON.
async fn sloetrail(arguments: Vec<String>) -> (i32, Value) {
    let program = sibling_program("sloetrail").expect("the command line is built");
    let output = tokio::process::Command::new(program)
        .args(["--output", "json"])
        .args(arguments)
        .output()
        .await
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let json = serde_json::from_str(&text).unwrap_or(Value::Null);
    (output.status.code().unwrap_or(-1), json)
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT;
    while !condition() {
        assert!(Instant::now() < deadline, "in time: {what}");
        tokio::time::sleep(POLL).await;
    }
}

fn samples_taken(fleet: &ProcessFleet) -> usize {
    let events = fleet.history.events();
    let taken = events
        .iter()
        .filter(|event| matches!(event.body, EventBody::SampleTaken { .. }));
    taken.count()
}

/// Weight versions that the trainer's samples name.
fn versions_taken(fleet: &ProcessFleet) -> usize {
    let mut versions = std::collections::BTreeSet::new();
    for event in fleet.history.events() {
        if let EventBody::SampleTaken { segments, .. } = event.body {
            versions.extend(segments.iter().map(|segment| segment.version));
        }
    }
    versions.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_whole_path_in_separate_processes_through_changes_and_stops() {
    let profile = Profile::of(ProfileName::Oyelaran);
    let run_folder = folder("path");
    let mut fleet = ProcessFleet::start(profile.clone(), run_folder.clone(), SEED)
        .await
        .expect("the fleet starts");
    for zone in profile.zones.clone() {
        fleet.add_node(zone).await.expect("the node starts");
    }
    let file = format!("{}/../../{}", env!("CARGO_MANIFEST_DIR"), profile.file);
    let nodes: Vec<String> = fleet
        .book
        .all()
        .iter()
        .map(|entry| entry.address.to_string())
        .collect();
    operate(&nodes, &file).await;

    let totals = Arc::new(CallerTotals::default());
    let cancel = CancellationToken::new();
    let callers = CallerSettings {
        application: profile.application.service.clone(),
        model: profile.model.service.clone(),
        callers: 8,
        pause: Duration::from_millis(30),
        seed: SEED,
    };
    let trainer = TrainerSettings {
        run: profile.run.clone(),
        service: profile.model.service.clone(),
        staleness_bound: profile.staleness_bound,
        samples_per_step: 16,
        train_time: Duration::from_millis(100),
        steps_ahead: 1,
        seed: SEED,
    };
    let (book, history) = (fleet.book.clone(), fleet.history.clone());
    let callers = tokio::spawn(run_callers(
        callers,
        book.clone(),
        history.clone(),
        Arc::clone(&totals),
        cancel.clone(),
    ));
    let trainer = tokio::spawn(run_trainer(trainer, book, history, cancel.clone(), WAIT));

    until("two weight versions", || versions_taken(&fleet) >= 2).await;
    let engines = fleet.engine_ids(&profile.model.service);
    fleet.kill_engine(&engines[0]).await;
    let (code, _) = sloetrail(vec![
        "drain".into(),
        "--node".into(),
        nodes.join(","),
        engines[1].to_string(),
    ])
    .await;
    assert_eq!(code, 0, "the drain is carried out");
    let before = samples_taken(&fleet);
    until("samples after the crash", || samples_taken(&fleet) > before).await;
    let stopped = fleet.node_ids()[0].clone();
    assert_eq!(fleet.stop_node(&stopped).await, 0);
    let before = samples_taken(&fleet);
    until("samples after the stop", || samples_taken(&fleet) > before).await;

    cancel.cancel();
    callers.await.expect("callers do not panic");
    let report = trainer.await.expect("the trainer does not panic");
    assert!(report.complete, "{report:?}");
    assert!(totals.whole.load(Ordering::Relaxed) > 0);
    for node in fleet.node_ids() {
        assert_eq!(fleet.stop_node(&node).await, 0);
    }
    let events = fleet.collect_history().expect("readable");
    for verdict in check(&events, CheckBounds::default()) {
        assert!(verdict.violations.is_empty(), "{verdict}");
    }
    drop(fleet);
    std::fs::remove_dir_all(run_folder).expect("the run made its folder");
}

/// What an operator does first: plan, apply, read back, apply from an old revision.
async fn operate(nodes: &[String], file: &str) {
    let with_node = |command: &str, more: &[&str]| -> Vec<String> {
        let mut arguments = vec![command.to_owned(), "--node".to_owned(), nodes.join(",")];
        arguments.extend(more.iter().map(|text| (*text).to_owned()));
        arguments
    };
    let (code, plan) = sloetrail(with_node("plan", &[file])).await;
    assert_eq!(code, 0);
    assert_eq!(plan["base_revision"], 0);
    assert!(!plan["changes"].as_array().expect("a list").is_empty());
    let apply = &["--base", "0", "--id", "first", file];
    let (code, accepted) = sloetrail(with_node("apply", apply)).await;
    assert_eq!(
        (code, &accepted["accepted"]["revision"]),
        (0, &Value::from(1))
    );
    let (code, again) = sloetrail(with_node("get", &["--apply", "first"])).await;
    assert_eq!((code, &again["accepted"]["revision"]), (0, &Value::from(1)));
    let (code, conflict) = sloetrail(with_node("apply", &["--base", "0", file])).await;
    assert_eq!(
        (code, &conflict["problem"]["code"]),
        (1, &Value::from(2101))
    );
    let (code, never) = sloetrail(with_node("get", &["--apply", "never-sent"])).await;
    assert_eq!((code, &never["problem"]["code"]), (1, &Value::from(2104)));
    let (code, plan) = sloetrail(with_node("plan", &[file])).await;
    assert_eq!((code, &plan["changes"]), (0, &Value::Array(Vec::new())));
    let deadline = Instant::now() + WAIT;
    loop {
        let (code, report) = sloetrail(with_node("get", &[])).await;
        assert_eq!(code, 0);
        let zones = report["configuration"]["zones"].as_array().expect("a list");
        if zones.len() == 3 && zones.iter().all(|zone| zone["revision"] == 1) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "in force in every zone: {report}"
        );
        tokio::time::sleep(POLL).await;
    }
}

#[test]
fn a_short_run_under_failure_holds_and_leaves_nothing_unchecked() {
    let run_folder = folder("faults");
    let output = Command::new(env!("CARGO_BIN_EXE_sloetrail-lab"))
        .args([
            "faults",
            "--profile",
            "maelir",
            "--seed",
            "7",
            "--seconds",
            "8",
        ])
        .args(["--only", "kill-node,kill-engine,lost-answers,stop-node"])
        .arg("--folder")
        .arg(&run_folder)
        .output()
        .expect("the lab is built");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{text}\n{log}");
    for invariant in 1..=9 {
        assert!(text.contains(&format!("I{invariant} held")), "{text}");
    }
    std::fs::remove_dir_all(run_folder).expect("the run made its folder");
}
