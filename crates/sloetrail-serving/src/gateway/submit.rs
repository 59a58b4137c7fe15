//! Accepting and ending batches.
//!
//! A batch is accepted once its submission and its header are committed, on condition that
//! the header row was absent. The same transaction registers the batch's set, so that the batch
//! has an owner under any later configuration ([`crate::leases`]). A resubmission at any node
//! finds the header and is accepted again. A problem of kind `not_run` is returned only if the
//! table confirms that nothing was written. If a commit got no answer, the outcome is reported
//! as unknown, and the caller submits again.
//!
//! A submission during an outage of the table waits for the outage to end, for a share of
//! the caller's time ([`waiting`]). It is then refused with a retry delay.
//!
//! A batch whose work could not begin before it is due is refused before anything is written
//! ([`admission`]).

mod admission;
mod admission_control;
mod batch_commit;
mod resubmission;
mod unsettled;
mod waiting;

pub(crate) use self::resubmission::{confirm_accepted_batch, find_accepted_batch};

use self::admission::SubmittedBatch;
use self::admission_control::AdmissionControl;
use self::batch_commit::{BatchCommit, BatchTransactions};
use self::waiting::WaitingSubmissions;
use super::batch_lookup::{find_header, table_unavailable};
use super::regions;
use super::response::{CallerResponse, empty_response, problem_response};
use super::stop::CallProgress;
use crate::batch_rows::encode_header;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::BatchSet;
use crate::length_hint::hinted_length;
use crate::rows;
use crate::table::{CommitError, Transaction};
use crate::telemetry;
use bytes::Bytes;
use http::StatusCode;
use sloetrail_batch::{BatchHeader, Submission, is_usable_id};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Kind, Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant, WeightedService};
use sloetrail_types::{AllowedRegions, ServiceName, Timestamp, whole_millis};

/// Entries of the last transaction besides the rows of the submission: a condition and a write for
/// each of the header and the registration of the batch's set.
const HEADER_ENTRIES: usize = 4;
/// Maximum retry delay as a share of the caller's remaining time. Callers ignore a delay of more
/// than a third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.25;
/// Time limit of an acceptance as a share of the time until its deadline. Under half, so that the
/// caller can retry once at another node.
const MAX_ACCEPTANCE_TIME_SHARE: f64 = 0.45;

enum Acceptance {
    New,
    Repeated,
}

struct AcceptedBatch {
    acceptance: Acceptance,
    items: usize,
    regions: AllowedRegions,
}

impl AcceptedBatch {
    fn repeated(header: &BatchHeader) -> Self {
        Self {
            acceptance: Acceptance::Repeated,
            items: header.total,
            regions: header.allowed_regions.clone(),
        }
    }
}

/// What a node keeps on the submissions to it.
pub(crate) struct SubmissionState {
    waiting: WaitingSubmissions,
    admission: AdmissionControl,
}

impl SubmissionState {
    /// `body_budget_bytes` is the budget for all request bodies of the node.
    pub(crate) fn new(body_budget_bytes: usize) -> Self {
        Self {
            waiting: WaitingSubmissions::new(body_budget_bytes),
            admission: AdmissionControl::default(),
        }
    }
}

pub(crate) struct SubmissionCall<'a> {
    pub(crate) configuration: &'a ServingConfiguration,
    pub(crate) route: &'a Route,
    /// The service that runs the batch.
    pub(crate) service: &'a ServiceName,
    pub(crate) id: &'a str,
    /// None if the configuration has no tenants.
    pub(crate) tenant: Option<&'a Tenant>,
    /// The regions that both the route and the tenant allow.
    pub(crate) regions: AllowedRegions,
    pub(crate) body: Bytes,
    pub(crate) received: BootInstant,
    /// Time by which the caller expects an answer.
    pub(crate) deadline: BootInstant,
    pub(crate) progress: &'a CallProgress,
}

/// Accepts or refuses a submission, and logs the outcome.
pub(crate) async fn submit(
    context: &NodeContext,
    state: &SubmissionState,
    call: SubmissionCall<'_>,
) -> CallerResponse {
    let (id, service) = (call.id, call.service);
    let started_at = BootInstant::now();
    let outcome = accept(context, state, &call).await;
    match outcome {
        Ok(accepted) => {
            let outcome_label = match accepted.acceptance {
                Acceptance::New => "accepted",
                Acceptance::Repeated => "repeated",
            };
            telemetry::batch_answered(outcome_label, started_at.elapsed());
            events::emit(&Event::BatchAccepted {
                batch: id,
                service: service.as_str(),
                items: accepted.items,
                repeated: matches!(accepted.acceptance, Acceptance::Repeated),
                regions: &accepted.regions.to_string(),
                took_ms: whole_millis(started_at.elapsed()),
            });
            empty_response(StatusCode::ACCEPTED)
        }
        Err(problem) => {
            telemetry::batch_answered("refused", started_at.elapsed());
            events::emit(&Event::BatchRefused {
                batch: id,
                code: problem.code,
                detail: &problem.detail,
            });
            problem_response(&problem)
        }
    }
}

