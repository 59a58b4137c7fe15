//! What the row of a claim holds, and what it says about a request.

use crate::gateway::headers;
use crate::http::WholeAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use sloetrail_types::{NodeId, TenantName};
use std::time::Duration;

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The life of the node that wrote it.
    pub(super) claimant: NodeId,
    /// Which sending of that life it is for.
    pub(super) number: u64,
    /// The request.
    pub(super) request: RequestIdentity,
    /// When the request's final answer is due, by the table's clock.
    pub(super) due_ms: u64,
    /// When the row may be deleted, by the same clock.
    pub(super) delete_at_ms: u64,
    /// What became of it.
    pub(super) state: ClaimState,
}

/// What tells one request from another under the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestIdentity {
    /// Whose it is.
    pub(super) tenant: Option<TenantName>,
    /// The host that it was sent to. The name of its route is not asked for: the operator may
    /// change it while callers send again what has run.
    pub(super) host: String,
    /// A digest of its method, path and body.
    pub(super) digest: u128,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// The request may be running, or may have run without anybody knowing how it ended.
    Running,
    /// It ran; its answer.
    Answered(StoredAnswer),
    /// Proved: it has not run, and this claimant sends it no more.
    Released,
}

/// A back end's answer as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

/// What the row of a claim says about a request that meets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is the claim of this very sending: the answer of the table was lost.
    Own,
    /// The request has not run; its key may be claimed again.
    Free,
    /// The request ran; its answer.
    Answered(StoredAnswer),
    /// The key is that of another request.
    OtherRequest,
    /// The request may be running; its answer is due in this time.
    InProgress {
        /// The time until then.
        left: Duration,
    },
    /// The request may have run, and nobody will tell how it ended.
    OutcomeUnknown,
}

impl ClaimRecord {
    /// What this row says about the request that `asking` is to claim the key for.
    pub(super) fn judge(&self, asking: &ClaimRecord, now_ms: u64) -> Verdict {
        if self.is_of_same_sending(asking) {
            return Verdict::Own;
        }
        if self.request != asking.request {
            return Verdict::OtherRequest;
        }
        match &self.state {
            ClaimState::Released => Verdict::Free,
            ClaimState::Answered(answer) => Verdict::Answered(answer.clone()),
            ClaimState::Running if now_ms < self.due_ms => Verdict::InProgress {
                left: Duration::from_millis(self.due_ms - now_ms),
            },
            ClaimState::Running => Verdict::OutcomeUnknown,
        }
    }

    /// True if both were written for the same sending of the same life.
    pub(super) fn is_of_same_sending(&self, other: &ClaimRecord) -> bool {
        self.claimant == other.claimant && self.number == other.number
    }

    /// The same claim in another state.
    pub(super) fn in_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// The stored form.
    pub(super) fn encode(&self) -> Bytes {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("memory takes every write");
        Bytes::from(encoded)
    }

    /// Reads the stored form; nothing if it cannot be read.
    pub(super) fn decode(stored: &[u8]) -> Option<Self> {
        ciborium::from_reader(stored).ok()
    }
}

impl StoredAnswer {
    /// An answer as it is kept: without what belongs to one connection.
    pub(super) fn of(answer: &WholeAnswer) -> Self {
        let kept = headers::end_to_end(&answer.headers);
        let kept = kept.iter().map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        });
        Self {
            status: answer.status.as_u16(),
            headers: kept.collect(),
            body: answer.body.clone(),
        }
    }

    /// The answer as it was; nothing if the row holds none that could have been.
    pub(crate) fn restore(self) -> Option<WholeAnswer> {
        let mut headers = HeaderMap::new();
        for (name, value) in self.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_maybe_shared(value).ok()?);
        }
        Some(WholeAnswer {
            status: StatusCode::from_u16(self.status).ok()?,
            headers,
            body: self.body,
        })
    }
}

#[cfg(test)]
mod tests;
