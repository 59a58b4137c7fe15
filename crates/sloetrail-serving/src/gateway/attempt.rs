//! One attempt at a back end, and the classification of its result: whether the request ran
//! and whether the answer is complete.

use super::headers;
use crate::back_end::BackEnd;
use crate::back_end_connections::Purpose;
use crate::context::NodeContext;
use crate::dialect::HeaderNames;
use crate::ended_incarnations::wait_until_ended;
use crate::http::{CompleteAnswer, Exchange, FullBody, Reuse, SendFailure};
use crate::quarantine::QuarantinePermit;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use sloetrail_balance::AttemptOutcome;
use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use std::sync::Arc;

/// A request to a back end, without the headers that each attempt adds.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    /// End-to-end headers, including `Host` and the request ID.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub(crate) enum AttemptResult {
    /// A complete answer to forward: a success, or an error caused by the request itself.
    Answered(CompleteAnswer),
    /// The back end answered with a server error, 429 or 408.
    RanAndFailed(CompleteAnswer),
    /// The back end declared that it did not run the request.
    NotRun,
    /// Another back end listens at the address; it did not run the request.
    WrongInstance,
    /// The back end could not be reached; the request did not leave this node.
    NotSent,
    /// The request did not leave this node, because sending it was no longer permitted.
    Withheld,
    /// The connection broke, or the answer was truncated, unsigned or for another request.
    Lost,
    TimedOut,
    /// The answer exceeds the size limit.
    TooLarge,
    /// The node had no memory left for the answer.
    OutOfMemoryBudget,
}

impl AttemptResult {
    /// Returns the outcome to report to the load balancer.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptResult::Answered(_) => AttemptOutcome::Answered,
            AttemptResult::RanAndFailed(_) | AttemptResult::TooLarge => AttemptOutcome::Failed,
            AttemptResult::NotRun => AttemptOutcome::Refused,
            AttemptResult::WrongInstance | AttemptResult::NotSent | AttemptResult::Lost => {
                AttemptOutcome::Lost
            }
            AttemptResult::TimedOut => AttemptOutcome::Failed,
            AttemptResult::Withheld | AttemptResult::OutOfMemoryBudget => AttemptOutcome::Abandoned,
        }
    }

    /// Returns true if the request certainly did not run in this attempt.
    pub(crate) fn is_proved_not_run(&self) -> bool {
        matches!(
            self,
            AttemptResult::NotRun
                | AttemptResult::WrongInstance
                | AttemptResult::NotSent
                | AttemptResult::Withheld
        )
    }

    /// Returns true if no answer came in time: this connection and others may be unresponsive.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, AttemptResult::TimedOut)
    }

    /// Returns the label for logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            AttemptResult::Answered(_) => "answered",
            AttemptResult::RanAndFailed(_) => "ran and failed",
            AttemptResult::NotRun => "not run",
            AttemptResult::WrongInstance => "wrong instance",
            AttemptResult::NotSent => "not sent",
            AttemptResult::Withheld => "held back",
            AttemptResult::Lost => "lost",
            AttemptResult::TimedOut => "out of time",
            AttemptResult::TooLarge => "too large",
            AttemptResult::OutOfMemoryBudget => "no memory for the answer",
        }
    }
}

