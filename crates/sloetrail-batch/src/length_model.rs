//! How many events a text will have, from the trainer's hints.
//!
//! Trainers give an estimate of each text's length in a unit of their own. The model
//! learns from finished texts how many units make an event and how far hints lie from
//! the truth. A text that has outgrown its hint is expected to go on for a share of what
//! it has, which is larger the less hints can be trusted.

/// Weight of one more finished text in what is known.
const SMOOTHING: f64 = 0.02;
/// Finished texts before hints are believed to be in a known unit.
const TEXTS_LEAST: u32 = 8;
/// The deviation that is assumed before anything is known, as a natural logarithm.
const DEVIATION_DEFAULT: f64 = 0.7;
/// The most that a text may have left, as a share of what it has, beyond its hint.
const OUTGROWN_SHARE_MOST: f64 = 1.0;

/// What finished texts have told of the hints.
#[derive(Clone, Debug)]
pub struct LengthModel {
    texts: u32,
    /// Mean of the logarithm of units for each event.
    mean: f64,
    /// Mean distance of that logarithm from its mean.
    deviation: f64,
}

impl Default for LengthModel {
    fn default() -> Self {
        Self {
            texts: 0,
            mean: 0.0,
            deviation: DEVIATION_DEFAULT,
        }
    }
}

impl LengthModel {
    /// A text whose length was hinted as `units` turned out to have so many events.
    pub fn record(&mut self, units: u64, events: usize) {
        if units == 0 || events == 0 {
            return;
        }
        let ratio = (units as f64 / events as f64).ln();
        self.texts = self.texts.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.texts));
        if self.texts > 1 {
            self.deviation += ((ratio - self.mean).abs() - self.deviation) * weight;
        }
        self.mean += (ratio - self.mean) * weight;
    }

    /// The events that a text with `made` events still has to come, if its length was
    /// hinted as `units`; nothing before enough texts were finished.
    pub fn remaining_events(&self, units: u64, made: usize) -> Option<f64> {
        if self.texts < TEXTS_LEAST {
            return None;
        }
        let expected = units as f64 / self.mean.exp();
        let made = made as f64;
        let outgrown = made * self.deviation.min(OUTGROWN_SHARE_MOST);
        Some((expected - made).max(outgrown))
    }

    /// The same in the unit of the hints; before enough texts were finished, the whole hint.
    pub fn remaining_units(&self, units: u64, made: usize) -> f64 {
        let events = self.remaining_events(units, made);
        events.map_or(units as f64, |events| events * self.mean.exp())
    }

    /// The factor by which hints are off on average, one if they are exact.
    pub fn hint_error(&self) -> f64 {
        self.deviation.exp()
    }
}

#[cfg(test)]
mod tests;
