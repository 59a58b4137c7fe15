//! One attempt at a back end, judged: did it run, and is the answer whole?

use super::headers;
use crate::back_end::BackEnd;
use crate::context::NodeContext;
use crate::dialect::HeaderNames;
use crate::ended_lives::has_ended;
use crate::http::{Exchange, Reuse, SendFailure, WholeAnswer, WholeBody};
use crate::quarantine::Passage;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use sloetrail_balance::AttemptOutcome;
use sloetrail_clock::BootInstant;
use std::sync::Arc;

/// A request as it goes to a back end, without what an attempt adds.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    /// End-to-end headers, with the `Host` and the request's id.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an attempt ended, as far as the request is concerned.
#[derive(Clone, Debug)]
pub(crate) enum AttemptResult {
    /// A whole answer that the caller may have: a success, or a refusal for a
    /// reason that lies in the request.
    Answered(WholeAnswer),
    /// The back end ran the request and answered with a failure.
    RanAndFailed(WholeAnswer),
    /// The back end says that it did not run the request.
    NotRun,
    /// Another back end listens at the address; the request was not run.
    WrongInstance,
    /// The request did not leave this node.
    NotSent,
    /// The request did not leave this node: its back end takes no work any more.
    Withheld,
    /// The connection broke, or the answer was cut, unsigned or of another request.
    Lost,
    /// No answer came in time.
    TimedOut,
    /// The answer is over the bound.
    TooLarge,
}

impl AttemptResult {
    /// What the result says of the back end.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptResult::Answered(_) => AttemptOutcome::Answered,
            AttemptResult::RanAndFailed(_) | AttemptResult::TooLarge => AttemptOutcome::Failed,
            AttemptResult::NotRun => AttemptOutcome::Refused,
            AttemptResult::WrongInstance | AttemptResult::NotSent | AttemptResult::Lost => {
                AttemptOutcome::Lost
            }
            AttemptResult::TimedOut => AttemptOutcome::Failed,
            AttemptResult::Withheld => AttemptOutcome::Abandoned,
        }
    }

    /// True if no back end ran the request in this attempt.
    pub(crate) fn is_proved_not_run(&self) -> bool {
        matches!(
            self,
            AttemptResult::NotRun
                | AttemptResult::WrongInstance
                | AttemptResult::NotSent
                | AttemptResult::Withheld
        )
    }

    /// True if nothing came back: the connection may have fallen silent, and others with it.
    pub(crate) fn is_silence(&self) -> bool {
        matches!(self, AttemptResult::TimedOut)
    }

    /// A word for logs.
    pub(crate) fn word(&self) -> &'static str {
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
        }
    }
}

/// Builds the request of one attempt: the back end's life, the time left and the
/// rank are added.
pub(crate) fn build_request(
    outgoing: &OutgoingRequest,
    back_end: &BackEnd,
    names: &HeaderNames,
    deadline: BootInstant,
) -> Option<Request<WholeBody>> {
    let left = deadline.saturating_duration_since(BootInstant::now());
    let mut request = Request::new(WholeBody::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.path_and_query.parse::<Uri>().ok()?;
    let mut sent = outgoing.headers.clone();
    headers::set_text(&mut sent, &names.expected_instance, &back_end.instance);
    headers::set_number(&mut sent, &names.deadline_ms, left.as_millis() as u64);
    *request.headers_mut() = sent;
    Some(request)
}

/// Sends one attempt and reads its whole answer.
pub(crate) async fn attempt(
    context: &NodeContext,
    outgoing: &OutgoingRequest,
    passage: &Passage,
    back_end: &Arc<BackEnd>,
    reuse: Reuse,
    deadline: BootInstant,
) -> AttemptResult {
    let watch = passage.watch_run(back_end);
    let exchanging = exchange_whole(context, outgoing, passage, back_end, reuse, deadline);
    let result = tokio::select! {
        biased;
        result = exchanging => result,
        () = has_ended(context.ended_lives.clone(), &back_end.id) => AttemptResult::Lost,
    };
    watch.end(&result);
    result
}

async fn exchange_whole(
    context: &NodeContext,
    outgoing: &OutgoingRequest,
    passage: &Passage,
    back_end: &BackEnd,
    reuse: Reuse,
    deadline: BootInstant,
) -> AttemptResult {
    let names = context.dialect.headers();
    let Some(request) = build_request(outgoing, back_end, names, deadline) else {
        return AttemptResult::NotSent;
    };
    let connections = &context.connections;
    let sending = connections.send(back_end, request, Some(passage), reuse, deadline);
    let exchange = match sending.await {
        Ok(exchange) => exchange,
        Err(failure) => return classify_failure(failure),
    };
    if let Some(result) = classify_head(exchange.status, &exchange.headers, names, outgoing) {
        return finish_exchange(exchange, result);
    }
    match exchange.whole(context.answer_limit(), deadline).await {
        Ok(answer) => classify_answer(answer, names),
        Err(failure) => classify_failure(failure),
    }
}

/// Ends an exchange of which the head has settled the result. The connection over which a back
/// end has refused is kept.
pub(crate) fn finish_exchange(exchange: Exchange, result: AttemptResult) -> AttemptResult {
    if matches!(result, AttemptResult::NotRun) {
        exchange.discard();
    }
    result
}

/// What the head alone settles: an answer to another request, or one that says that
/// the request was not run.
pub(crate) fn classify_head(
    status: StatusCode,
    head: &HeaderMap,
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
) -> Option<AttemptResult> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptResult::WrongInstance);
    }
    if head.contains_key(&names.not_run) {
        return Some(AttemptResult::NotRun);
    }
    let echoed = headers::text(head, &names.request_id);
    (echoed != Some(&outgoing.request_id)).then_some(AttemptResult::Lost)
}

/// What a whole answer says: a failure, or something that the caller may have.
pub(crate) fn classify_answer(answer: WholeAnswer, names: &HeaderNames) -> AttemptResult {
    let is_signed = answer.headers.contains_key(&names.signature);
    if answer.status.is_success() && !is_signed {
        return AttemptResult::Lost;
    }
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
        SendFailure::HeldBack => AttemptResult::Withheld,
        SendFailure::Lost => AttemptResult::Lost,
        SendFailure::OutOfTime | SendFailure::KeptSilent => AttemptResult::TimedOut,
        SendFailure::TooLarge => AttemptResult::TooLarge,
    }
}