/// Builds the HTTP request of one attempt, with the expected incarnation and the remaining time
/// in its headers. Returns `None` if the path is not a valid URI.
pub(crate) fn build_request(
    outgoing: &OutgoingRequest,
    back_end: &BackEnd,
    names: &HeaderNames,
    deadline: BootInstant,
) -> Option<Request<FullBody>> {
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    let mut request = Request::new(FullBody::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.path_and_query.parse::<Uri>().ok()?;
    let mut sent = outgoing.headers.clone();
    headers::set_text(&mut sent, &names.expected_instance, &back_end.instance);
    headers::set_number(&mut sent, &names.deadline_ms, whole_millis(remaining));
    *request.headers_mut() = sent;
    Some(request)
}

/// Sends a request to a back end and reads the complete answer. Returns `Lost` as soon as this
/// incarnation of the back end is known to have ended.
pub(crate) async fn run_attempt(
    context: &NodeContext,
    outgoing: &OutgoingRequest,
    quarantine_permit: &QuarantinePermit,
    back_end: &Arc<BackEnd>,
    reuse: Reuse,
    deadline: BootInstant,
) -> AttemptResult {
    let watch = quarantine_permit.watch_run(back_end, None);
    let exchange = send_and_read(
        context,
        outgoing,
        quarantine_permit,
        back_end,
        reuse,
        deadline,
    );
    let result = tokio::select! {
        biased;
        result = exchange => result,
        () = wait_until_ended(context.ended_incarnations.clone(), &back_end.id) => AttemptResult::Lost,
    };
    watch.end(&result);
    result
}

async fn send_and_read(
    context: &NodeContext,
    outgoing: &OutgoingRequest,
    quarantine_permit: &QuarantinePermit,
    back_end: &BackEnd,
    reuse: Reuse,
    deadline: BootInstant,
) -> AttemptResult {
    let names = context.dialect.headers();
    let Some(request) = build_request(outgoing, back_end, names, deadline) else {
        return AttemptResult::NotSent;
    };
    let connections = &context.connections;
    let new_request = (Purpose::NewWork, request);
    let permit = Some(quarantine_permit);
    let sending = connections.send(back_end, new_request, permit, reuse, deadline);
    let exchange = match sending.await {
        Ok(exchange) => exchange,
        Err(failure) => return classify_failure(failure),
    };
    if let Some(result) = classify_head(exchange.status, &exchange.headers, names, outgoing) {
        return finish_exchange(exchange, result);
    }
    match exchange.read_to_end(context.answer_limit(), deadline).await {
        Ok(answer) => classify_answer(answer),
        Err(failure) => classify_failure(failure),
    }
}

/// Finishes an exchange whose result follows from the head. After `NotRun` the rest of the
/// answer is discarded, so that the connection can be reused.
pub(crate) fn finish_exchange(exchange: Exchange, result: AttemptResult) -> AttemptResult {
    if matches!(result, AttemptResult::NotRun) {
        exchange.discard();
    }
    result
}

/// Classifies an answer by its head: an answer to another request, another back end, not run, or a
/// success without a signature. Returns `None` if the body has to be read. A refusal may lack the
/// request ID, but one with the ID of another request says nothing about this one.
pub(crate) fn classify_head(
    status: StatusCode,
    head: &HeaderMap,
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
) -> Option<AttemptResult> {
    let is_own = match head.get(&names.request_id) {
        Some(echoed) if echoed != outgoing.request_id.as_str() => return Some(AttemptResult::Lost),
        echoed => echoed.is_some(),
    };
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptResult::WrongInstance);
    }
    if head.contains_key(&names.not_run) {
        return Some(AttemptResult::NotRun);
    }
    let is_signed = !status.is_success() || head.contains_key(&names.signature);
    (!is_own || !is_signed).then_some(AttemptResult::Lost)
}

/// Classifies a complete answer whose head [`classify_head`] has accepted.
pub(crate) fn classify_answer(answer: CompleteAnswer) -> AttemptResult {
    let is_failure = answer.status.is_server_error()
        || answer.status == StatusCode::TOO_MANY_REQUESTS
        || answer.status == StatusCode::REQUEST_TIMEOUT;
    match is_failure {
        true => AttemptResult::RanAndFailed(answer),
        false => AttemptResult::Answered(answer),
    }
}

pub(crate) fn classify_failure(failure: SendFailure) -> AttemptResult {
    match failure {
        SendFailure::NotSent => AttemptResult::NotSent,
        SendFailure::Withheld => AttemptResult::Withheld,
        SendFailure::Lost => AttemptResult::Lost,
        SendFailure::TimedOut | SendFailure::ConnectionUnresponsive => AttemptResult::TimedOut,
        SendFailure::TooLarge => AttemptResult::TooLarge,
        SendFailure::OutOfMemoryBudget => AttemptResult::OutOfMemoryBudget,
    }
}

#[cfg(test)]
mod tests;
