//! Reassigns engines between models while slots are scarce.
//!
//! Engines differ in speed, so a model's share is measured in the events that its engines make. An
//! engine is reassigned only if the difference between two models' times to finish exceeds the
//! duration of a change, and only if the later of the two times becomes earlier: an assignment
//! is then never undone while the work stays the same.

use super::engine::Engine;
use super::model_backlog::ExpectedModelWork;
use super::weight_update_plan::is_changing;
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One in this many engines may be reassigned within `LIMIT_PERIOD`, at least one.
const REASSIGNED_DIVISOR: usize = 10;
const LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// Engines that a model keeps whatever its work, if it has an even share of twice as many, so that
/// its next batch can start at once even if an engine is lost.
const MIN_KEPT_ENGINES: usize = 3;
const EVEN_SHARE_DIVISOR: usize = 2;
/// Duration of a change until one is measured.
const DEFAULT_CHANGE_DURATION: Duration = Duration::from_secs(1);
/// Weight of a new change in the moving average of their duration.
const CHANGE_SMOOTHING: f64 = 0.1;

/// An engine that was reassigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reassignment {
    pub(super) engine: EngineId,
    pub(super) from: String,
    pub(super) to: String,
}

/// Limits the number of engines that are reassigned in a period.
#[derive(Debug, Default)]
pub(super) struct ReassignmentLimit {
    /// Times of the reassignments in the last period, oldest first.
    recent: VecDeque<BootInstant>,
}

impl ReassignmentLimit {
    /// Returns how many of `engines` may be reassigned now.
    pub(super) fn available(&mut self, engines: usize, now: BootInstant) -> usize {
        while let Some(first) = self.recent.front()
            && now.saturating_duration_since(*first) >= LIMIT_PERIOD
        {
            self.recent.pop_front();
        }
        let allowed = (engines / REASSIGNED_DIVISOR).max(1);
        allowed.saturating_sub(self.recent.len())
    }

    pub(super) fn record(&mut self, count: usize, now: BootInstant) {
        self.recent.extend(std::iter::repeat_n(now, count));
    }
}

/// Moving average of the duration of version changes.
#[derive(Debug, Default)]
pub(super) struct ChangeDuration {
    measured: Option<Duration>,
}

impl ChangeDuration {
    pub(super) fn record(&mut self, duration: Duration) {
        let known = self.measured.unwrap_or(duration);
        let smoothed = known.mul_f64(1.0 - CHANGE_SMOOTHING) + duration.mul_f64(CHANGE_SMOOTHING);
        self.measured = Some(smoothed);
    }

    pub(super) fn get(&self) -> Duration {
        self.measured.unwrap_or(DEFAULT_CHANGE_DURATION)
    }
}

/// What bounds the reassignments of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReassignmentBounds {
    /// Maximum number of engines to reassign.
    pub(super) max_engines: usize,
    /// How long an engine takes to change its version.
    pub(super) change: Duration,
    /// Lasting event interval of engines without a known one; None if none is known.
    pub(super) default_interval_us: Option<u64>,
}

/// Reassigns engines from models that finish early to models that finish late. Engines that are
/// slow, changing or not usable are not counted and keep their model.
pub(super) fn reassign_by_backlog(
    engines: &mut BTreeMap<EngineId, Engine>,
    backlogs: &[ExpectedModelWork],
    bounds: ReassignmentBounds,
    now: BootInstant,
) -> Vec<Reassignment> {
    let mut shares = ModelEngines::of_models(engines, backlogs, bounds, now);
    let total: usize = shares.iter().map(|share| share.count).sum();
    let even_share = total / backlogs.len().max(1);
    let min_kept = (even_share / EVEN_SHARE_DIVISOR).clamp(1, MIN_KEPT_ENGINES);
    let mut reassignments = Vec::new();
    while reassignments.len() < bounds.max_engines {
        let Some((from, to)) = earliest_and_latest(&shares, min_kept) else {
            break;
        };
        let latest = shares[to].seconds();
        let Some(engine) = shares[from].take_candidate(latest, bounds.change) else {
            break;
        };
        shares[from].remove(engine.capacity);
        shares[to].add(engine.capacity);
        reassignments.push(Reassignment {
            engine: engine.id,
            from: shares[from].backlog.model.clone(),
            to: shares[to].backlog.model.clone(),
        });
    }
    for reassignment in &reassignments {
        if let Some(engine) = engines.get_mut(&reassignment.engine) {
            engine.assigned = Some(reassignment.to.clone());
        }
    }
    reassignments
}

/// The model to take an engine from, which finishes first, and the one that finishes last.
fn earliest_and_latest(shares: &[ModelEngines<'_>], min_kept: usize) -> Option<(usize, usize)> {
    let by_time = |left: &usize, right: &usize| {
        let (left, right) = (shares[*left].seconds(), shares[*right].seconds());
        left.total_cmp(&right)
    };
    let has_spare = |model: &usize| shares[*model].count > min_kept;
    let from = (0..shares.len()).filter(has_spare).min_by(by_time)?;
    let to = (0..shares.len()).max_by(by_time)?;
    (from != to).then_some((from, to))
}

/// An engine that may be reassigned.
struct Candidate {
    id: EngineId,
    running: usize,
    /// Events per second.
    capacity: f64,
}

/// The engines of a model that count for its share.
struct ModelEngines<'a> {
    backlog: &'a ExpectedModelWork,
    count: usize,
    /// Events per second.
    capacity: f64,
    /// Engines that may be reassigned; the one with the least running work is last.
    candidates: Vec<Candidate>,
}

impl<'a> ModelEngines<'a> {
    fn of_models(
        engines: &BTreeMap<EngineId, Engine>,
        backlogs: &'a [ExpectedModelWork],
        bounds: ReassignmentBounds,
        now: BootInstant,
    ) -> Vec<Self> {
        let of_model = |backlog| Self {
            backlog,
            count: 0,
            capacity: 0.0,
            candidates: Vec::new(),
        };
        let mut shares: Vec<Self> = backlogs.iter().map(of_model).collect();
        for (id, engine) in engines {
            let mut models = shares.iter_mut();
            let share = models.find(|share| engine.is_assigned(&share.backlog.model));
            let capacity = engine.capacity(bounds.default_interval_us);
            let (Some(share), Some(capacity)) = (share, capacity) else {
                continue;
            };
            if !engine.is_usable(now) || engine.is_slow() {
                continue;
            }
            share.add(capacity);
            if !is_changing(engine) {
                share.candidates.push(Candidate {
                    id: id.clone(),
                    running: engine.running,
                    capacity,
                });
            }
        }
        for share in &mut shares {
            share
                .candidates
                .sort_by_key(|candidate| Reverse(candidate.running));
        }
        shares
    }

    fn add(&mut self, capacity: f64) {
        self.count += 1;
        self.capacity += capacity;
    }

    fn remove(&mut self, capacity: f64) {
        self.count -= 1;
        self.capacity -= capacity;
    }

    fn seconds(&self) -> f64 {
        self.backlog.seconds_to_finish(self.capacity)
    }

    /// Takes the candidate with the least running work for a model that finishes in `latest`
    /// seconds. None if the difference does not exceed the duration of a change, or if this model
    /// would then finish as late.
    fn take_candidate(&mut self, latest: f64, change: Duration) -> Option<Candidate> {
        let candidate = self.candidates.last()?;
        let after = self
            .backlog
            .seconds_to_finish(self.capacity - candidate.capacity);
        let gains = latest - self.seconds() > change.as_secs_f64();
        (gains && after < latest).then(|| self.candidates.pop())?
    }
}

#[cfg(test)]
mod tests;
