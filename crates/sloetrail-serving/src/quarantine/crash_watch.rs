//! Detection of crashed back ends, as opposed to lost connections.
//!
//! A request is also lost when the network resets its connection. A back end counts as crashed
//! only if its address refuses connections right afterwards although the directory lists it as
//! taking work. A partitioned link does not answer at all, and a planned shutdown is announced in
//! the directory first.

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::ended_incarnations::{EndedIncarnationsReceiver, IncarnationEnd};
use crate::events::{self, Event};
use crate::http::{Listening, probe_listener};
use crate::telemetry;
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::RequestDigest;
use sloetrail_types::{EngineId, whole_millis};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Delay before the second probe. A crashing process closes its connections one after another, so
/// they may break before its address refuses new ones.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);
/// How long losses at one back end are attributed to the same crash. All of them are noticed within
/// milliseconds, unless this process is suspended in between.
const LOSS_RETENTION: Duration = Duration::from_secs(10);
/// How long an abandoned request may continue to run. Back ends drop a request once its
/// connection has closed.
const MAX_ABANDONED_RUN: Duration = Duration::from_millis(1_500);
/// Suspects reported with one crash, and as many other requests. A back end runs a few dozen at a
/// time.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// A run of a request that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LostRun {
    pub(super) request: RequestDigest,
    /// The last event that the request had received; None if its answer is not a stream.
    pub(super) last_event: Option<u64>,
    /// False if the request can't be the cause of a crash.
    pub(super) is_suspect: bool,
}

/// Lost requests, each with the run in which it was lost.
type LostRequests = BTreeMap<RequestDigest, LostRun>;

#[derive(Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Requests of this node that were running there and are not reported yet.
    pub(super) requests: LostRequests,
    /// Time since the first of them was lost.
    pub(super) lost_for: Duration,
}

/// How to determine whether a back end has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashCheck {
    ProbeAddress,
    /// It is known to have crashed while running this request.
    AlreadyCrashed(LostRun),
}

/// The state of a back end at which requests were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its address is being probed.
    Probing,
    /// The address accepts connections: the back end only lost connections, or has restarted.
    Listening,
    Crashed,
}

#[derive(Debug)]
struct Losses {
    back_end: BackEnd,
    stage: Stage,
    requests: LostRequests,
    since: BootInstant,
}

impl Losses {
    /// Adds a run. Returns false if there is no room, or if its request is known.
    fn add(&mut self, run: LostRun) -> bool {
        let known = self.requests.get(&run.request);
        let is_known = known.is_some_and(|known| known.is_suspect || !run.is_suspect);
        let is_new = !is_known && has_room(self.requests.values(), run);
        if is_new {
            self.requests.insert(run.request, run);
        }
        is_new
    }
}

/// True if one more run may be reported with a crash. Items never take the room of suspects.
fn has_room<'a>(runs: impl Iterator<Item = &'a LostRun>, run: LostRun) -> bool {
    let alike = runs.filter(|other| other.is_suspect == run.is_suspect);
    alike.count() < MAX_REQUESTS_PER_CRASH
}

#[derive(Debug, Default)]
struct State {
    losses: BTreeMap<EngineId, Losses>,
    /// Abandoned requests with the time at which they were abandoned.
    abandoned: BTreeMap<EngineId, Vec<(BootInstant, LostRun)>>,
}

impl State {
    fn expire(&mut self, now: BootInstant) {
        let age = |since: BootInstant| now.saturating_duration_since(since);
        self.losses
            .retain(|_, known| age(known.since) < LOSS_RETENTION);
        self.abandoned.retain(|_, requests| {
            requests.retain(|(since, _)| age(*since) < MAX_ABANDONED_RUN);
            !requests.is_empty()
        });
    }

    /// Returns the losses of a back end. A new record starts in [`Stage::Probing`].
    fn losses_of(&mut self, back_end: &BackEnd, now: BootInstant) -> &mut Losses {
        let probing = Losses {
            back_end: back_end.clone(),
            stage: Stage::Probing,
            requests: LostRequests::new(),
            since: now,
        };
        self.losses.entry(back_end.id.clone()).or_insert(probing)
    }
}

/// Detects crashed back ends and the requests of this node that were running there.
pub(super) struct CrashWatch {
    directory: watch::Receiver<Arc<Directory>>,
    ended: EndedIncarnationsReceiver,
    state: Mutex<State>,
}

impl CrashWatch {
    pub(super) fn new(
        directory: watch::Receiver<Arc<Directory>>,
        ended: EndedIncarnationsReceiver,
    ) -> Self {
        Self {
            directory,
            ended,
            state: Mutex::default(),
        }
    }

