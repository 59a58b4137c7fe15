//! What an apply would change.

use crate::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// One entry that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// What differs, such as `service caption-lm`.
    pub entry: String,
    /// The entry before, or nothing if it is new.
    pub before: Option<String>,
    /// The entry after, or nothing if it is removed.
    pub after: Option<String>,
}

/// Every entry that differs, in the order zones, services, runs.
pub fn difference(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    let zone_entries = |configuration: &Configuration| -> BTreeMap<String, String> {
        let zones = configuration.zones.iter();
        zones
            .map(|zone| (zone.to_string(), "present".to_owned()))
            .collect()
    };
    compare(
        "zone",
        &zone_entries(before),
        &zone_entries(after),
        &mut changes,
    );
    compare(
        "service",
        &described(&before.services),
        &described(&after.services),
        &mut changes,
    );
    compare(
        "run",
        &described(&before.runs),
        &described(&after.runs),
        &mut changes,
    );
    changes
}

fn described<K: ToString, V: Debug>(entries: &BTreeMap<K, V>) -> BTreeMap<String, String> {
    entries
        .iter()
        .map(|(name, entry)| (name.to_string(), format!("{entry:?}")))
        .collect()
}

fn compare(
    what: &str,
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
    changes: &mut Vec<Change>,
) {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        if before.get(name) != after.get(name) {
            changes.push(Change {
                entry: format!("{what} {name}"),
                before: before.get(name).cloned(),
                after: after.get(name).cloned(),
            });
        }
    }
}
