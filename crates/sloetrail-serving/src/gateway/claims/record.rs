//! The stored form of a claim, and the decision that follows from it for a request.

use crate::gateway::headers;
use crate::http::CompleteAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use sloetrail_types::{NodeId, TenantName, Timestamp};
use std::time::Duration;

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The incarnation of the node that wrote the claim.
    pub(super) claimant: NodeId,
    /// Number of the call within that incarnation.
    pub(super) number: u64,
    pub(super) request: RequestIdentity,
    /// Time by which the request's final answer is due, by the table's clock.
    #[serde(rename = "due_ms")]
    pub(super) due_at: Timestamp,
    /// Time from which the row may be deleted, by the table's clock.
    #[serde(rename = "delete_at_ms")]
    pub(super) delete_at: Timestamp,
    pub(super) state: ClaimState,
}

/// Distinguishes requests that use the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestIdentity {
    pub(super) tenant: Option<TenantName>,
    /// The requested host. The route's name is not part of the identity: a repeat must match after
    /// the operator renames the route.
    pub(super) host: String,
    /// Digest of method, path with query, and body.
    pub(super) digest: u128,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// The request may be running, or may have run with an unknown outcome.
    Running,
    /// The request ran; holds its answer.
    Answered(StoredAnswer),
    /// The request has not run, and the claimant will not send it again.
    Released,
}

/// A back end's answer as stored in a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

/// Consequence of an existing claim for a request with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimDecision {
    /// This call wrote the claim itself; the table's answer to the write was lost.
    OwnClaim,
    /// The earlier request has not run; the key may be claimed again.
    Available,
    /// The request ran; holds its answer.
    Answered(StoredAnswer),
    /// The key belongs to a different request.
    RequestMismatch,
    /// The request may be running.
    InProgress {
        /// Time until its answer is due.
        remaining: Duration,
    },
    /// The request may have run; its outcome is unknown and stays so.
    OutcomeUnknown,
}

impl ClaimRecord {
    /// Decides what this row means for `candidate`, a claim of the same key.
    pub(super) fn decide(&self, candidate: &ClaimRecord, now: Timestamp) -> ClaimDecision {
        if self.is_same_call(candidate) {
            return ClaimDecision::OwnClaim;
        }
        if self.request != candidate.request {
            return ClaimDecision::RequestMismatch;
        }
        match &self.state {
            ClaimState::Released => ClaimDecision::Available,
            ClaimState::Answered(answer) => ClaimDecision::Answered(answer.clone()),
            ClaimState::Running if now < self.due_at => ClaimDecision::InProgress {
                remaining: self.due_at.since(now),
            },
            ClaimState::Running => ClaimDecision::OutcomeUnknown,
        }
    }

    /// True if both were written for the same call at the same incarnation of a node.
    pub(super) fn is_same_call(&self, other: &ClaimRecord) -> bool {
        self.claimant == other.claimant && self.number == other.number
    }

    pub(super) fn in_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    pub(super) fn encode(&self) -> Bytes {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("writing to a Vec cannot fail");
        Bytes::from(encoded)
    }

    /// Decodes the stored form. None if it is malformed.
    pub(super) fn decode(stored: &[u8]) -> Option<Self> {
        ciborium::from_reader(stored).ok()
    }
}

impl StoredAnswer {
    /// Copies an answer without its hop-by-hop headers.
    pub(super) fn of(answer: &CompleteAnswer) -> Self {
        let stored_headers = headers::end_to_end(&answer.headers);
        let stored_headers = stored_headers.iter().map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        });
        Self {
            status: answer.status.as_u16(),
            headers: stored_headers.collect(),
            body: answer.body.clone(),
        }
    }

    /// Restores the answer. None if the row holds an invalid status or header.
    pub(crate) fn restore(self) -> Option<CompleteAnswer> {
        let mut headers = HeaderMap::new();
        for (name, value) in self.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_maybe_shared(value).ok()?);
        }
        Some(CompleteAnswer {
            status: StatusCode::from_u16(self.status).ok()?,
            headers,
            body: self.body,
        })
    }
}

#[cfg(test)]
mod tests;
