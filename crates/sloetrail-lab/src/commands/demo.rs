//! The whole path in one process, through a weight change, an engine crash, a
//! drain and a stop, judged at the end.

use crate::fleet::{LocalFleet, Profile, ProfileName};
use crate::history_log::HistoryLog;
use crate::workload::{
    ApplyResult, CallerSettings, CallerTotals, TrainerReport, TrainerSettings, apply_file,
    read_revisions, run_callers, run_trainer, send_json,
};
use http::Method;
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use sloetrail_clients::HttpClient;
use sloetrail_config::Bounds;
use sloetrail_history::{CheckBounds, Verdict, check};
use sloetrail_node::messages::ApplyRequest;
use sloetrail_result::ResultCode;
use sloetrail_types::{ApplyId, EngineId, Revision, ServiceName};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const READY_TIMEOUT: Duration = Duration::from_secs(10);
const PHASE: Duration = Duration::from_millis(2_500);
const LAST_WAIT: Duration = Duration::from_secs(8);

#[derive(Serialize)]
struct DemoReport {
    requests_sent: u64,
    requests_whole: u64,
    requests_refused: u64,
    refusals_by_code: BTreeMap<u16, u64>,
    samples_submitted: u64,
    samples_delivered: u64,
    weight_versions_in_force: usize,
    configuration_revision: u64,
    engines_crashed: u64,
    engines_drained: u64,
    nodes_stopped: u64,
    seconds: f64,
    violations: usize,
}

impl DemoReport {
    fn is_good(&self) -> bool {
        let counts = [
            self.requests_sent,
            self.requests_whole,
            self.samples_submitted,
            self.samples_delivered,
            self.weight_versions_in_force as u64,
            self.configuration_revision,
        ];
        self.violations == 0 && counts.iter().all(|count| *count > 0)
    }
}

