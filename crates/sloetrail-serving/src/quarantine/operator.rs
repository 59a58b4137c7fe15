//! Operator endpoint that lists quarantined requests and releases them.

use super::Quarantine;
use crate::gateway::response::{CallerResponse, empty_response, full_body};
use http::{Method, Response, StatusCode};
use serde::Serialize;
use sloetrail_quarantine::{HoldReason, RequestDigest};
use sloetrail_types::whole_millis;

/// GET lists the requests. DELETE releases one by its digest.
const PATH: &str = "/quarantine";
const MAX_LISTED: usize = 200;

/// A quarantined request in the response.
#[derive(Serialize)]
struct ListedRequest {
    digest: RequestDigest,
    service: String,
    crashes: usize,
    /// False if another request explains the crashes equally well.
    clear: bool,
    /// The software versions that crashed.
    software: Vec<String>,
    since_last_ms: u64,
    /// Why it is held.
    reason: &'static str,
    /// What ends it.
    waits_for: &'static str,
    /// Time until the request may be tried; None if it is not.
    trial_in_ms: Option<u64>,
}

impl Quarantine {
    /// Answers a request for a quarantine path. None for any other path.
    pub(crate) fn answer_operator(&self, method: &Method, path: &str) -> Option<CallerResponse> {
        let rest = path.strip_prefix(PATH)?;
        let digest = rest.strip_prefix('/').and_then(RequestDigest::parse);
        Some(match (method, rest, digest) {
            (&Method::GET, "", _) => self.list(),
            (&Method::DELETE, _, Some(digest)) if self.release(digest) => {
                empty_response(StatusCode::NO_CONTENT)
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }

    fn list(&self) -> CallerResponse {
        let now_ms = self.table.now_ms().unwrap_or_default();
        let assessment = self.assessment();
        let quarantined = assessment.quarantined().take(MAX_LISTED);
        let quarantined: Vec<ListedRequest> = quarantined
            .map(|(suspect, quarantined)| ListedRequest {
                digest: suspect.digest,
                service: suspect.service.to_string(),
                crashes: quarantined.crashes,
                clear: quarantined.is_sole_suspect,
                software: quarantined.software.iter().cloned().collect(),
                since_last_ms: now_ms.saturating_sub(quarantined.last_crash_ms),
                reason: quarantined.reason.as_str(),
                waits_for: waits_for(quarantined.reason),
                trial_in_ms: self
                    .until_trial(&suspect.service, quarantined)
                    .map(whole_millis),
            })
            .collect();
        Response::new(full_body(
            serde_json::to_vec(&quarantined).unwrap_or_default(),
        ))
    }
}

/// Returns what ends the quarantine of a request, besides a release and the end of its retention.
fn waits_for(reason: HoldReason) -> &'static str {
    match reason {
        HoldReason::SoleSuspect | HoldReason::TrialsExhausted => "other software at all back ends",
        HoldReason::SeveralSuspects | HoldReason::OtherCause => "a trial",
    }
}
