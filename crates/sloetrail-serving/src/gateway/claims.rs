//! Claims of idempotency keys, so that a keyed request runs at most once.
//!
//! A request that may not repeat and carries a key claims it before its first attempt: with
//! a row of the table that must be absent. Whoever meets the row answers from it and sends
//! nothing. The claimant writes the row once more, with the answer, or with the word that
//! nothing has run; then the key is free again. What a row says about a request is decided
//! in [`record`], how rows are written stands in [`writes`], how they end in [`sweep`].

mod claim;
mod key;
mod record;
pub(crate) mod sweep;
mod writes;

pub(crate) use claim::Claim;

use self::key::IdempotencyKey;
use self::record::{ClaimRecord, ClaimState, RequestIdentity, Verdict};
use self::writes::{Claiming, Settled};
use super::attempt::OutgoingRequest;
use super::headers;
use super::known_batch::RETRY_AFTER;
use crate::dialect::HeaderNames;
use crate::http::WholeAnswer;
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Table;
use crate::telemetry;
use http::HeaderMap;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind};
use sloetrail_types::{NodeId, TenantName, digest_of_parts};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// The part of a request's time within which its key must be claimed: under half, so that
/// as much is left to run it.
const CLAIM_SHARE: f64 = 0.45;
/// When to come back while the table does not settle claims: spread over so long, so that
/// callers do not come back all at once. Outages of the table last seconds.
const UNAVAILABLE_RETRY_LEAST: Duration = Duration::from_millis(500);
const UNAVAILABLE_RETRY_SPREAD: Duration = Duration::from_millis(1_500);
/// When to come back while the request of the key is running: once it is due, within these
/// bounds.
const IN_PROGRESS_RETRY_LEAST: Duration = Duration::from_millis(150);
const IN_PROGRESS_RETRY_MOST: Duration = Duration::from_millis(1_000);

/// The claims of a node.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    claimant: NodeId,
    /// How long a claim is kept after its request was due.
    kept: Duration,
    /// Tells the sendings of this life apart.
    next_number: AtomicU64,
    /// Writes that have no answer yet.
    open_writes: AtomicUsize,
}

/// A request that may carry a key.
pub(crate) struct Sending<'a> {
    pub(crate) route: &'a Route,
    pub(crate) tenant: Option<&'a TenantName>,
    /// As its caller sent them.
    pub(crate) headers: &'a HeaderMap,
    /// When its final answer is due.
    pub(crate) deadline: BootInstant,
}

/// A key that is to be claimed for a request.
pub(crate) struct KeyedSending {
    key: IdempotencyKey,
    tenant: Option<TenantName>,
    host: String,
    deadline: BootInstant,
}

/// What became of the claim of a key.
pub(crate) enum Claimed {
    /// The request runs under no key.
    NotNeeded,
    /// The request may be sent.
    ToSend(Arc<Claim>),
    /// It ran before; this is its answer.
    Answered(WholeAnswer),
}

impl Claims {
    /// The claims of the node with these settings.
    pub(crate) fn new(settings: &ServingSettings, table: Arc<dyn Table>) -> Arc<Self> {
        Arc::new(Self {
            table,
            claimant: settings.instance.clone(),
            kept: settings.bounds.claims_kept,
            next_number: AtomicU64::new(1),
            open_writes: AtomicUsize::new(0),
        })
    }

    /// Writes that have no answer yet.
    pub(crate) fn open_writes(&self) -> usize {
        self.open_writes.load(Ordering::SeqCst)
    }

