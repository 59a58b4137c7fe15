//! Decides which engines get only probes while slots are scarce.
//!
//! Load: all slots are in use, and some engines are of a slower kind or disturbed for parts of a
//! second. An engine at a fraction of the usual speed still makes events that no other engine
//! would make, so only an extremely slow one is set apart.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// An engine whose lasting interval is at most this multiple of the median is used.
const LASTING_FACTOR: f64 = 3.0;
/// The momentary interval confirms a slow lasting interval above this multiple of the median.
const CONFIRMING_FACTOR: f64 = 2.0;
/// At or below this multiple of the median, the momentary interval refutes a slow lasting one.
const REFUTING_FACTOR: f64 = 1.5;
/// Above this multiple of the median, the momentary interval alone decides, after
/// [`EXTREME_TIME`].
const EXTREME_FACTOR: f64 = 4.0;
/// How long an engine must be extremely slow. A slower kind of engine that other work disturbs
/// exceeds [`EXTREME_FACTOR`], but such disturbances last for parts of a second, and rarely
/// follow each other for as long as this.
const EXTREME_TIME: Duration = Duration::from_secs(2);

/// An engine's event intervals as multiples of the median momentary and lasting intervals.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlownessFactors {
    pub(super) momentary: f64,
    pub(super) lasting: f64,
}

/// The slowness of one engine while slots are scarce.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScarceSlowness {
    extreme_since: Option<BootInstant>,
}

impl ScarceSlowness {
    /// Returns true if the engine is to get only probes. `is_slow` is the decision in force.
    /// Without runs the momentary interval is not measured, so that it proves no extreme slowness.
    pub(super) fn judge(
        &mut self,
        is_slow: bool,
        is_running: bool,
        factors: SlownessFactors,
        now: BootInstant,
    ) -> bool {
        let is_extreme = is_running && factors.momentary > EXTREME_FACTOR;
        self.extreme_since = is_extreme.then(|| self.extreme_since.unwrap_or(now));
        let is_lasting = factors.lasting > LASTING_FACTOR;
        match is_slow {
            true => {
                factors.momentary > LASTING_FACTOR
                    || is_lasting && factors.momentary > REFUTING_FACTOR
            }
            false => {
                let since = self.extreme_since;
                let is_long_extreme = since.is_some_and(|since| now >= since + EXTREME_TIME);
                is_long_extreme || is_lasting && factors.momentary > CONFIRMING_FACTOR
            }
        }
    }
}

#[cfg(test)]
mod tests;