    /// Records that a request was lost that may have been running at a back end. Returns the
    /// check to run, if any.
    pub(super) fn record_lost_run(&self, back_end: &BackEnd, run: LostRun) -> Option<CrashCheck> {
        if self.ended.borrow().end_of(&back_end.id) == Some(IncarnationEnd::Crashed) {
            return Some(CrashCheck::AlreadyCrashed(run));
        }
        if !self.takes_work(back_end) {
            return None;
        }
        let now = BootInstant::now();
        let mut state = self.state.lock();
        state.expire(now);
        let before = state.losses.get(&back_end.id).map(|known| known.stage);
        let known = state.losses_of(back_end, now);
        let is_new = known.add(run);
        match before {
            None => Some(CrashCheck::ProbeAddress),
            // Only connections were lost before, but this time it may have crashed.
            // Earlier losses are dropped once their requests can no longer be running.
            Some(Stage::Listening) => {
                if now.saturating_duration_since(known.since) >= MAX_ABANDONED_RUN {
                    known.requests = LostRequests::from([(run.request, run)]);
                }
                known.since = now;
                known.stage = Stage::Probing;
                Some(CrashCheck::ProbeAddress)
            }
            Some(Stage::Probing) => None,
            Some(Stage::Crashed) => is_new.then_some(CrashCheck::AlreadyCrashed(run)),
        }
    }

    /// Records that a request was abandoned that may still be running at a back end.
    pub(super) fn record_abandoned_run(&self, back_end: &BackEnd, run: LostRun) {
        let now = BootInstant::now();
        let mut state = self.state.lock();
        state.expire(now);
        let abandoned = state.abandoned.entry(back_end.id.clone()).or_default();
        if has_room(abandoned.iter().map(|(_, run)| run), run) {
            abandoned.push((now, run));
        }
    }

    /// Records a failed connection attempt. It indicates a crash only if a request was
    /// abandoned there.
    pub(super) fn record_unreached(&self, back_end: &BackEnd) -> Option<CrashCheck> {
        let now = BootInstant::now();
        let mut state = self.state.lock();
        state.expire(now);
        let is_known = state.losses.contains_key(&back_end.id);
        let was_abandoned = state.abandoned.contains_key(&back_end.id);
        if is_known || !was_abandoned || !self.takes_work(back_end) {
            return None;
        }
        state.losses_of(back_end, now);
        Some(CrashCheck::ProbeAddress)
    }

    /// Runs a check. Returns the crash if there was one.
    pub(super) async fn confirm_crash(
        &self,
        back_end: &BackEnd,
        check: CrashCheck,
    ) -> Option<Crash> {
        if let CrashCheck::AlreadyCrashed(run) = check {
            // Requests abandoned there are reported by the check that detected the
            // crash.
            let requests = LostRequests::from([(run.request, run)]);
            let lost_for = Duration::ZERO;
            return Some(Crash { requests, lost_for });
        }
        let started_at = BootInstant::now();
        let seen = probe_twice(|| probe_listener(back_end.address)).await;
        if seen != Listening::No {
            events::emit(&Event::CrashNotConfirmed {
                back_end: back_end.id.as_str(),
                service: back_end.service.as_str(),
                seen: seen.as_str(),
                probed_ms: whole_millis(started_at.elapsed()),
            });
            let mut state = self.state.lock();
            let known = state.losses.get_mut(&back_end.id);
            let probing = known.filter(|known| known.stage == Stage::Probing);
            if let Some(known) = probing {
                known.stage = Stage::Listening;
            }
            return None;
        }
        let mut state = self.state.lock();
        Some(Self::crashed(&mut state, back_end))
    }

    /// Returns the crashes of back ends that have restarted under the same name since.
    pub(super) fn take_ended_crashes(&self) -> Vec<(BackEnd, Crash)> {
        let ended = self.ended.borrow().clone();
        let mut state = self.state.lock();
        state.expire(BootInstant::now());
        let has_crashed = |known: &Losses| {
            let end = ended.end_of(&known.back_end.id);
            known.stage != Stage::Crashed && end == Some(IncarnationEnd::Crashed)
        };
        let crashed = state.losses.values().filter(|known| has_crashed(known));
        let crashed: Vec<BackEnd> = crashed.map(|known| known.back_end.clone()).collect();
        let crashes = crashed.into_iter().map(|back_end| {
            let crash = Self::crashed(&mut state, &back_end);
            (back_end, crash)
        });
        crashes.collect()
    }

    fn crashed(state: &mut State, back_end: &BackEnd) -> Crash {
        telemetry::back_end_crashed(back_end.service.as_str());
        let abandoned = state.abandoned.remove(&back_end.id).unwrap_or_default();
        let known = state.losses_of(back_end, BootInstant::now());
        known.stage = Stage::Crashed;
        for (_, run) in abandoned {
            known.add(run);
        }
        Crash {
            requests: known.requests.clone(),
            lost_for: known.since.elapsed(),
        }
    }

    /// True if the directory lists the back end as taking work. A leaving back end may end at
    /// any time without a crash.
    fn takes_work(&self, back_end: &BackEnd) -> bool {
        let directory = self.directory.borrow();
        let listed = directory.back_ends.get(&back_end.id);
        listed.is_some_and(|listed| !listed.draining)
    }
}

/// Probes an address, and once more unless it refuses connections.
async fn probe_twice<Probe>(probe: impl Fn() -> Probe) -> Listening
where
    Probe: Future<Output = Listening>,
{
    let seen = probe().await;
    if seen == Listening::No {
        return seen;
    }
    // A port that closes during a probe may accept or reset it.
    tokio::time::sleep(SECOND_PROBE_DELAY).await;
    probe().await
}

#[cfg(test)]
mod tests;