/// Runs the demonstration.
pub(super) async fn run(seed: u64, json: bool) -> ExitCode {
    let started = Instant::now();
    match demonstrate(seed).await {
        Err(reason) => {
            eprintln!("demo: {reason}");
            ExitCode::FAILURE
        }
        Ok((mut report, verdicts)) => {
            report.seconds = started.elapsed().as_secs_f64();
            print_report(&report, &verdicts, json);
            match report.is_good() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
    }
}

async fn demonstrate(seed: u64) -> Result<(DemoReport, Vec<Verdict>), String> {
    let profile = Profile::of(ProfileName::Oyelaran);
    let history = HistoryLog::in_memory();
    progress("Starting the platform's stand-ins, 11 back ends and three nodes.");
    let mut fleet = LocalFleet::start(profile.clone(), history.clone(), seed)
        .await
        .map_err(|error| error.to_string())?;
    for zone in profile.zones.clone() {
        let node = fleet.add_node(zone, Bounds::default()).await;
        node.map_err(|error| error.to_string())?;
    }
    let revision = apply_example(&fleet, seed).await?;
    progress(&format!("Applied {} as revision {revision}.", profile.file));
    let totals = Arc::new(CallerTotals::default());
    let cancel = CancellationToken::new();
    let callers = tokio::spawn(run_callers(
        caller_settings(&profile, seed),
        fleet.book.clone(),
        history.clone(),
        Arc::clone(&totals),
        cancel.clone(),
    ));
    let trainer = tokio::spawn(run_trainer(
        trainer_settings(&profile, seed),
        fleet.book.clone(),
        history.clone(),
        cancel.clone(),
        LAST_WAIT,
    ));
    progress("Callers and a trainer are at work.");
    let versions = disturb(&mut fleet).await?;
    cancel.cancel();
    progress("Letting the last requests and samples end.");
    callers.await.map_err(|error| error.to_string())?;
    let trained = trainer.await.map_err(|error| error.to_string())?;
    read_revisions(&HttpClient::new(), &fleet.book, &history).await;
    fleet.stop().await;
    let verdicts = check(&history.events(), CheckBounds::default());
    let report = summarize(&totals, &trained, versions, revision, &verdicts);
    Ok((report, verdicts))
}

/// A weight change (by the trainer), an engine crash, a drain and a node's stop.
async fn disturb(fleet: &mut LocalFleet) -> Result<usize, String> {
    let mut versions = BTreeSet::new();
    observe_versions(fleet, PHASE, &mut versions).await;
    let crashed = engine_of(fleet, 0)?;
    progress(&format!("Engine {crashed} crashes."));
    fleet.crash_engine(&crashed);
    observe_versions(fleet, PHASE, &mut versions).await;
    let drained = engine_of(fleet, 1)?;
    progress(&format!("Draining engine {drained}."));
    drain(fleet, &drained).await?;
    observe_versions(fleet, PHASE, &mut versions).await;
    let node = fleet.nodes()[0].id().clone();
    progress(&format!("Stopping node {node}."));
    fleet.stop_node(&node).await;
    observe_versions(fleet, PHASE, &mut versions).await;
    Ok(versions.len())
}

async fn observe_versions(fleet: &LocalFleet, during: Duration, versions: &mut BTreeSet<u64>) {
    let end = Instant::now() + during;
    while Instant::now() < end {
        let model: &ServiceName = &fleet.profile.model.service;
        let engines = fleet.engines.iter();
        let of_model = engines.filter(|engine| engine.service() == model);
        versions.extend(of_model.map(|engine| engine.version().0));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn engine_of(fleet: &LocalFleet, place: usize) -> Result<EngineId, String> {
    let model = &fleet.profile.model.service;
    let mut engines = fleet.engines.iter();
    engines
        .by_ref()
        .filter(|engine| engine.service() == model)
        .nth(place)
        .map(|engine| engine.id().clone())
        .ok_or_else(|| "there are too few engines".to_owned())
}

async fn drain(fleet: &LocalFleet, engine: &EngineId) -> Result<(), String> {
    let http = HttpClient::new();
    let path = format!("/v1/engines/{engine}/drain");
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        for entry in fleet.book.all() {
            let request = http::Request::post(format!("http://{}{path}", entry.address))
                .body(http_body_util::Full::default())
                .map_err(|error| error.to_string())?;
            let answer = http.fetch(request, Duration::from_secs(4), 65_536).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!("engine {engine} was not drained"))
}

async fn apply_example(fleet: &LocalFleet, seed: u64) -> Result<Revision, String> {
    let http = HttpClient::new();
    let mut random = StdRng::seed_from_u64(seed);
    let entry = fleet.book.any(&mut random).ok_or("there is no node")?;
    let request = ApplyRequest {
        apply: ApplyId::new(format!("demo-{seed}")),
        file: fleet.profile.file.to_owned(),
        text: fleet.profile.text.to_owned(),
        base_revision: None,
    };
    let deadline = Instant::now() + READY_TIMEOUT;
    let result = apply_file(
        &http,
        &fleet.book,
        &fleet.history,
        &entry,
        &request,
        &mut random,
    )
    .await;
    let ApplyResult::Accepted(revision) = result else {
        return Err(format!("the apply ended as {result:?}"));
    };
    while Instant::now() < deadline {
        let mut ready = 0;
        for entry in fleet.book.all() {
            let answer = send_json::<(), serde_json::Value>(
                &http,
                Method::GET,
                entry.address,
                "/v1/status",
                None,
                Duration::from_secs(2),
            );
            let status = answer.await.value();
            ready += usize::from(status.is_some_and(|status| status["phase"] == "ready"));
        }
        if ready == fleet.book.all().len() {
            return Ok(revision);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("the nodes did not become ready".to_owned())
}

fn caller_settings(profile: &Profile, seed: u64) -> CallerSettings {
    CallerSettings {
        application: profile.application.service.clone(),
        model: profile.model.service.clone(),
        callers: 12,
        pause: Duration::from_millis(20),
        seed,
    }
}

fn trainer_settings(profile: &Profile, seed: u64) -> TrainerSettings {
    TrainerSettings {
        run: profile.run.clone(),
        service: profile.model.service.clone(),
        staleness_bound: profile.staleness_bound,
        samples_per_step: 32,
        train_time: Duration::from_millis(300),
        steps_ahead: 1,
        seed,
    }
}

fn summarize(
    totals: &CallerTotals,
    trained: &TrainerReport,
    versions: usize,
    revision: Revision,
    verdicts: &[Verdict],
) -> DemoReport {
    DemoReport {
        requests_sent: totals.sent.load(Ordering::Relaxed),
        requests_whole: totals.whole.load(Ordering::Relaxed),
        requests_refused: totals.problems.load(Ordering::Relaxed),
        refusals_by_code: totals.codes.lock().expect("not poisoned").clone(),
        samples_submitted: trained.submitted,
        samples_delivered: trained.taken,
        weight_versions_in_force: versions,
        configuration_revision: revision.0,
        engines_crashed: 1,
        engines_drained: 1,
        nodes_stopped: 1,
        seconds: 0.0,
        violations: verdicts
            .iter()
            .map(|verdict| verdict.violations.len())
            .sum(),
    }
}

fn progress(text: &str) {
    eprintln!("demo: {text}");
}

fn print_report(report: &DemoReport, verdicts: &[Verdict], json: bool) {
    println!(
        "requests     sent {}, whole {}, refused {}",
        report.requests_sent, report.requests_whole, report.requests_refused
    );
    for (code, count) in &report.refusals_by_code {
        let title = ResultCode::from_number(*code).map_or("unknown", ResultCode::title);
        println!("  refused    {count} x {code} {title}");
    }
    println!(
        "samples      submitted {}, delivered {}",
        report.samples_submitted, report.samples_delivered
    );
    println!(
        "weights      versions in force {}",
        report.weight_versions_in_force
    );
    println!("events       1 engine crash, 1 engine drain, 1 node stop");
    println!("time         {:.1} s", report.seconds);
    for verdict in verdicts {
        println!("{verdict}");
    }
    if json {
        let line = serde_json::to_string(report).expect("reports are plain data");
        println!("{line}");
    }
}
