//! One run: workload, faults, end, judgement.

use super::injector::Injector;
use super::kind::FaultKind;
use crate::fleet::{ProcessFleet, Profile, ProfileName};
use crate::workload::{
    ApplyResult, CallerSettings, CallerTotals, TrainerReport, TrainerSettings, apply_file,
    read_revisions, run_callers, run_racing_operators, run_trainer,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sloetrail_clients::HttpClient;
use sloetrail_history::{CheckBounds, Verdict, check};
use sloetrail_node::messages::ApplyRequest;
use sloetrail_result::ResultCode;
use sloetrail_types::ApplyId;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const NODES_PER_ZONE: usize = 2;
const START_TIMEOUT: Duration = Duration::from_secs(15);
const LAST_WAIT: Duration = Duration::from_secs(90);
const APPLY_PAUSE: Duration = Duration::from_millis(1_500);
const FAULT_SECONDS_MIN: f64 = 2.0;
const FAULT_SECONDS_MAX: f64 = 6.0;
/// Longer than the bound after which a leaving engine gets no new work.
const LEAVING_WATCHED: Duration = Duration::from_secs(4);
const ISOLATION: Duration = Duration::from_secs(12);
const CALM: Duration = Duration::from_millis(1_500);

/// What a run does.
#[derive(Clone, Debug)]
pub(super) struct RunSettings {
    pub(super) seed: u64,
    pub(super) kinds: Vec<FaultKind>,
    pub(super) profile: ProfileName,
    pub(super) during: Duration,
    pub(super) folder: PathBuf,
}

/// The callers, operators and the trainer of a run.
pub(super) struct Workload {
    pub(super) totals: Arc<CallerTotals>,
    cancel: CancellationToken,
    callers: JoinHandle<()>,
    trainer: JoinHandle<TrainerReport>,
    operators: JoinHandle<u64>,
}

/// What the workload saw.
pub(super) struct WorkloadReport {
    pub(super) trainer: TrainerReport,
    pub(super) applies: u64,
}

impl Workload {
    pub(super) fn start(fleet: &ProcessFleet, seed: u64) -> Self {
        let profile = &fleet.profile;
        let totals = Arc::new(CallerTotals::default());
        let cancel = CancellationToken::new();
        let callers = CallerSettings {
            application: profile.application.service.clone(),
            model: profile.model.service.clone(),
            callers: 24,
            pause: Duration::from_millis(30),
            seed,
        };
        let trainer = TrainerSettings {
            run: profile.run.clone(),
            service: profile.model.service.clone(),
            staleness_bound: profile.staleness_bound,
            samples_per_step: 32,
            train_time: Duration::from_millis(500),
            steps_ahead: 1,
            seed,
        };
        let (book, history) = (&fleet.book, &fleet.history);
        Self {
            callers: tokio::spawn(run_callers(
                callers,
                book.clone(),
                history.clone(),
                Arc::clone(&totals),
                cancel.clone(),
            )),
            trainer: tokio::spawn(run_trainer(
                trainer,
                book.clone(),
                history.clone(),
                cancel.clone(),
                LAST_WAIT,
            )),
            operators: tokio::spawn(run_racing_operators(
                profile.text.to_owned(),
                book.clone(),
                history.clone(),
                APPLY_PAUSE,
                seed,
                cancel.clone(),
            )),
            totals,
            cancel,
        }
    }

    /// Lets the last requests and samples end.
    pub(super) async fn finish(self) -> Result<WorkloadReport, String> {
        self.cancel.cancel();
        self.callers.await.map_err(|error| error.to_string())?;
        let trainer = self.trainer.await.map_err(|error| error.to_string())?;
        let applies = self.operators.await.map_err(|error| error.to_string())?;
        Ok(WorkloadReport { trainer, applies })
    }
}

/// Runs one seed; true if everything held and everything was checked.
pub(super) async fn run(settings: RunSettings) -> Result<bool, String> {
    let mut fleet = start_fleet(&settings).await?;
    let workload = Workload::start(&fleet, settings.seed);
    let mut injector = Injector::new(StdRng::seed_from_u64(settings.seed));
    inject(&mut fleet, &mut injector, &settings).await?;
    leave_as_planned(&mut fleet, &mut injector).await?;
    eprintln!("faults: calm; letting the last requests and samples end");
    let totals = Arc::clone(&workload.totals);
    let report = workload.finish().await?;
    let verdicts = end_and_judge(fleet).await?;
    print_workload(&totals, &report);
    for (kind, count) in &injector.counts {
        println!("fault {:<18} happened={count}", kind.name());
    }
    Ok(print_verdicts(&verdicts) && report.trainer.complete)
}

/// Starts the platform, the engines and the nodes, and applies the example file.
pub(super) async fn start_fleet(settings: &RunSettings) -> Result<ProcessFleet, String> {
    let profile = Profile::of(settings.profile);
    eprintln!(
        "faults: seed {}, logs and histories in {}",
        settings.seed,
        settings.folder.display()
    );
    let mut fleet = ProcessFleet::start(profile, settings.folder.clone(), settings.seed)
        .await
        .map_err(|error| error.to_string())?;
    for zone in fleet.profile.zones.clone() {
        for _ in 0..NODES_PER_ZONE {
            let added = fleet.add_node(zone.clone()).await;
            added.map_err(|error| error.to_string())?;
        }
    }
    apply_first(&fleet, settings.seed).await?;
    Ok(fleet)
}

async fn apply_first(fleet: &ProcessFleet, seed: u64) -> Result<(), String> {
    let http = HttpClient::new();
    let mut random = StdRng::seed_from_u64(seed);
    let deadline = Instant::now() + START_TIMEOUT;
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let entry = fleet.book.any(&mut random).ok_or("there is no node")?;
        let request = ApplyRequest {
            apply: ApplyId::new(format!("first-{seed}-{number}")),
            file: fleet.profile.file.to_owned(),
            text: fleet.profile.text.to_owned(),
            base_revision: None,
        };
        let (book, history) = (&fleet.book, &fleet.history);
        let result = apply_file(&http, book, history, &entry, &request, &mut random).await;
        if matches!(result, ApplyResult::Accepted(_)) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err("the first apply was not accepted".to_owned())
}

async fn inject(
    fleet: &mut ProcessFleet,
    injector: &mut Injector,
    settings: &RunSettings,
) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(settings.seed ^ 0x5eed);
    let end = Instant::now() + settings.during;
    let mut previous: Option<FaultKind> = None;
    tokio::time::sleep(CALM).await;
    while Instant::now() < end {
        let mut kinds = vec![choose(&settings.kinds, previous, &mut random)];
        if random.random_bool(0.5) {
            kinds.push(choose(&settings.kinds, previous, &mut random));
        }
        previous = kinds.last().copied();
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
        eprintln!("faults: {}", names.join(" and "));
        for kind in &kinds {
            let begun = injector.begin(fleet, *kind).await;
            begun.map_err(|error| error.to_string())?;
        }
        tokio::time::sleep(length_of(&kinds, &mut random)).await;
        let ended = injector.end_all(fleet).await;
        ended.map_err(|error| error.to_string())?;
        tokio::time::sleep(CALM).await;
    }
    Ok(())
}

