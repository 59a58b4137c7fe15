//! The decision on a number of engines.

use crate::spread::ScalingBounds;
use sloetrail_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of the places that is busy on average when the number of engines is right.
/// The rest is for the beginning of steps, when all of their items want places, for
/// changes of weights and for engines that are lost or slow.
const BUSY_GOAL: f64 = 0.5;
/// The load is averaged over so many periods of steps.
const PERIODS_AVERAGED: u32 = 2;
const HORIZON_LEAST: Duration = Duration::from_secs(8);
const HORIZON_MOST: Duration = Duration::from_secs(300);
/// Weight of the last period in what is known of the period of steps.
const PERIOD_SMOOTHING: f64 = 0.3;
/// While a step took more than this part of its time lately, no engine is given back.
const STEP_SHARE_HIGH: f64 = 0.85;
/// From this part of its time on a step was late, or almost: more engines are wanted.
const STEP_SHARE_LATE: f64 = 0.97;
/// More engines help a late step only if those that there are were busy.
const BUSY_FOR_LATE: f64 = 0.35;
const GROWTH_FOR_LATE: f64 = 1.2;
/// The number changes by at most this much at a time.
const GROWTH_MOST: f64 = 1.5;
const SHRINK_MOST: f64 = 0.8;
/// A smaller number is wanted only if it is smaller by this part.
const SHRINK_LEAST: f64 = 0.1;
/// The least time between two changes, beside what new engines take to start.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// The engines of a service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnginesNow {
    /// Engines that take work.
    pub engines: usize,
    /// Items that one of them runs at a time.
    pub slots: usize,
    /// Zones that they are spread over.
    pub zones: usize,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Timestamp,
    running: usize,
}

#[derive(Clone, Copy, Debug)]
struct StepSample {
    at: Timestamp,
    share: f64,
}

/// Decides how many engines a service has. It forgets all when its owner changes; the
/// engines that there are tell what was decided before.
#[derive(Debug, Default)]
pub struct Scaler {
    loads: VecDeque<LoadSample>,
    steps: VecDeque<StepSample>,
    /// The smoothed time between two batches of a model.
    period: Option<Duration>,
    first_batch_at: Option<Timestamp>,
    last_batch_at: Option<Timestamp>,
    /// When the load that is noted was last not all.
    load_incomplete_at: Option<Timestamp>,
    not_before: Timestamp,
}

