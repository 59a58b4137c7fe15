//! Estimates the number of events of a text from the trainer's length hints.
//!
//! Trainers hint the length of each text in a unit of their own. The model learns from
//! finished texts the number of units per event and the error of the hints. A text that
//! exceeds its hint is expected to continue for a share of its present length, which grows
//! with the error.

/// Minimum weight of a finished text in the moving averages.
const MIN_SMOOTHING: f64 = 0.02;
/// Finished texts before the unit of the hints counts as known.
const MIN_TEXTS: u32 = 8;
/// Initial mean deviation, as a natural logarithm.
const DEFAULT_DEVIATION: f64 = 0.7;
/// Maximum remaining length of a text that exceeds its hint, as a share of its length.
const MAX_OUTGROWN_SHARE: f64 = 1.0;

/// The relation of length hints to event counts, learned from finished texts.
#[derive(Clone, Debug)]
pub struct LengthModel {
    texts: u32,
    /// Moving average of the logarithm of units per event.
    mean: f64,
    /// Moving average of the absolute deviation from `mean`.
    deviation: f64,
}

impl Default for LengthModel {
    fn default() -> Self {
        Self {
            texts: 0,
            mean: 0.0,
            deviation: DEFAULT_DEVIATION,
        }
    }
}

impl LengthModel {
    /// Records a finished text that was hinted at `units` and has `events` events.
    pub fn record(&mut self, units: u64, events: usize) {
        if units == 0 || events == 0 {
            return;
        }
        let ratio = (units as f64 / events as f64).ln();
        self.texts = self.texts.saturating_add(1);
        let weight = MIN_SMOOTHING.max(1.0 / f64::from(self.texts));
        if self.texts > 1 {
            self.deviation += ((ratio - self.mean).abs() - self.deviation) * weight;
        }
        self.mean += (ratio - self.mean) * weight;
    }

    /// Estimates the remaining events of a text hinted at `units` that has `generated_events`.
    /// Returns None until enough texts have finished.
    pub fn remaining_events(&self, units: u64, generated_events: usize) -> Option<f64> {
        if self.texts < MIN_TEXTS {
            return None;
        }
        let expected = units as f64 / self.mean.exp();
        let generated_events = generated_events as f64;
        let outgrown = generated_events * self.deviation.min(MAX_OUTGROWN_SHARE);
        Some((expected - generated_events).max(outgrown))
    }

    /// Estimates the remaining length in the unit of the hints. Returns `units` until enough
    /// texts have finished.
    pub fn remaining_units(&self, units: u64, generated_events: usize) -> f64 {
        let events = self.remaining_events(units, generated_events);
        events.map_or(units as f64, |events| events * self.mean.exp())
    }

    /// The units of the hints per event. None until enough texts have finished.
    pub fn units_per_event(&self) -> Option<f64> {
        (self.texts >= MIN_TEXTS).then(|| self.mean.exp())
    }

    /// Returns the average factor between hint and length. 1.0 if hints are exact.
    pub fn hint_error(&self) -> f64 {
        self.deviation.exp()
    }
}

#[cfg(test)]
mod tests;
