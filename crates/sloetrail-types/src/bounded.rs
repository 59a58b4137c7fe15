//! Ranges of the numbers that come from outside the process: configuration, settings, rows of the
//! table, messages, headers.
//!
//! One rule holds for all of them: a number above its maximum is held at the maximum. A large
//! number therefore keeps its order of magnitude, and what was accepted comes into force. Sums
//! and products of a few numbers within these ranges fit the types in use. Times have types of
//! their own, [`TimeSpan`](crate::TimeSpan) and [`Timestamp`](crate::Timestamp).
//!
//! [`NumberCheck`] applies the rule to what an operator writes and records where it did, so that
//! the operator can be told. The functions for `deserialize_with` apply it to rows and messages.

use crate::{TimeSpan, whole_millis};
use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// Slots, attempts, connections, engines, items and other counts.
pub const MAX_COUNT: usize = 1_000_000;
/// Sizes in bytes: one terabyte.
pub const MAX_BYTES: usize = 1 << 40;
/// Length hints of texts, in the unit of the trainer.
pub const MAX_LENGTH: u64 = 1_000_000_000_000;
/// Requests per second.
pub const MAX_RATE: f64 = 1e9;
/// Prices and factors, relative to a usual value of one.
pub const MAX_RATIO: f64 = 1e9;

/// Deserializes a count of a row or message.
///
/// # Errors
///
/// If the value is not an unsigned integer of 64 bits.
pub fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    usize::deserialize(deserializer).map(|count| count.min(MAX_COUNT))
}

/// Deserializes an unsigned integer of any size; one beyond 64 bits becomes `u64::MAX`. Accepts
/// floating-point numbers without a fraction.
///
/// # Errors
///
/// If the value is negative, has a fraction or is not a number.
pub fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    deserializer.deserialize_any(WholeNumber)
}

/// Deserializes a [`whole_number`]; `None` if it is null.
///
/// # Errors
///
/// If the value is negative, has a fraction or is neither a number nor null.
pub fn optional_whole_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    #[derive(Deserialize)]
    struct Present(#[serde(deserialize_with = "whole_number")] u64);
    let number = Option::<Present>::deserialize(deserializer)?;
    Ok(number.map(|Present(number)| number))
}

struct WholeNumber;

impl Visitor<'_> for WholeNumber {
    type Value = u64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number that is not negative")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        u64::try_from(number).map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
        if number < 0.0 || number.fract() != 0.0 {
            return Err(E::invalid_value(Unexpected::Float(number), &self));
        }
        // The conversion saturates.
        Ok(number as u64)
    }
}

/// A number that an operator wrote and that is not used as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldNumber {
    /// The path of the field.
    pub field: String,
    pub given: String,
    pub used: String,
}

impl fmt::Display for HeldNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { field, given, used } = self;
        write!(formatter, "{field}: {used} is used in place of {given}")
    }
}

/// Holds the numbers of a configuration or of settings within their ranges.
#[derive(Debug, Default)]
pub struct NumberCheck {
    held: Vec<HeldNumber>,
}

impl NumberCheck {
    /// Returns the numbers that were not used as given, in the order of the checks.
    pub fn into_held(self) -> Vec<HeldNumber> {
        self.held
    }

    pub fn millis(&mut self, field: impl fmt::Display, millis: u64) -> Duration {
        let span = TimeSpan::from_millis(millis).duration();
        self.record(field, millis, whole_millis(span));
        span
    }

    /// Returns `None` if the time is negative or not a number; it then counts as absent.
    pub fn seconds(&mut self, field: impl fmt::Display, seconds: f64) -> Option<Duration> {
        let span = TimeSpan::from_secs_f64(seconds).map(TimeSpan::duration);
        match span {
            Some(span) if span == TimeSpan::MAX.duration() => {
                self.record(field, seconds, span.as_secs_f64());
            }
            Some(_) => {}
            None => self.record_ignored(field, seconds),
        }
        span
    }

    /// Holds a count between `min` and [`MAX_COUNT`].
    pub fn count(&mut self, field: impl fmt::Display, count: u64, min: usize) -> usize {
        let held = usize::try_from(count).unwrap_or(usize::MAX);
        let held = held.clamp(min, MAX_COUNT);
        self.record(field, count, held as u64);
        held
    }

    pub fn bytes(&mut self, field: impl fmt::Display, bytes: u64) -> usize {
        let held = usize::try_from(bytes).unwrap_or(usize::MAX).min(MAX_BYTES);
        self.record(field, bytes, held as u64);
        held
    }

    pub fn priority(&mut self, field: impl fmt::Display, priority: u64) -> u8 {
        let held = u8::try_from(priority).unwrap_or(u8::MAX);
        self.record(field, priority, u64::from(held));
        held
    }

    /// Returns `None` if the number is negative or not a number; it then counts as absent.
    pub fn at_most(&mut self, field: impl fmt::Display, number: f64, max: f64) -> Option<f64> {
        if number.is_nan() || number < 0.0 {
            self.record_ignored(field, number);
            return None;
        }
        let held = number.min(max);
        self.record(field, number, held);
        Some(held)
    }

    fn record<Number>(&mut self, field: impl fmt::Display, given: Number, used: Number)
    where
        Number: PartialEq + fmt::Display,
    {
        if given != used {
            self.held.push(HeldNumber {
                field: field.to_string(),
                given: given.to_string(),
                used: used.to_string(),
            });
        }
    }

    fn record_ignored(&mut self, field: impl fmt::Display, given: f64) {
        self.held.push(HeldNumber {
            field: field.to_string(),
            given: given.to_string(),
            used: "the default".to_owned(),
        });
    }
}
