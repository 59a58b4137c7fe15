//! Claims of idempotency keys, so that a keyed request runs at most once.
//!
//! A non-repeatable request with a key claims the key before its first attempt, by inserting a
//! row that must be absent. A call that finds the row is answered from it and sends nothing.
//! The claimant later updates the row: with the answer, or with the state `Released` if
//! nothing has run, which makes the key available again.
//!
//! [`record`] decides what a row means for a request, [`writes`] writes rows, and [`sweep`]
//! deletes expired rows.

mod claim;
mod key;
mod record;
pub(crate) mod sweep;
mod writes;

pub(crate) use claim::Claim;

use self::key::IdempotencyKey;
use self::record::{ClaimDecision, ClaimRecord, ClaimState, RequestIdentity};
use self::writes::{ClaimSettlement, ClaimWrite};
use super::attempt::OutgoingRequest;
use super::batch_lookup::RETRY_AFTER;
use super::headers;
use crate::dialect::HeaderNames;
use crate::http::CompleteAnswer;
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Table;
use crate::tasks;
use crate::telemetry;
use http::HeaderMap;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind};
use sloetrail_types::{NodeId, TenantName, Timestamp, digest_of_parts, whole_millis};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time limit of a claim as a share of the request's remaining time. Under half, so that enough
/// time remains to run the request.
const MAX_CLAIM_TIME_SHARE: f64 = 0.45;
/// Retry delay while claims cannot be written, plus a jitter that spreads the callers' retries.
/// Outages of the table last seconds.
const MIN_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
const UNAVAILABLE_RETRY_JITTER: Duration = Duration::from_millis(1_500);
/// Bounds of the retry delay while the key's request is running. Within them, the delay is the time
/// until the request is due.
const MIN_IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The claims of a node.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    claimant: NodeId,
    /// How long a claim is retained after its request was due.
    retention: Duration,
    /// Distinguishes the calls of this incarnation of the node.
    next_number: AtomicU64,
    pending_writes: AtomicUsize,
}

/// A request whose headers may carry an idempotency key.
pub(crate) struct IncomingRequest<'a> {
    pub(crate) route: &'a Route,
    pub(crate) tenant: Option<&'a TenantName>,
    /// The headers as received from the caller.
    pub(crate) headers: &'a HeaderMap,
    /// Time by which the final answer is due.
    pub(crate) deadline: BootInstant,
}

/// A non-repeatable request with an idempotency key.
pub(crate) struct KeyedRequest {
    key: IdempotencyKey,
    tenant: Option<TenantName>,
    host: String,
    deadline: BootInstant,
}

/// Outcome of claiming the key of a request.
pub(crate) enum KeyClaimOutcome {
    /// The request has no key to claim.
    NotNeeded,
    /// The key is claimed; the request may be sent.
    Acquired(Arc<Claim>),
    /// The request ran before; holds its stored answer.
    Answered(CompleteAnswer),
}

impl Claims {
    pub(crate) fn new(settings: &ServingSettings, table: Arc<dyn Table>) -> Arc<Self> {
        Arc::new(Self {
            table,
            claimant: settings.instance.clone(),
            retention: settings.bounds.claim_retention,
            next_number: AtomicU64::new(1),
            pending_writes: AtomicUsize::new(0),
        })
    }

    /// Number of writes that are scheduled or in flight.
    pub(crate) fn pending_writes(&self) -> usize {
        self.pending_writes.load(Ordering::SeqCst)
    }

    /// Claims the key of a request, or returns the outcome of its earlier claim.
    ///
    /// # Errors
    ///
    /// If the request may not be sent. The problem's kind is `not_run` if it concerns only this
    /// call: the claim was not written in time, or the key belongs to another request.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        keyed: KeyedRequest,
        outgoing: &OutgoingRequest,
    ) -> Result<KeyClaimOutcome, Problem> {
        let outcome = self.claim_before_deadline(keyed, outgoing).await;
        telemetry::key_claimed(outcome_label(&outcome));
        outcome
    }

    async fn claim_before_deadline(
        self: &Arc<Self>,
        keyed: KeyedRequest,
        outgoing: &OutgoingRequest,
    ) -> Result<KeyClaimOutcome, Problem> {
        let now_ms = self.table.now_ms().filter(|_| self.is_table_available());
        let Some(now) = now_ms.map(Timestamp) else {
            return Err(self.unavailable());
        };
        let remaining = keyed.deadline.saturating_duration_since(BootInstant::now());
        let claim_deadline = BootInstant::now() + remaining.mul_f64(MAX_CLAIM_TIME_SHARE);
        let record = self.record(&keyed, outgoing, now, remaining);
        let digest = keyed.key.digest(keyed.tenant.as_ref());
        let address = rows::claim(digest);
        let (request, claims) = (outgoing.request_id.clone(), Arc::clone(self));
        let claim_write = ClaimWrite::new(claims, request, address, record);
        // Runs detached from the caller, so that an abandoned claim is still released.
        let (sender, receiver) = oneshot::channel();
        tasks::spawn("claim write", claim_write.run(claim_deadline, sender));
        match sloetrail_clock::timeout_at(claim_deadline, receiver).await {
            Ok(Ok(ClaimSettlement::Acquired(claim))) => Ok(KeyClaimOutcome::Acquired(claim)),
            Ok(Ok(ClaimSettlement::Existing(decision))) => outcome_of(decision),
            Ok(Err(_)) | Err(_) => Err(self.unavailable()),
        }
    }

    /// False if writes are known to fail at present.
    fn is_table_available(&self) -> bool {
        self.table.is_answering() && !self.table.is_isolated()
    }

    /// Problem for a call whose claim was not written. The retry delay is short if only this node
    /// is isolated, since another node may serve the retry.
    fn unavailable(&self) -> Problem {
        let jitter = UNAVAILABLE_RETRY_JITTER.mul_f64(rand::random());
        unavailable(match self.table.is_isolated() {
            true => RETRY_AFTER,
            false => MIN_UNAVAILABLE_RETRY_AFTER + jitter,
        })
    }

    fn record(
        &self,
        keyed: &KeyedRequest,
        outgoing: &OutgoingRequest,
        now: Timestamp,
        remaining: Duration,
    ) -> ClaimRecord {
        let due_at = now.after(remaining);
        ClaimRecord {
            claimant: self.claimant.clone(),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            request: request_identity(keyed, outgoing),
            due_at,
            delete_at: due_at.after(self.retention),
            state: ClaimState::Running,
        }
    }
}

