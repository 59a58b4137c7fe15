//! Engines that crash one after the other and restart under their names.

use sloetrail_serving_testkit::cluster::{Cluster, eventually};
use sloetrail_serving_testkit::engine::{FakeEngine, RunRecord};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A series of crashes.
#[derive(Clone, Copy, Debug)]
pub struct CrashStorm {
    pub duration: Duration,
    /// Time between two crashes.
    pub pause: Duration,
    /// Time from the crash of an engine until its restart.
    pub down_for: Duration,
}

impl CrashStorm {
    /// Crashes the engines of a service in turn. Returns the time of the last crash, after all
    /// engines have restarted.
    pub async fn play(self, cluster: &mut Cluster, service: &str) -> Instant {
        self.play_with(cluster, service, |_| ()).await
    }

    /// The same, and prepares each engine that has restarted.
    pub async fn play_with(
        self,
        cluster: &mut Cluster,
        service: &str,
        prepare: impl Fn(&FakeEngine),
    ) -> Instant {
        let started_at = Instant::now();
        let mut last_crash = started_at;
        let mut down: VecDeque<(Instant, Arc<FakeEngine>)> = VecDeque::new();
        let mut up: VecDeque<Arc<FakeEngine>> = running_engines(cluster, service);
        while started_at.elapsed() < self.duration || !down.is_empty() {
            if last_crash.elapsed() >= self.pause
                && started_at.elapsed() < self.duration
                && let Some(engine) = up.pop_front()
            {
                // It may have crashed for another reason.
                engine.crash();
                last_crash = Instant::now();
                down.push_back((last_crash + self.down_for, engine));
            }
            let is_due = |(due, _): &(Instant, Arc<FakeEngine>)| *due <= Instant::now();
            if down.front().is_some_and(is_due)
                && let Some((_, engine)) = down.pop_front()
            {
                let restarted = engine.restart(0).await;
                prepare(&restarted);
                cluster.list(&restarted);
                cluster.engines.push(Arc::clone(&restarted));
                up.push_back(restarted);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        last_crash
    }
}

fn running_engines(cluster: &Cluster, service: &str) -> VecDeque<Arc<FakeEngine>> {
    let engines = cluster.engines.iter();
    let running = engines.filter(|engine| engine.service == service && !engine.has_crashed());
    running.cloned().collect()
}

/// Returns how long an item was at no engine after `since`, until it ran again. None if it had
/// been completed before.
pub fn wait_after(cluster: &Cluster, item: &str, since: Instant) -> Option<Duration> {
    let runs = cluster.engines.iter().flat_map(|engine| {
        let runs = engine.runs_of(item).into_iter();
        runs.map(move |run| (run, engine.has_crashed()))
    });
    let runs: Vec<(RunRecord, bool)> = runs.collect();
    if runs
        .iter()
        .any(|(run, _)| run.finished && run.ended.is_some_and(|ended| ended <= since))
    {
        return None;
    }
    let runs_at = |run: &RunRecord, is_lost: bool| {
        run.began <= since && !is_lost && run.ended.is_none_or(|ended| ended > since)
    };
    if runs.iter().any(|(run, is_lost)| runs_at(run, *is_lost)) {
        return Some(Duration::ZERO);
    }
    let later = runs.iter().map(|(run, _)| run.began);
    let next = later.filter(|began| *began > since).min();
    Some(next.map_or(Duration::MAX, |next| next - since))
}

/// Time from the start of a run until its back end crashes in [`crash_each_run`].
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// Time from a crash until the back end restarts in [`crash_each_run`].
const DOWN_FOR: Duration = Duration::from_millis(200);

/// Crashes the back end that runs a request, `crashes` times in a row. Returns the time of the last
/// crash, after all back ends have restarted.
pub async fn crash_each_run(cluster: &mut Cluster, id: &str, crashes: usize) -> Instant {
    let mut last_crash = Instant::now();
    for _ in 0..crashes {
        let is_running = || async { running_at(cluster, id) };
        let engine = eventually("the request is running", is_running).await;
        tokio::time::sleep(TIME_TO_CRASH).await;
        last_crash = Instant::now();
        engine.crash();
        tokio::time::sleep(DOWN_FOR).await;
        let restarted = engine.restart(0).await;
        cluster.list(&restarted);
        cluster.engines.push(restarted);
    }
    last_crash
}

/// The back end where a request is running.
pub fn running_at(cluster: &Cluster, id: &str) -> Option<Arc<FakeEngine>> {
    let mut engines = cluster.engines.iter();
    let running = engines.find(|engine| {
        let is_running = |run: &RunRecord| run.ended.is_none();
        !engine.has_crashed() && engine.runs_of(id).iter().any(is_running)
    });
    running.cloned()
}

/// Sets the event interval of all back ends of a service.
pub fn set_event_interval(cluster: &Cluster, service: &str, interval: Duration) {
    let engines = cluster.engines.iter();
    for engine in engines.filter(|engine| engine.service == service) {
        engine.set_event_interval(interval);
    }
}
