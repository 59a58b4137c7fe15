//! What an operator sees of the quarantine, and how a request is released.

use super::Quarantine;
use crate::gateway::response::{CallerResponse, empty_response, full_body};
use http::{Method, Response, StatusCode};
use serde::Serialize;
use sloetrail_quarantine::RequestDigest;

/// Where the requests are listed (GET), and each is released under its digest (DELETE).
const PATH: &str = "/quarantine";
/// Requests of one list.
const MAX_LISTED: usize = 200;

/// A request that is kept from the back ends of a service, as it is told.
#[derive(Serialize)]
struct ListedRequest {
    digest: RequestDigest,
    service: String,
    crashes: usize,
    /// False if another request explains the crashes as well.
    clear: bool,
    /// The versions of the software that crashed.
    software: Vec<String>,
    /// Milliseconds since the last crash.
    since_last_ms: u64,
}

impl Quarantine {
    /// Answers a call about the quarantine; nothing if the path is another.
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
            })
            .collect();
        Response::new(full_body(
            serde_json::to_vec(&quarantined).unwrap_or_default(),
        ))
    }
}
