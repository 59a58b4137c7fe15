//! Tracks how often the models get new versions.
//!
//! While versions follow one another within seconds, only the engines that a model needs get
//! each of them. A long-lived version goes to every engine. A version is expected to be
//! long-lived at once if its predecessor was, and otherwise after it has been the newest for
//! some time.

use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// Age at which a version without a known predecessor counts as long-lived: slightly more than a
/// short training step.
const MIN_AGE_FIRST_VERSION: Duration = Duration::from_millis(4_500);
/// Versions that last less than this are frequent: training steps take 4 to 12 s. After a frequent
/// version, the next one counts as long-lived at this age.
const MIN_AGE_FREQUENT_VERSION: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
struct Publication {
    version: WeightVersion,
    first_seen_at: BootInstant,
    /// How long the previous version was the newest.
    previous_lifetime: Option<Duration>,
}

/// The newest version of each model and the time at which it was first seen.
#[derive(Debug, Default)]
pub(super) struct Publications {
    models: BTreeMap<String, Publication>,
}

impl Publications {
    pub(super) fn record(&mut self, model: &str, version: WeightVersion, now: BootInstant) {
        let known = self.models.get(model).copied();
        if known.is_some_and(|known| known.version == version) {
            return;
        }
        let publication = Publication {
            version,
            first_seen_at: now,
            previous_lifetime: known
                .map(|known| now.saturating_duration_since(known.first_seen_at)),
        };
        self.models.insert(model.to_owned(), publication);
    }

    /// True if the newest version of a model counts as long-lived.
    pub(super) fn is_long_lived(&self, model: &str, now: BootInstant) -> bool {
        self.models.get(model).is_some_and(|publication| {
            let min_age = match publication.previous_lifetime {
                None => MIN_AGE_FIRST_VERSION,
                Some(lifetime) if lifetime < MIN_AGE_FREQUENT_VERSION => MIN_AGE_FREQUENT_VERSION,
                Some(_) => Duration::ZERO,
            };
            now.saturating_duration_since(publication.first_seen_at) >= min_age
        })
    }
}

#[cfg(test)]
mod tests;
