//! Accepting and ending batches.
//!
//! A batch is accepted once its submission and its head are committed; the head's
//! row must have been absent. The same batch sent again, to whatever node, finds
//! the head and is accepted again. An answer that promises that nothing runs is
//! given only if the table says that nothing was written; if the table does not
//! answer, the caller is told that the outcome is unknown and sends again.
//!
//! Outages of the table last seconds, as long as a caller's two or three tries. A
//! submission that meets one therefore waits for its end, for a part of the caller's
//! time ([`waiting`]), and is then refused with the time to come back.

mod repeat;
mod waiting;

pub(crate) use self::repeat::{accept_again, accepted_before};
pub(crate) use self::waiting::WaitingSubmissions;

use self::waiting::{Hindrance, wait_for_table};
use super::known_batch::{RETRY_AFTER, header_of, table_unavailable};
use super::regions;
use super::response::{CallerResponse, empty_response, problem_response};
use crate::batch_rows::encode_header;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, CommitError, Transaction};
use crate::telemetry;
use bytes::Bytes;
use http::StatusCode;
use sloetrail_batch::{BatchHeader, Submission, is_usable_id};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant, WeightedService};
use sloetrail_types::{AllowedRegions, ServiceName};
use std::time::Duration;

/// When to come back after an outage was waited for in vain. Outages of 3 to 7 s are
/// what the operators play; the retry waits as well, so it need not come late.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The most of the caller's time left that a retry may be put off by. Callers do not
/// heed more than a third of it.
const RETRY_AFTER_SHARE: f64 = 0.25;
/// How long an acceptance is tried for, as a part of the time until its answer is due:
/// under half, so that the caller has as much left for one more try at another node.
const ACCEPTANCE_SHARE: f64 = 0.45;
/// Between two attempts at a transaction that failed.
const COMMIT_PAUSE: Duration = Duration::from_millis(25);

enum Acceptance {
    New,
    Repeated,
}

/// A batch that is accepted.
struct Accepted {
    acceptance: Acceptance,
    items: usize,
    regions: AllowedRegions,
}

/// A batch as it was submitted.
pub(crate) struct SubmissionCall<'a> {
    /// The configuration that it is accepted under.
    pub(crate) configuration: &'a ServingConfiguration,
    /// The route that it came by.
    pub(crate) route: &'a Route,
    /// The service that runs it.
    pub(crate) service: &'a ServiceName,
    /// Its id.
    pub(crate) id: &'a str,
    /// Whose it is; nothing where the configuration names no tenants.
    pub(crate) tenant: Option<&'a Tenant>,
    /// The regions that its route and its tenant allow.
    pub(crate) regions: AllowedRegions,
    /// Its body.
    pub(crate) body: Bytes,
    /// When it was received.
    pub(crate) received: BootInstant,
    /// When its answer is due.
    pub(crate) deadline: BootInstant,
}