/// How long faults last. An isolated zone stays so for longer than the bound
/// after which an accepted configuration must be in force.
fn length_of(kinds: &[FaultKind], random: &mut StdRng) -> Duration {
    let seconds = random.random_range(FAULT_SECONDS_MIN..FAULT_SECONDS_MAX);
    match kinds.contains(&FaultKind::IsolateZone) {
        true => ISOLATION,
        false => Duration::from_secs_f64(seconds),
    }
}

/// Every run ends with a drain and a stop under load, so that what must hold of
/// planned departures is looked at whatever the seed chose.
pub(super) async fn leave_as_planned(
    fleet: &mut ProcessFleet,
    injector: &mut Injector,
) -> Result<(), String> {
    for kind in [
        FaultKind::DrainEngine,
        FaultKind::ListLeaving,
        FaultKind::StopNode,
    ] {
        eprintln!("faults: {} as planned", kind.name());
        let begun = injector.begin(fleet, kind).await;
        begun.map_err(|error| error.to_string())?;
    }
    tokio::time::sleep(LEAVING_WATCHED).await;
    let ended = injector.end_all(fleet).await;
    ended.map_err(|error| error.to_string())
}

/// A kind by chance; now and then the same as before.
fn choose(kinds: &[FaultKind], previous: Option<FaultKind>, random: &mut StdRng) -> FaultKind {
    match previous {
        Some(previous) if random.random_bool(0.2) => previous,
        _ => *kinds.choose(random).expect("there is a kind"),
    }
}

/// Stops every node as an operator would and judges the history.
pub(super) async fn end_and_judge(mut fleet: ProcessFleet) -> Result<Vec<Verdict>, String> {
    read_revisions(&HttpClient::new(), &fleet.book, &fleet.history).await;
    for node in fleet.node_ids() {
        fleet.stop_node(&node).await;
    }
    let events = fleet.collect_history().map_err(|error| error.to_string())?;
    let path = fleet.folder().join("history.jsonl");
    let mut file = std::fs::File::create(&path).map_err(|error| error.to_string())?;
    for event in &events {
        let line = serde_json::to_string(event).expect("events are plain data");
        writeln!(file, "{line}").map_err(|error| error.to_string())?;
    }
    Ok(check(&events, CheckBounds::default()))
}

/// Prints what the workload saw.
pub(super) fn print_workload(totals: &CallerTotals, report: &WorkloadReport) {
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "requests sent={} whole={} problems={} not_run={} unanswered={}",
        count(&totals.sent),
        count(&totals.whole),
        count(&totals.problems),
        count(&totals.not_run),
        count(&totals.unanswered)
    );
    for (code, count) in totals.codes.lock().expect("not poisoned").iter() {
        let title = ResultCode::from_number(*code).map_or("unknown", ResultCode::title);
        println!("  refused {count} x {code} {title}");
    }
    let trainer = &report.trainer;
    println!(
        "samples submitted={} taken={} withdrawn={} steps={} idle={:.0}% staleness max={} complete={}",
        trainer.submitted,
        trainer.taken,
        trainer.withdrawn,
        trainer.steps,
        100.0 * trainer.idle.as_secs_f64() / trainer.total.as_secs_f64().max(0.001),
        trainer.staleness_max,
        trainer.complete
    );
    println!("applies accepted={}", report.applies);
}

/// Prints the verdicts; true if all hold and the run's own recording told all that there is
/// to look at.
pub(super) fn print_verdicts(verdicts: &[Verdict]) -> bool {
    for verdict in verdicts {
        println!("{verdict}");
    }
    verdicts.iter().all(Verdict::holds_in_full)
}
