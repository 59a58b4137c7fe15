//! The decision on a number of engines.

use crate::spread::ScalingBounds;
use sloetrail_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of the places that is busy on average when the number of engines is right.
/// The rest is for the beginning of steps, when all of their items want places, for
/// changes of weights and for engines that are lost or slow.
const TARGET_UTILIZATION: f64 = 0.5;
/// The load is averaged over so many periods of steps.
const AVERAGED_PERIODS: u32 = 2;
const MIN_HORIZON: Duration = Duration::from_secs(8);
const MAX_HORIZON: Duration = Duration::from_secs(300);
/// Weight of the last period in what is known of the period of steps.
const PERIOD_SMOOTHING: f64 = 0.3;
/// While a step took more than this part of its time lately, no engine is given back.
const MAX_STEP_SHARE_FOR_SHRINK: f64 = 0.85;
/// From this part of its time on a step was late, or almost: more engines are wanted.
const LATE_STEP_SHARE: f64 = 0.97;
/// More engines help a late step only if those that there are were busy.
const MIN_UTILIZATION_FOR_LATE_STEP: f64 = 0.35;
const LATE_STEP_GROWTH_FACTOR: f64 = 1.2;
/// The number changes by at most this much at a time.
const MAX_GROWTH_FACTOR: f64 = 1.5;
const MIN_SHRINK_FACTOR: f64 = 0.8;
/// A smaller number is wanted only if it is smaller by this part.
const MIN_REDUCTION_SHARE: f64 = 0.1;
/// The least time between two changes, beside what new engines take to start.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// The engines of a service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEngines {
    /// Engines that take work.
    pub engines: usize,
    /// Items that one of them runs at a time.
    pub slots_per_engine: usize,
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
    next_change_at: Timestamp,
}

impl Scaler {
    /// A batch came, so long after the one before of the same model.
    pub fn record_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.first_batch_at.get_or_insert(now);
        self.last_batch_at = Some(now);
        if let Some(time) = since_previous {
            let known = self.period.unwrap_or(time);
            let smoothed = known.mul_f64(1.0 - PERIOD_SMOOTHING) + time.mul_f64(PERIOD_SMOOTHING);
            self.period = Some(smoothed);
        }
    }

    /// Takes in how many items run; called at even times.
    pub fn record_load(&mut self, now: Timestamp, running: usize) {
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
    pub fn record_load_incomplete(&mut self, now: Timestamp) {
        self.load_incomplete_at = Some(now);
    }

    /// A step is whole, after this part of the time that it has.
    pub fn record_step(&mut self, now: Timestamp, share: f64) {
        self.steps.push_back(StepSample { at: now, share });
    }

    /// Another number of engines, if one is wanted. Engines are given back down to `floor`
    /// only; fewer than that are no reason to order more, since somebody may have taken
    /// them away on purpose. The caller orders the number.
    pub fn decide(
        &mut self,
        now: Timestamp,
        engines: ServiceEngines,
        bounds: &ScalingBounds,
        baseline: usize,
    ) -> Option<usize> {
        if !self.has_recent_batch(now) || now < self.next_change_at || engines.engines == 0 {
            return None;
        }
        let target = self.target(now, engines);
        let target = target.max(baseline.min(engines.engines));
        let target = within_bounds(target, engines, bounds);
        if target == engines.engines {
            return None;
        }
        let boot_time = match target > engines.engines {
            true => bounds.boot_time,
            false => Duration::ZERO,
        };
        self.next_change_at = now.after(MIN_CHANGE_INTERVAL + boot_time);
        Some(target)
    }

    /// The number of engines that the work needs now, without a pause after the last change;
    /// none for work that is over and where there is no engine to judge by.
    pub(crate) fn required_engines(
        &self,
        now: Timestamp,
        engines: ServiceEngines,
        bounds: &ScalingBounds,
    ) -> usize {
        if !self.has_recent_batch(now) || engines.engines == 0 {
            return 0;
        }
        within_bounds(self.target(now, engines), engines, bounds)
    }

    /// True if the last change may still be under way.
    pub(crate) fn is_cooling_down(&self, now: Timestamp) -> bool {
        now < self.next_change_at
    }

    /// Engines were ordered without a decision of this scaler.
    pub(crate) fn start_growth_cooldown(&mut self, now: Timestamp, bounds: &ScalingBounds) {
        self.next_change_at = now.after(MIN_CHANGE_INTERVAL + bounds.boot_time);
    }

    /// Nothing is known of a service that has had no batch, or none for long.
    pub(crate) fn has_recent_batch(&self, now: Timestamp) -> bool {
        let last = self.last_batch_at;
        last.is_some_and(|at| now.since(at) <= self.horizon())
    }

    fn target(&self, now: Timestamp, engines: ServiceEngines) -> usize {
        let current = engines.engines;
        let utilization = self.mean_running() / (current * engines.slots_per_engine.max(1)) as f64;
        let for_load = (current as f64 * utilization / TARGET_UTILIZATION).ceil() as usize;
        let worst_step = self.steps.iter().map(|step| step.share);
        let worst_step = worst_step.fold(0.0, f64::max);
        if worst_step >= LATE_STEP_SHARE && utilization >= MIN_UTILIZATION_FOR_LATE_STEP {
            let for_steps = (current as f64 * LATE_STEP_GROWTH_FACTOR).ceil() as usize;
            return limit_growth(current, for_load.max(for_steps));
        }
        if for_load > current {
            return limit_growth(current, for_load);
        }
        let is_worth_shrinking = (for_load as f64) < current as f64 * (1.0 - MIN_REDUCTION_SHARE);
        let may_shrink = worst_step <= MAX_STEP_SHARE_FOR_SHRINK && self.has_full_horizon(now);
        match is_worth_shrinking && may_shrink {
            true => for_load.max((current as f64 * MIN_SHRINK_FACTOR).ceil() as usize),
            false => current,
        }
    }

    /// True once the load was seen for a whole horizon, since the first batch and since
    /// the load was last not all.
    fn has_full_horizon(&self, now: Timestamp) -> bool {
        let since = self.first_batch_at.max(self.load_incomplete_at);
        let horizon = self.horizon();
        since.is_some_and(|at| now.since(at) >= horizon) && !self.steps.is_empty()
    }

    fn mean_running(&self) -> f64 {
        let sum: usize = self.loads.iter().map(|sample| sample.running).sum();
        sum as f64 / self.loads.len().max(1) as f64
    }

    fn horizon(&self) -> Duration {
        let periods = self.period.map(|period| period * AVERAGED_PERIODS);
        let horizon = periods.unwrap_or(MIN_HORIZON);
        horizon.clamp(MIN_HORIZON, MAX_HORIZON)
    }
}

fn within_bounds(target: usize, engines: ServiceEngines, bounds: &ScalingBounds) -> usize {
    let min = bounds.min_per_zone * engines.zones;
    let max = bounds.max_per_zone * engines.zones;
    target.clamp(min, max.max(min))
}

fn limit_growth(current: usize, target: usize) -> usize {
    target.min((current as f64 * MAX_GROWTH_FACTOR).ceil() as usize)
}