    /// Claims the key of a request, or tells what its earlier claim says.
    ///
    /// # Errors
    ///
    /// If the request may not be sent. The problem is `not_run` where this sending is all
    /// that it speaks of: the table did not settle the claim in time, or the key is that of
    /// another request.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        sending: KeyedSending,
        outgoing: &OutgoingRequest,
    ) -> Result<Claimed, Problem> {
        let outcome = self.claim_in_time(sending, outgoing).await;
        telemetry::key_claimed(word(&outcome));
        outcome
    }

    async fn claim_in_time(
        self: &Arc<Self>,
        sending: KeyedSending,
        outgoing: &OutgoingRequest,
    ) -> Result<Claimed, Problem> {
        let now_ms = self.table.now_ms().filter(|_| self.may_be_settled());
        let Some(now_ms) = now_ms else {
            return Err(self.unavailable());
        };
        let left = sending
            .deadline
            .saturating_duration_since(BootInstant::now());
        let give_up_at = BootInstant::now() + left.mul_f64(CLAIM_SHARE);
        let record = self.record(&sending, outgoing, now_ms, left);
        let digest = sending.key.digest(sending.tenant.as_ref());
        let address = rows::claim(digest);
        let (request, claims) = (outgoing.request_id.clone(), Arc::clone(self));
        let claiming = Claiming::new(claims, request, address, record);
        // It goes on without its caller: a claim that may have been written must not stay.
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(claiming.run(give_up_at, sender));
        match sloetrail_clock::timeout_at(give_up_at, receiver).await {
            Ok(Ok(Settled::Held(claim))) => Ok(Claimed::ToSend(claim)),
            Ok(Ok(Settled::Met(verdict))) => answer_of(verdict),
            Ok(Err(_)) | Err(_) => Err(self.unavailable()),
        }
    }

    /// False if a write of a claim would be in vain.
    fn may_be_settled(&self) -> bool {
        self.table.is_answering() && !self.table.is_isolated()
    }

    /// The refusal of a sending whose claim was not settled. If the table may well answer
    /// others, another node can take it at once.
    fn unavailable(&self) -> Problem {
        let spread = UNAVAILABLE_RETRY_SPREAD.mul_f64(rand::random());
        unavailable(match self.table.is_isolated() {
            true => RETRY_AFTER,
            false => UNAVAILABLE_RETRY_LEAST + spread,
        })
    }

    fn record(
        &self,
        sending: &KeyedSending,
        outgoing: &OutgoingRequest,
        now_ms: u64,
        left: Duration,
    ) -> ClaimRecord {
        let due_ms = now_ms + left.as_millis() as u64;
        ClaimRecord {
            claimant: self.claimant.clone(),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            request: identity(sending, outgoing),
            due_ms,
            delete_at_ms: due_ms + self.kept.as_millis() as u64,
            state: ClaimState::Running,
        }
    }
}

impl KeyedSending {
    /// The key of a request that runs under one; nothing if it carries none, or may repeat.
    ///
    /// # Errors
    ///
    /// If what it carries is no key.
    pub(crate) fn read(sending: Sending<'_>, names: &HeaderNames) -> Result<Option<Self>, Problem> {
        let Some(name) = &names.idempotency_key else {
            return Ok(None);
        };
        if may_repeat(sending.route) {
            return Ok(None);
        }
        let key = IdempotencyKey::read(sending.headers, name)?;
        Ok(key.map(|key| Self {
            key,
            tenant: sending.tenant.cloned(),
            host: headers::host(sending.headers).to_ascii_lowercase(),
            deadline: sending.deadline,
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

fn identity(sending: &KeyedSending, outgoing: &OutgoingRequest) -> RequestIdentity {
    let parts = [
        outgoing.method.as_str().as_bytes(),
        outgoing.path_and_query.as_bytes(),
        &outgoing.body,
    ];
    RequestIdentity {
        tenant: sending.tenant.clone(),
        host: sending.host.clone(),
        digest: digest_of_parts(&parts),
    }
}

/// What a request is answered whose key was claimed before.
fn answer_of(verdict: Verdict) -> Result<Claimed, Problem> {
    match verdict {
        Verdict::Answered(answer) => match answer.restore() {
            Some(answer) => Ok(Claimed::Answered(answer)),
            None => answer_of(Verdict::OutcomeUnknown),
        },
        Verdict::OtherRequest => {
            let detail = "the key was sent with another request before";
            Err(Problem::new(ResultCode::KeyReused, detail))
        }
        Verdict::InProgress { left } => {
            let detail = "the request of the key is running";
            let retry_after = left.clamp(IN_PROGRESS_RETRY_LEAST, IN_PROGRESS_RETRY_MOST);
            let problem = Problem::new(ResultCode::KeyInProgress, detail);
            Err(problem.with_retry_after_ms(retry_after.as_millis() as u64))
        }
        Verdict::OutcomeUnknown => {
            let detail = "the request of the key may have run; its answer is not kept";
            Err(Problem::new(ResultCode::KeyInProgress, detail))
        }
        // Claiming goes on with these; it ends with neither.
        Verdict::Own | Verdict::Free => Err(unavailable(RETRY_AFTER)),
    }
}

fn unavailable(retry_after: Duration) -> Problem {
    let detail = "the table did not settle the claim of the key; this sending was not run";
    Problem::new(ResultCode::TableUnavailable, detail)
        .with_retry_after_ms(retry_after.as_millis() as u64)
}

/// The outcome of a claim, for metrics.
fn word(outcome: &Result<Claimed, Problem>) -> &'static str {
    match outcome {
        Ok(Claimed::NotNeeded) => "not_needed",
        Ok(Claimed::ToSend(_)) => "claimed",
        Ok(Claimed::Answered(_)) => "repeated",
        Err(problem) if problem.is(ResultCode::KeyReused) => "reused",
        Err(problem) if problem.is(ResultCode::KeyInProgress) => "in_progress",
        Err(_) => "unavailable",
    }
}