impl Scaler {
    /// A batch came, so long after the one before of the same model.
    pub fn note_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.first_batch_at.get_or_insert(now);
        self.last_batch_at = Some(now);
        if let Some(time) = since_previous {
            let known = self.period.unwrap_or(time);
            let smoothed = known.mul_f64(1.0 - PERIOD_SMOOTHING) + time.mul_f64(PERIOD_SMOOTHING);
            self.period = Some(smoothed);
        }
    }

    /// Takes in how many items run; called at even times.
    pub fn note_load(&mut self, now: Timestamp, running: usize) {
        let horizon = self.horizon();
        self.loads.push_back(LoadSample { at: now, running });
        while let Some(oldest) = self.loads.front()
            && now.since(oldest.at) > horizon
        {
            self.loads.pop_front();
        }
        while let Some(oldest) = self.steps.front()
            && now.since(oldest.at) > horizon
        {
            self.steps.pop_front();
        }
    }

    /// The load that is noted is not all: work is held up by something else than the number of
    /// engines, or others run work that is not counted. A load that is low for that reason
    /// does not tell how many engines are needed.
    pub fn note_load_incomplete(&mut self, now: Timestamp) {
        self.load_incomplete_at = Some(now);
    }

    /// A step is whole, after this part of the time that it has.
    pub fn note_step(&mut self, now: Timestamp, share: f64) {
        self.steps.push_back(StepSample { at: now, share });
    }

    /// Another number of engines, if one is wanted. Engines are given back down to `floor`
    /// only; fewer than that are no reason to order more, since somebody may have taken
    /// them away on purpose. The caller orders the number.
    pub fn decide(
        &mut self,
        now: Timestamp,
        engines: EnginesNow,
        bounds: &ScalingBounds,
        floor: usize,
    ) -> Option<usize> {
        if !self.is_in_use(now) || now < self.not_before || engines.engines == 0 {
            return None;
        }
        let wanted = self.wanted(now, engines);
        let wanted = wanted.max(floor.min(engines.engines));
        let wanted = within_bounds(wanted, engines, bounds);
        if wanted == engines.engines {
            return None;
        }
        let start = match wanted > engines.engines {
            true => bounds.boot_time,
            false => Duration::ZERO,
        };
        self.not_before = now.after(CHANGE_PAUSE + start);
        Some(wanted)
    }

    /// The number of engines that the work needs now, without a pause after the last change;
    /// none for work that is over and where there is no engine to judge by.
    pub(crate) fn needed(
        &self,
        now: Timestamp,
        engines: EnginesNow,
        bounds: &ScalingBounds,
    ) -> usize {
        if !self.is_in_use(now) || engines.engines == 0 {
            return 0;
        }
        within_bounds(self.wanted(now, engines), engines, bounds)
    }

    /// True if the last change may still be under way.
    pub(crate) fn is_pausing(&self, now: Timestamp) -> bool {
        now < self.not_before
    }

    /// Engines were ordered without a decision of this scaler.
    pub(crate) fn pause_for_growth(&mut self, now: Timestamp, bounds: &ScalingBounds) {
        self.not_before = now.after(CHANGE_PAUSE + bounds.boot_time);
    }

    /// Nothing is known of a service that has had no batch, or none for long.
    pub(crate) fn is_in_use(&self, now: Timestamp) -> bool {
        let last = self.last_batch_at;
        last.is_some_and(|at| now.since(at) <= self.horizon())
    }

    fn wanted(&self, now: Timestamp, engines: EnginesNow) -> usize {
        let current = engines.engines;
        let busy = self.mean_running() / (current * engines.slots.max(1)) as f64;
        let for_load = (current as f64 * busy / BUSY_GOAL).ceil() as usize;
        let worst_step = self.steps.iter().map(|step| step.share);
        let worst_step = worst_step.fold(0.0, f64::max);
        if worst_step >= STEP_SHARE_LATE && busy >= BUSY_FOR_LATE {
            let for_steps = (current as f64 * GROWTH_FOR_LATE).ceil() as usize;
            return limited_growth(current, for_load.max(for_steps));
        }
        if for_load > current {
            return limited_growth(current, for_load);
        }
        let is_enough_less = (for_load as f64) < current as f64 * (1.0 - SHRINK_LEAST);
        let may_shrink = worst_step <= STEP_SHARE_HIGH && self.has_seen_enough(now);
        match is_enough_less && may_shrink {
            true => for_load.max((current as f64 * SHRINK_MOST).ceil() as usize),
            false => current,
        }
    }

    /// True once the load was seen for a whole horizon, since the first batch and since
    /// the load was last not all.
    fn has_seen_enough(&self, now: Timestamp) -> bool {
        let since = self.first_batch_at.max(self.load_incomplete_at);
        let horizon = self.horizon();
        since.is_some_and(|at| now.since(at) >= horizon) && !self.steps.is_empty()
    }

    fn mean_running(&self) -> f64 {
        let sum: usize = self.loads.iter().map(|sample| sample.running).sum();
        sum as f64 / self.loads.len().max(1) as f64
    }

    fn horizon(&self) -> Duration {
        let periods = self.period.map(|period| period * PERIODS_AVERAGED);
        let horizon = periods.unwrap_or(HORIZON_LEAST);
        horizon.clamp(HORIZON_LEAST, HORIZON_MOST)
    }
}

fn within_bounds(wanted: usize, engines: EnginesNow, bounds: &ScalingBounds) -> usize {
    let least = bounds.least * engines.zones;
    let most = bounds.most * engines.zones;
    wanted.clamp(least, most.max(least))
}

fn limited_growth(current: usize, wanted: usize) -> usize {
    wanted.min((current as f64 * GROWTH_MOST).ceil() as usize)
}
