//! Problem documents (RFC 9457).

use crate::{Kind, ResultCode};
use serde::{Deserialize, Serialize};

/// The content type of a problem document.
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// The body of every refusal or failure that a node sends over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A reference that names the code.
    #[serde(rename = "type")]
    pub type_reference: String,
    /// The code's short name.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The code's number.
    pub code: u16,
    /// Whether the request ran.
    pub kind: Kind,
    /// What happened this time.
    pub detail: String,
    /// When to ask again, in milliseconds, where that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem of a code with a sentence on what happened.
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

    /// The same problem with a time after which asking again may help.
    #[must_use]
    pub fn with_retry_after_ms(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// True if the problem's code is `code`.
    pub fn is(&self, code: ResultCode) -> bool {
        self.code == code.number()
    }
}