impl KeyedRequest {
    /// Reads the key of a request. None if the request carries no key or may repeat.
    ///
    /// # Errors
    ///
    /// If the header is not a valid key.
    pub(crate) fn read(
        request: IncomingRequest<'_>,
        names: &HeaderNames,
    ) -> Result<Option<Self>, Problem> {
        let Some(name) = &names.idempotency_key else {
            return Ok(None);
        };
        if may_repeat(request.route) {
            return Ok(None);
        }
        let key = IdempotencyKey::read(request.headers, name)?;
        Ok(key.map(|key| Self {
            key,
            tenant: request.tenant.cloned(),
            host: headers::host(request.headers).to_ascii_lowercase(),
            deadline: request.deadline,
        }))
    }
}

fn may_repeat(route: &Route) -> bool {
    match route.kind {
        RouteKind::Idempotent | RouteKind::Rollout => true,
        RouteKind::Stream => route.resumable,
        RouteKind::NonIdempotent => false,
    }
}

fn request_identity(keyed: &KeyedRequest, outgoing: &OutgoingRequest) -> RequestIdentity {
    let parts = [
        outgoing.method.as_str().as_bytes(),
        outgoing.path_and_query.as_bytes(),
        &outgoing.body,
    ];
    RequestIdentity {
        tenant: keyed.tenant.clone(),
        host: keyed.host.clone(),
        digest: digest_of_parts(&parts),
    }
}

/// Outcome for a request whose key was claimed before.
fn outcome_of(decision: ClaimDecision) -> Result<KeyClaimOutcome, Problem> {
    match decision {
        ClaimDecision::Answered(answer) => match answer.restore() {
            Some(answer) => Ok(KeyClaimOutcome::Answered(answer)),
            None => outcome_of(ClaimDecision::OutcomeUnknown),
        },
        ClaimDecision::RequestMismatch => {
            let detail = "the key was used with a different request before";
            Err(Problem::new(ResultCode::KeyReused, detail))
        }
        ClaimDecision::InProgress { remaining } => {
            let detail = "the request with this key is still running";
            let retry_after =
                remaining.clamp(MIN_IN_PROGRESS_RETRY_AFTER, MAX_IN_PROGRESS_RETRY_AFTER);
            let problem = Problem::new(ResultCode::KeyInProgress, detail);
            Err(problem.with_retry_after_ms(whole_millis(retry_after)))
        }
        ClaimDecision::OutcomeUnknown => {
            let detail = "the request with this key may have run, but its answer is not stored";
            Err(Problem::new(ResultCode::KeyInProgress, detail))
        }
        // `ClaimWrite` continues on both, so neither is returned as its settlement.
        ClaimDecision::OwnClaim | ClaimDecision::Available => Err(unavailable(RETRY_AFTER)),
    }
}

fn unavailable(retry_after: Duration) -> Problem {
    let detail = "the table did not confirm the claim of the key in time; this call was not run";
    Problem::new(ResultCode::TableUnavailable, detail)
        .with_retry_after_ms(whole_millis(retry_after))
}

/// Label of a claim's outcome in metrics.
fn outcome_label(outcome: &Result<KeyClaimOutcome, Problem>) -> &'static str {
    match outcome {
        Ok(KeyClaimOutcome::NotNeeded) => "not_needed",
        Ok(KeyClaimOutcome::Acquired(_)) => "claimed",
        Ok(KeyClaimOutcome::Answered(_)) => "repeated",
        Err(problem) if problem.is(ResultCode::KeyReused) => "reused",
        Err(problem) if problem.is(ResultCode::KeyInProgress) => "in_progress",
        Err(_) => "unavailable",
    }
}
