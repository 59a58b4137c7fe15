//! How often the models get new versions.
//!
//! While versions follow one another within seconds, only the engines that a model needs
//! get each of them. A version that stays goes to every engine: one that follows a
//! version of long standing from the beginning, since it may be expected to last as long,
//! others once they have lasted for some time.

use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// A version goes to every engine after this time, if nothing is known of the one before:
/// a little more than the time between two steps where versions follow one another.
const STAYS_AFTER_UNKNOWN: Duration = Duration::from_millis(4_500);
/// Versions follow one another if they last no longer than this: steps of the users
/// take 4 to 12 s. Then this is also how long one must have lasted.
const STAYS_AFTER_FREQUENT: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
struct Publication {
    version: WeightVersion,
    since: BootInstant,
    /// How long the version before was the newest one.
    last_interval: Option<Duration>,
}

/// The newest versions, and since when they are known.
#[derive(Debug, Default)]
pub(super) struct Publications {
    models: BTreeMap<String, Publication>,
}

impl Publications {
    /// Takes in the newest version of a model.
    pub(super) fn record(&mut self, model: &str, version: WeightVersion, now: BootInstant) {
        let known = self.models.get(model).copied();
        if known.is_some_and(|known| known.version == version) {
            return;
        }
        let publication = Publication {
            version,
            since: now,
            last_interval: known.map(|known| now.saturating_duration_since(known.since)),
        };
        self.models.insert(model.to_owned(), publication);
    }

    /// True if the newest version of a model is there to stay.
    pub(super) fn is_long_lived(&self, model: &str, now: BootInstant) -> bool {
        self.models.get(model).is_some_and(|publication| {
            let after = match publication.last_interval {
                None => STAYS_AFTER_UNKNOWN,
                Some(interval) if interval < STAYS_AFTER_FREQUENT => STAYS_AFTER_FREQUENT,
                Some(_) => Duration::ZERO,
            };
            now.saturating_duration_since(publication.since) >= after
        })
    }
}

#[cfg(test)]
mod tests;
