//! Telling a back end that has crashed from one that has only lost a connection.
//!
//! A request is lost when its connection breaks, which a reset in the network does as well.
//! Only a back end whose address refuses connections right afterwards, though the directory
//! lists it as one that takes work, has ended without meaning to. A cut link answers
//! nothing, and a planned end is told in the directory before.

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::ended_incarnations::{EndedIncarnationsReceiver, IncarnationEnd};
use crate::http::{Listening, look_at};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::RequestDigest;
use sloetrail_types::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// A process that ends closes what it has open one after the other: its connections may break
/// a moment before its address refuses others.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);
/// How long losses of one back end count as of one crash: all of them are noticed within
/// milliseconds, unless this process stands still meanwhile.
const LOSS_RETENTION: Duration = Duration::from_secs(10);
/// How long a request that was left to itself may still be running: back ends drop one
/// whose connection has closed, most of them at once.
const MAX_ABANDONED_RUN: Duration = Duration::from_millis(1_500);
/// Requests that are told of with one crash. A back end runs a few dozen at a time.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// A crash of a back end.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Requests of this node that were there and were not told of before.
    pub(super) requests: BTreeSet<RequestDigest>,
}

/// What has to be done to find out whether a back end has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashCheck {
    /// Its address has to be looked at.
    ProbeAddress,
    /// It is known to have crashed, and this request was there too.
    AlreadyCrashed(RequestDigest),
}

/// What is known of a back end at which requests were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It is being looked at.
    Probing,
    /// Something listened at its address: it has lost connections, or is back already.
    Listening,
    /// It has crashed.
    Crashed,
}

#[derive(Debug)]
struct Losses {
    back_end: BackEnd,
    stage: Stage,
    requests: BTreeSet<RequestDigest>,
    since: BootInstant,
}

#[derive(Debug, Default)]
struct State {
    losses: BTreeMap<EngineId, Losses>,
    /// Requests that were left to themselves, and when.
    abandoned: BTreeMap<EngineId, Vec<(BootInstant, RequestDigest)>>,
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

    /// A back end of which nothing was known has to be looked at.
    fn losses_of(&mut self, back_end: &BackEnd, now: BootInstant) -> &mut Losses {
        let probing = Losses {
            back_end: back_end.clone(),
            stage: Stage::Probing,
            requests: BTreeSet::new(),
            since: now,
        };
        self.losses.entry(back_end.id.clone()).or_insert(probing)
    }
}

/// Finds out which back ends have crashed, and under which requests of this node.
pub(super) struct CrashWatch {
    directory: watch::Receiver<Arc<Directory>>,
    ended: EndedIncarnationsReceiver,
    state: Mutex<State>,
}

impl CrashWatch {
    /// A watch that knows of no losses.
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

    /// A request was lost while it may have been running at a back end.
    pub(super) fn record_lost_run(
        &self,
        back_end: &BackEnd,
        request: RequestDigest,
    ) -> Option<CrashCheck> {
        if self.ended.borrow().end_of(&back_end.id) == Some(IncarnationEnd::Crashed) {
            return Some(CrashCheck::AlreadyCrashed(request));
        }
        if !self.takes_work(back_end) {
            return None;
        }
        let now = BootInstant::now();
        let mut state = self.state.lock().expect("not poisoned");
        state.expire(now);
        let before = state.losses.get(&back_end.id).map(|known| known.stage);
        let known = state.losses_of(back_end, now);
        let has_room = known.requests.len() < MAX_REQUESTS_PER_CRASH;
        let is_new = has_room && known.requests.insert(request);
        match before {
            None => Some(CrashCheck::ProbeAddress),
            // It had lost connections before; this time it may have crashed. What was lost long
            // before was not there any more.
            Some(Stage::Listening) => {
                if now.saturating_duration_since(known.since) >= MAX_ABANDONED_RUN {
                    known.requests = BTreeSet::from([request]);
                }
                known.since = now;
                known.stage = Stage::Probing;
                Some(CrashCheck::ProbeAddress)
            }
            Some(Stage::Probing) => None,
            Some(Stage::Crashed) => is_new.then_some(CrashCheck::AlreadyCrashed(request)),
        }
    }

    /// A request was left to itself while it may have been running at a back end.
    pub(super) fn record_abandoned_run(&self, back_end: &BackEnd, request: RequestDigest) {
        let now = BootInstant::now();
        let mut state = self.state.lock().expect("not poisoned");
        state.expire(now);
        let abandoned = state.abandoned.entry(back_end.id.clone()).or_default();
        if abandoned.len() < MAX_REQUESTS_PER_CRASH {
            abandoned.push((now, request));
        }
    }

    /// A back end could not be reached, which tells of a crash if a request was left there.
    pub(super) fn record_unreached(&self, back_end: &BackEnd) -> Option<CrashCheck> {
        let now = BootInstant::now();
        let mut state = self.state.lock().expect("not poisoned");
        state.expire(now);
        let is_known = state.losses.contains_key(&back_end.id);
        let was_abandoned = state.abandoned.contains_key(&back_end.id);
        if is_known || !was_abandoned || !self.takes_work(back_end) {
            return None;
        }
        state.losses_of(back_end, now);
        Some(CrashCheck::ProbeAddress)
    }

    /// Finds out whether a back end has crashed.
    pub(super) async fn confirm_crash(
        &self,
        back_end: &BackEnd,
        check: CrashCheck,
    ) -> Option<Crash> {
        if let CrashCheck::AlreadyCrashed(request) = check {
            // What was left there is told with the crash itself.
            let requests = BTreeSet::from([request]);
            return Some(Crash { requests });
        }
        let mut seen = look_at(back_end.address).await;
        if seen == Listening::Yes {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            seen = look_at(back_end.address).await;
        }
        if seen != Listening::No {
            let mut state = self.state.lock().expect("not poisoned");
            let known = state.losses.get_mut(&back_end.id);
            let probing = known.filter(|known| known.stage == Stage::Probing);
            if let Some(known) = probing {
                known.stage = Stage::Listening;
            }
            return None;
        }
        let mut state = self.state.lock().expect("not poisoned");
        Some(Self::crashed(&mut state, back_end))
    }

    /// The crashes of back ends that have come back under their names since.
    pub(super) fn take_ended_crashes(&self) -> Vec<(BackEnd, Crash)> {
        let ended = self.ended.borrow().clone();
        let mut state = self.state.lock().expect("not poisoned");
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
        let abandoned = abandoned.into_iter().map(|(_, request)| request);
        known.requests.extend(abandoned);
        Crash {
            requests: known.requests.clone(),
        }
    }

    /// True if the directory lists a back end as one that takes work: one that leaves may end
    /// at any moment without having crashed.
    fn takes_work(&self, back_end: &BackEnd) -> bool {
        let directory = self.directory.borrow();
        let listed = directory.back_ends.get(&back_end.id);
        listed.is_some_and(|listed| !listed.draining)
    }
}