/// Answers a submission.
pub(crate) async fn submit(
    context: &NodeContext,
    waiting: &WaitingSubmissions,
    call: SubmissionCall<'_>,
) -> CallerResponse {
    let (id, service) = (call.id, call.service);
    let began = BootInstant::now();
    let outcome = accept(context, waiting, &call).await;
    match outcome {
        Ok(accepted) => {
            let word = match accepted.acceptance {
                Acceptance::New => "accepted",
                Acceptance::Repeated => "repeated",
            };
            telemetry::batch_answered(word, began.elapsed());
            events::emit(&Event::BatchAccepted {
                batch: id,
                service: service.as_str(),
                items: accepted.items,
                repeated: matches!(accepted.acceptance, Acceptance::Repeated),
                regions: &accepted.regions.to_string(),
                took_ms: began.elapsed().as_millis() as u64,
            });
            empty_response(StatusCode::ACCEPTED)
        }
        Err(problem) => {
            telemetry::batch_answered("refused", began.elapsed());
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
    waiting: &WaitingSubmissions,
    call: &SubmissionCall<'_>,
) -> Result<Accepted, Problem> {
    let SubmissionCall {
        route, id, body, ..
    } = call;
    if !is_usable_id(id) {
        let detail = format!("the id {id:?} cannot name a batch");
        return Err(Problem::new(ResultCode::MalformedRequest, detail));
    }
    let submission = Submission::parse(body)
        .map_err(|error| Problem::new(ResultCode::MalformedRequest, error.to_string()))?;
    let items = submission.items.len();
    let regions = regions::for_batch(call.configuration, &call.regions, &submission);
    let (model, oldest_version) = (submission.model.clone(), submission.min_version);
    // A submission may wait for the table: only its body is held meanwhile.
    drop(submission);
    let parts = cut(body, context.table.limits().row_bytes);
    let header = BatchHeader {
        service: call.service.clone(),
        host: route.host.clone(),
        total: items,
        body_rows: parts.len(),
        accepted_at_ms: context.table.now_ms().unwrap_or_default(),
        max_attempts: route.max_attempts,
        retention_ms: route.retention.as_millis() as u64,
        single_version: route.single_version,
        run_target_ms: route.run_target.as_millis() as u64,
        priority: route.priority,
        tenant: call.tenant.map(|tenant| tenant.name.clone()),
        tenant_priority: call.tenant.and_then(|tenant| tenant.priority),
        allowed_regions: regions.clone(),
        model,
        oldest_version: oldest_version.unwrap_or_default(),
    };
    let transactions = transactions(context, id, &parts, &header);
    let commit = BatchCommit {
        context,
        waiting,
        id,
        body_bytes: body.len(),
        give_up_at: give_up_at(call.received, call.deadline),
        deadline: call.deadline,
        outcome_unknown: false,
    };
    let acceptance = commit.run(&transactions).await?;
    Ok(Accepted {
        acceptance,
        items,
        regions,
    })
}

/// When an acceptance is given up.
fn give_up_at(received: BootInstant, deadline: BootInstant) -> BootInstant {
    let time = deadline.saturating_duration_since(received);
    received + time.mul_f64(ACCEPTANCE_SHARE)
}

fn cut(body: &Bytes, row_bytes: usize) -> Vec<Bytes> {
    let starts = (0..body.len()).step_by(row_bytes);
    starts
        .map(|start| body.slice(start..body.len().min(start + row_bytes)))
        .collect()
}

/// The transactions that store a batch: as many as its size needs, the head with
/// the last parts. Parts that are stored without a head mean nothing.
fn transactions(
    context: &NodeContext,
    id: &str,
    parts: &[Bytes],
    header: &BatchHeader,
) -> Vec<Transaction> {
    let limits = context.table.limits();
    let mut all = Vec::new();
    let mut current = Transaction::new();
    let mut bytes = 0;
    for (index, part) in parts.iter().enumerate() {
        let is_full = bytes + part.len() > limits.transaction_bytes
            || current.puts.len() + 3 > limits.transaction_entries;
        if is_full {
            all.push(std::mem::take(&mut current));
            bytes = 0;
        }
        bytes += part.len();
        current = current.put(rows::submission_part(id, index), part.clone());
    }
    let head = rows::batch(id);
    all.push(
        current
            .require(head.clone(), None)
            .put(head, encode_header(header)),
    );
    all
}

/// The attempts at committing one batch.
struct BatchCommit<'a> {
    context: &'a NodeContext,
    waiting: &'a WaitingSubmissions,
    id: &'a str,
    body_bytes: usize,
    give_up_at: BootInstant,
    deadline: BootInstant,
    /// An attempt got no answer: it may still take effect.
    outcome_unknown: bool,
}

impl BatchCommit<'_> {
    async fn run(mut self, transactions: &[Transaction]) -> Result<Acceptance, Problem> {
        let mut acceptance = Acceptance::New;
        for transaction in transactions {
            if let Commit::Conflict(_) = self.commit(transaction).await? {
                acceptance = Acceptance::Repeated;
            }
        }
        Ok(acceptance)
    }

    /// Tries until the table judges the transaction or the time is over. While the table
    /// is known not to answer it is not asked.
    async fn commit(&mut self, transaction: &Transaction) -> Result<Commit, Problem> {
        loop {
            if let Err(hindrance) = self.wait_for_table().await {
                return Err(self.refusal(hindrance));
            }
            match self.context.table.commit(transaction).await {
                Ok(judged) => return Ok(judged),
                Err(error) => self.outcome_unknown |= error == CommitError::Unknown,
            }
            if BootInstant::now() + COMMIT_PAUSE >= self.give_up_at {
                return Err(self.refusal(Hindrance::NotTaken));
            }
            tokio::time::sleep(COMMIT_PAUSE).await;
        }
    }

    async fn wait_for_table(&self) -> Result<(), Hindrance> {
        if self.context.table.is_isolated() {
            return Err(Hindrance::Isolated);
        }
        if self.context.table.is_answering() {
            return Ok(());
        }
        events::emit(&Event::BatchWaits { batch: self.id });
        let table = &*self.context.table;
        wait_for_table(table, self.waiting, self.body_bytes, self.give_up_at).await
    }

    /// The answer to a batch that could not be committed. It promises that nothing runs
    /// only if no attempt may still take effect.
    fn refusal(&self, hindrance: Hindrance) -> Problem {
        let code = match self.outcome_unknown {
            true => ResultCode::BatchUnconfirmed,
            false => ResultCode::TableUnavailable,
        };
        let detail = format!("batch {}: {hindrance}", self.id);
        let retry_after = match hindrance {
            Hindrance::OutageLasts => self.retry_after_outage(),
            Hindrance::Isolated | Hindrance::TooManyWait | Hindrance::NotTaken => RETRY_AFTER,
        };
        Problem::new(code, detail).with_retry_after_ms(retry_after.as_millis() as u64)
    }

    fn retry_after_outage(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(BootInstant::now());
        OUTAGE_RETRY_AFTER.min(left.mul_f64(RETRY_AFTER_SHARE))
    }
}

/// Ends a batch: what is not listed need not be run any more.
pub(crate) async fn end(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
) -> CallerResponse {
    if let Err(problem) = header_of(context, id, caller).await {
        return problem_response(&problem);
    }
    let transaction = Transaction::new().put(rows::end(id), Bytes::from_static(b"ended"));
    match context.table.commit(&transaction).await {
        Ok(_) => empty_response(StatusCode::OK),
        Err(CommitError::NotDone) => problem_response(&table_unavailable()),
        Err(CommitError::Unknown) => {
            let detail = format!("the table did not confirm the end of batch {id}");
            problem_response(&Problem::new(ResultCode::BatchUnconfirmed, detail))
        }
    }
}

/// The service that runs a batch: the first with a share, so that the same batch
/// sent again goes to the same one.
pub(crate) fn batch_service(services: &[WeightedService]) -> Option<&ServiceName> {
    let part = services.iter().find(|part| part.weight > 0.0)?;
    Some(&part.service)
}
