//! Problem documents (RFC 9457).

use crate::{Kind, ResultCode};
use serde::{Deserialize, Serialize};

pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// The body of every refusal or failure that a node sends over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN that identifies the code.
    #[serde(rename = "type")]
    pub type_reference: String,
    pub title: String,
    pub status: u16,
    /// The number of the [`ResultCode`].
    pub code: u16,
    pub kind: Kind,
    /// A description of this occurrence.
    pub detail: String,
    /// The delay before a retry. None if a retry does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem without a retry delay. `detail` describes this occurrence.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            type_reference: format!("urn:sloetrail:result:{}", code.number()),
            title: code.title().to_owned(),
            status: code.status(),
            code: code.number(),
            kind: code.kind(),
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after_ms(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    pub fn is(&self, code: ResultCode) -> bool {
        self.code == code.number()
    }
}
