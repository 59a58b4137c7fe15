//! One long outage of the store, and how soon everything has caught up after it.

use super::injector::Injector;
use super::run::{
    RunSettings, Workload, end_and_judge, leave_as_planned, print_verdicts, print_workload,
    start_fleet,
};
use crate::fleet::ProcessFleet;
use crate::standins::Faults;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_history::EventBody;
use sloetrail_types::Revision;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WARM_UP: Duration = Duration::from_secs(6);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
const RECOVERY_GOAL: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);

/// Takes the store down once; true if everything held and caught up in time.
pub(super) async fn run(settings: RunSettings, outage: Duration) -> Result<bool, String> {
    let mut fleet = start_fleet(&settings).await?;
    let workload = Workload::start(&fleet, settings.seed);
    tokio::time::sleep(WARM_UP).await;
    eprintln!("faults: the store is down for {} s", outage.as_secs());
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    set_store(&fleet, &down);
    fleet.history.record(EventBody::FaultInjected {
        fault: "store-down".to_owned(),
    });
    tokio::time::sleep(outage).await;
    let before = Progress::of(&fleet);
    set_store(&fleet, &Faults::default());
    let back_at = Instant::now();
    let samples = until(back_at, || Progress::of(&fleet).taken > before.taken).await;
    let configuration = until(back_at, || Progress::of(&fleet).accepted > before.accepted).await;
    let mut injector = Injector::new(StdRng::seed_from_u64(settings.seed));
    leave_as_planned(&mut fleet, &mut injector).await?;
    let totals = Arc::clone(&workload.totals);
    let report = workload.finish().await?;
    let verdicts = end_and_judge(fleet).await?;
    print_workload(&totals, &report);
    println!(
        "caught up samples={} configuration={}",
        shown(samples),
        shown(configuration)
    );
    let in_time = |time: Option<Duration>| time.is_some_and(|time| time <= RECOVERY_GOAL);
    let held = print_verdicts(&verdicts);
    Ok(held && report.trainer.complete && in_time(samples) && in_time(configuration))
}

fn set_store(fleet: &ProcessFleet, faults: &Faults) {
    fleet.platform.table.faults.set(faults.clone());
    fleet.platform.objects.faults.set(faults.clone());
}

/// How far samples and configuration have come.
struct Progress {
    taken: usize,
    accepted: Revision,
}

impl Progress {
    fn of(fleet: &ProcessFleet) -> Self {
        let mut progress = Self {
            taken: 0,
            accepted: Revision(0),
        };
        for event in fleet.history.events() {
            match event.body {
                EventBody::SampleTaken { .. } => progress.taken += 1,
                EventBody::ApplyAnswered {
                    outcome: sloetrail_history::ApplyOutcome::Accepted(revision),
                    ..
                } => progress.accepted = progress.accepted.max(revision),
                _ => {}
            }
        }
        progress
    }
}

async fn until(since: Instant, condition: impl Fn() -> bool) -> Option<Duration> {
    while since.elapsed() < RECOVERY_TIMEOUT {
        if condition() {
            return Some(since.elapsed());
        }
        tokio::time::sleep(POLL).await;
    }
    None
}

fn shown(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| {
        format!("{:.2}s", time.as_secs_f64())
    })
}
