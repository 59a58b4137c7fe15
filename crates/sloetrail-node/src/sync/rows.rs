//! The table rows of the configuration.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sloetrail_clients::{CallError, Row};
use sloetrail_types::{ApplyId, Revision};

/// The row that names the revision in force.
pub(crate) const HEAD_KEY: &str = "config/head";

/// The value of the head row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct HeadRecord {
    pub(crate) revision: Revision,
}

/// The value of a revision's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RevisionRecord {
    pub(crate) text: String,
    pub(crate) apply: ApplyId,
}

/// What became of an apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ApplyRecord {
    /// It made this revision.
    Accepted(Revision),
    /// Its operator asked for it when it was not there; now it never will be.
    Withdrawn,
}

pub(crate) fn revision_key(revision: Revision) -> String {
    format!("config/revision/{:012}", revision.0)
}

pub(crate) fn apply_key(apply: &ApplyId) -> String {
    format!("config/apply/{apply}")
}

/// A row's value as its type.
pub(crate) fn value_of<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, CallError> {
    serde_json::from_value(row.value.clone()).map_err(|error| CallError::Unknown {
        reason: format!("row {}: {error}", row.key),
    })
}

/// A value for a row.
pub(crate) fn to_value<T: Serialize>(value: &T) -> Option<Value> {
    serde_json::to_value(value).ok()
}
