//! Decides the engine count of a service from its load and step durations.

use crate::spread::ScalingBounds;
use sloetrail_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Mean share of slots in use that the engine count aims at. The headroom covers the start of
/// steps, when all items need slots at once, weight changes, and lost or slow engines.
const TARGET_UTILIZATION: f64 = 0.5;
/// Number of batch periods over which the load is averaged.
const AVERAGED_PERIODS: u32 = 2;
const MIN_HORIZON: Duration = Duration::from_secs(8);
const MAX_HORIZON: Duration = Duration::from_secs(300);
/// Weight of the latest batch period in the moving average.
const PERIOD_SMOOTHING: f64 = 0.3;
/// No engines are released while a recent step used more than this share of its target duration.
const MAX_STEP_SHARE_FOR_SHRINK: f64 = 0.85;
/// A step that used at least this share of its target duration counts as late.
const LATE_STEP_SHARE: f64 = 0.97;
/// Late steps add engines only at or above this utilization: idle engines mean another cause.
const MIN_UTILIZATION_FOR_LATE_STEP: f64 = 0.35;
const LATE_STEP_GROWTH_FACTOR: f64 = 1.2;
/// Bounds on the factor by which one decision changes the engine count.
const MAX_GROWTH_FACTOR: f64 = 1.5;
const MIN_SHRINK_FACTOR: f64 = 0.8;
/// Smaller reductions than this share of the engines are not ordered.
const MIN_REDUCTION_SHARE: f64 = 0.1;
/// Minimum time between two changes; after growth, the boot time of engines is added.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Engines of a service, or of the zones of a set of regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEngines {
    /// Engines that take work.
    pub engines: usize,
    pub slots_per_engine: usize,
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

/// Decides how many engines a service has.
///
/// Its state is lost when the owner of the service changes; the current engine count carries
/// the previous decision over.
#[derive(Debug, Default)]
pub struct Scaler {
    loads: VecDeque<LoadSample>,
    steps: VecDeque<StepSample>,
    /// Moving average of the time between two batches of a model.
    period: Option<Duration>,
    first_batch_at: Option<Timestamp>,
    last_batch_at: Option<Timestamp>,
    /// When the recorded load was last incomplete.
    load_incomplete_at: Option<Timestamp>,
    next_change_at: Timestamp,
}

impl Scaler {
    /// Records a batch. `since_previous` is the time since the previous batch of its model.
    pub fn record_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.first_batch_at.get_or_insert(now);
        self.last_batch_at = Some(now);
        if let Some(time) = since_previous {
            let known = self.period.unwrap_or(time);
            let smoothed = known.mul_f64(1.0 - PERIOD_SMOOTHING) + time.mul_f64(PERIOD_SMOOTHING);
            self.period = Some(smoothed);
        }
    }

    /// Records how many items run. Must be called at regular intervals, as samples have equal
    /// weight.
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

    /// Records that the load is incomplete: something other than the engine count limits the
    /// work, or other owners run work that is not counted. No engines are released until the
    /// load has been complete for a full horizon.
    pub fn record_load_incomplete(&mut self, now: Timestamp) {
        self.load_incomplete_at = Some(now);
    }

    /// Records a completed step. `share` is its duration divided by its target duration.
    pub fn record_step(&mut self, now: Timestamp, share: f64) {
        self.steps.push_back(StepSample { at: now, share });
    }

    /// Returns the new engine count, or None if it should not change.
    ///
    /// Engines are released only down to `baseline`. A count below the baseline is not raised
    /// to it, as engines may have been removed on purpose. The caller must order the new count.
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

    /// Returns the engine count that the load requires, regardless of the cooldown. Zero without
    /// recent batches or without engines to measure the load on.
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

    /// True while the last change may still be in progress.
    pub(crate) fn is_cooling_down(&self, now: Timestamp) -> bool {
        now < self.next_change_at
    }

    /// Starts the cooldown after engines were ordered without a decision of this scaler.
    pub(crate) fn start_growth_cooldown(&mut self, now: Timestamp, bounds: &ScalingBounds) {
        self.next_change_at = now.after(MIN_CHANGE_INTERVAL + bounds.boot_time);
    }

    /// False if no batch was recorded within the horizon; the load then says nothing.
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

    /// True if the load was complete for a full horizon, counted from the first batch or from
    /// the last incomplete sample.
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
