//! Compares an engine with the others while slots are scarce.

use super::Engine;
use crate::owner::scarce_slowness::SlownessFactors;
use sloetrail_clock::BootInstant;

impl Engine {
    /// Like [`Engine::update_slow`], by the rules for scarce slots.
    pub(in crate::owner) fn update_slow_while_scarce(
        &mut self,
        median_us: u64,
        lasting_median_us: u64,
        now: BootInstant,
    ) -> bool {
        let meter = &self.event_interval;
        let intervals_us = meter.microseconds().zip(meter.lasting_microseconds());
        let Some((interval_us, lasting_us)) = intervals_us else {
            return false;
        };
        let factors = SlownessFactors {
            momentary: interval_us as f64 / median_us.max(1) as f64,
            lasting: lasting_us as f64 / lasting_median_us.max(1) as f64,
        };
        let is_running = self.running > 0;
        let slowness = &mut self.scarce_slowness;
        let is_slow = slowness.judge(self.is_slow, is_running, factors, now);
        self.set_slow(is_slow, interval_us, median_us)
    }
}