async fn accept(
    context: &NodeContext,
    state: &SubmissionState,
    call: &SubmissionCall<'_>,
) -> Result<AcceptedBatch, Problem> {
    let SubmissionCall {
        route, id, body, ..
    } = call;
    if !is_usable_id(id) {
        let detail = format!("invalid batch id {id:?}");
        return Err(Problem::new(ResultCode::MalformedRequest, detail));
    }
    let submission = Submission::parse(body)
        .map_err(|error| Problem::new(ResultCode::MalformedRequest, error.to_string()))?;
    let items = submission.items.len();
    let regions = regions::for_batch(call.configuration, &call.regions, &submission);
    let (model, oldest_version) = (submission.model.clone(), submission.min_version);
    let hint_header = &context.dialect.headers().length_hint;
    let required_units = submission.required_units(|item| hinted_length(item, hint_header));
    // Frees the parsed form: only the body is retained while the submission waits for the table.
    drop(submission);
    let parts = split_body(body, context.table.limits().row_bytes);
    let header = BatchHeader {
        service: call.service.clone(),
        host: route.host.clone(),
        total: items,
        body_rows: parts.len(),
        accepted_at: Timestamp(context.table.now_ms().unwrap_or_default()),
        max_attempts: route.max_attempts,
        retention: route.retention.into(),
        single_version: route.single_version,
        run_target: route.run_target.into(),
        priority: route.priority,
        tenant: call.tenant.map(|tenant| tenant.name.clone()),
        tenant_priority: call.tenant.and_then(|tenant| tenant.priority),
        allowed_regions: regions.clone(),
        model,
        oldest_version: oldest_version.unwrap_or_default(),
    };
    let admission = &state.admission;
    let is_refusing = context.settings.policies.refuse_unservable;
    let batch = SubmittedBatch::new(&header, required_units).filter(|_| is_refusing);
    if let Some(batch) = &batch
        && let Some(accepted) = admission.check(context, call, &header, batch).await?
    {
        return Ok(AcceptedBatch::repeated(&accepted));
    }
    let transactions = batch_transactions(context, id, &parts, &header);
    let commit = BatchCommit {
        context,
        waiting: &state.waiting,
        id,
        body_bytes: body.len(),
        acceptance_deadline: acceptance_deadline(call.received, call.deadline),
        deadline: call.deadline,
        progress: call.progress,
        is_outcome_unknown: false,
    };
    let open_submission = admission.unsettled.begin(id);
    let outcome = commit.run(transactions, &BatchSet::of_batch(&header)).await;
    // A resubmission must not be refused as not run while this attempt may still be written.
    let may_still_be_written = matches!(&outcome, Err(problem) if problem.kind != Kind::NotRun);
    if !may_still_be_written {
        open_submission.settle();
    }
    let acceptance = outcome?;
    if let (Acceptance::New, Some(batch)) = (&acceptance, batch) {
        admission.record_accepted(&header, batch);
    }
    Ok(AcceptedBatch {
        acceptance,
        items,
        regions,
    })
}

/// Time at which attempts to accept a submission end.
fn acceptance_deadline(received: BootInstant, deadline: BootInstant) -> BootInstant {
    let time = deadline.saturating_duration_since(received);
    received + time.mul_f64(MAX_ACCEPTANCE_TIME_SHARE)
}

fn split_body(body: &Bytes, row_bytes: usize) -> Vec<Bytes> {
    let starts = (0..body.len()).step_by(row_bytes);
    starts
        .map(|start| body.slice(start..body.len().min(start + row_bytes)))
        .collect()
}

fn batch_transactions(
    context: &NodeContext,
    id: &str,
    parts: &[Bytes],
    header: &BatchHeader,
) -> BatchTransactions {
    let limits = context.table.limits();
    let mut submission_parts = Vec::new();
    let mut current = Transaction::new();
    let mut bytes = 0;
    for (index, part) in parts.iter().enumerate() {
        let is_full = bytes + part.len() > limits.transaction_bytes
            || current.puts.len() + HEADER_ENTRIES >= limits.transaction_entries;
        if is_full {
            submission_parts.push(std::mem::take(&mut current));
            bytes = 0;
        }
        bytes += part.len();
        current = current.put(rows::submission_part(id, index), part.clone());
    }
    let head = rows::batch(id);
    let header = current
        .require(head.clone(), None)
        .put(head, encode_header(header));
    BatchTransactions {
        submission_parts,
        header,
    }
}

/// Ends a batch: items without a listed result need not run any more.
pub(crate) async fn end(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    progress: &CallProgress,
) -> CallerResponse {
    if let Err(problem) = find_header(context, id, caller).await {
        return problem_response(&problem);
    }
    let transaction = Transaction::new().put(rows::end(id), Bytes::from_static(b"ended"));
    progress.record_start();
    match context.table.commit(&transaction).await {
        Ok(_) => empty_response(StatusCode::OK),
        Err(CommitError::NotDone) => problem_response(&table_unavailable()),
        Err(CommitError::Unknown) => {
            let detail = format!("the table did not confirm the end of batch {id}");
            problem_response(&Problem::new(ResultCode::BatchUnconfirmed, detail))
        }
    }
}

/// Returns the service that runs a batch: the first with a positive weight, so that a
/// resubmission reaches the same service.
pub(crate) fn batch_service(services: &[WeightedService]) -> Option<&ServiceName> {
    let part = services.iter().find(|part| part.weight > 0.0)?;
    Some(&part.service)
}
