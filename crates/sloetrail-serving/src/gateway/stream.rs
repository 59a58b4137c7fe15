//! Live requests whose answer is an event stream, forwarded as it arrives.
//!
//! Only complete events are forwarded. If the stream breaks and the route is resumable, another
//! back end continues after the last forwarded event; the response keeps the head and the
//! signature of the first back end. Otherwise the caller's connection is closed, so that the
//! caller cannot take the truncated response for a complete one.

use super::attempt::{
    AttemptResult, OutgoingRequest, build_request, classify_answer, classify_failure,
    classify_head, finish_exchange,
};
use super::headers;
use super::live::{LiveCall, MAX_SENDS};
use super::slot_wait::{self, SlotWait};
use super::stop;
use crate::back_end_connections::Purpose;
use crate::context::NodeContext;
use crate::ended_incarnations::wait_until_ended;
use crate::event_stream::{RefusedEvent, SeriesReader};
use crate::events::{self, Event};
use crate::http::{AnswerBody, CompleteAnswer, Exchange, Reuse, SendFailure};
use crate::quarantine::{LastEvent, QuarantinePermit, RunWatch};
use crate::service_pools::SlotPermit;
use crate::slot_waiter::SlotWaiter;
use crate::usage::CountedRequest;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use http::{HeaderMap, StatusCode};
use sloetrail_balance::AttemptOutcome;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{EngineId, whole_millis};
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;

/// Maximum time between two chunks of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The answer to a streaming request.
pub(crate) enum StreamOutcome {
    /// An event stream.
    Events {
        /// The status of the first back end.
        status: StatusCode,
        /// The headers of the first back end.
        headers: HeaderMap,
        back_end: EngineId,
        /// Complete events, in their wire format.
        events: BoxStream<'static, io::Result<Bytes>>,
    },
    /// A complete answer that is not a success.
    Complete(CompleteAnswer),
    /// The node's own error.
    Problem(Problem),
}

impl StreamOutcome {
    /// Returns the final answer, or `None` for an event stream.
    pub(crate) fn complete_answer(&self) -> Option<Result<&CompleteAnswer, &Problem>> {
        match self {
            StreamOutcome::Events { .. } => None,
            StreamOutcome::Complete(answer) => Some(Ok(answer)),
            StreamOutcome::Problem(problem) => Some(Err(problem)),
        }
    }
}

struct OpenStream {
    slot: SlotPermit,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    watch: RunWatch,
}

impl OpenStream {
    fn new(slot: SlotPermit, exchange: Exchange, watch: RunWatch) -> Self {
        Self {
            watch,
            slot,
            status: exchange.status,
            headers: exchange.headers.clone(),
            body: exchange.into_body(),
        }
    }
}

enum OpenResult {
    Events(Box<OpenStream>),
    Refused(CompleteAnswer),
    Failed(Problem),
}

/// Opens the event stream at a back end.
pub(crate) async fn open(call: LiveCall) -> StreamOutcome {
    let mut source = EventSource::new(call);
    match source.connect().await {
        OpenResult::Refused(answer) => StreamOutcome::Complete(answer),
        OpenResult::Failed(problem) => StreamOutcome::Problem(problem),
        OpenResult::Events(open) => StreamOutcome::Events {
            status: open.status,
            headers: open.headers,
            back_end: open.slot.back_end().id.clone(),
            events: source.into_events(open.slot, open.body, open.watch),
        },
    }
}

struct EventSource {
    call: LiveCall,
    waiter: SlotWaiter,
    tried: BTreeSet<EngineId>,
    /// The connections that the next attempt may reuse.
    reuse: Reuse,
    /// Attempts that may have run.
    possible_runs: usize,
    sends: usize,
    last_event: LastEvent,
    has_forwarded_events: bool,
    /// The request's entry in the tenant's usage, which starts with the first event.
    counted: Option<CountedRequest>,
    quarantine_permit: QuarantinePermit,
}

struct ForwardedStream {
    source: EventSource,
    slot: Option<SlotPermit>,
    watch: Option<RunWatch>,
    body: AnswerBody,
    reader: SeriesReader,
    /// When the next event must have arrived. Bytes that are no event do not extend it.
    event_due: BootInstant,
    /// True if the back end has sent an event that does not continue the stream.
    is_refused: bool,
    is_over: bool,
}

/// What a back end has sent next.
enum NextPart {
    /// Complete events.
    Events(Bytes),
    End,
    Failed(SendFailure),
}

impl EventSource {
    fn new(call: LiveCall) -> Self {
        let names = call.context.dialect.headers();
        let last_event = headers::number(&call.outgoing.headers, &names.last_event_id);
        Self {
            counted: call.counted_request(),
            quarantine_permit: call.quarantine_permit(),
            waiter: call.new_slot_waiter(),
            reuse: match call.route.resumable {
                true => Reuse::Within(EVENT_TIMEOUT),
                false => Reuse::Never,
            },
            call,
            tried: BTreeSet::new(),
            possible_runs: 0,
            sends: 0,
            last_event: LastEvent::after(last_event),
            has_forwarded_events: false,
        }
    }

    fn context(&self) -> Arc<NodeContext> {
        Arc::clone(&self.call.context)
    }

    fn purpose(&self) -> Purpose {
        match self.has_forwarded_events {
            true => Purpose::RestOfStream,
            false => Purpose::NewWork,
        }
    }

    /// Returns true if another attempt is allowed.
    fn may_try(&self) -> bool {
        let route = &self.call.route;
        let may_begin = self.has_forwarded_events || self.call.may_begin();
        let is_safe = self.possible_runs == 0 || route.resumable;
        let has_time = BootInstant::now() < self.call.deadline;
        let max_attempts = match self.quarantine_permit.is_on_trial() {
            true => 1,
            false => route.max_attempts,
        };
        let has_attempts = self.possible_runs < max_attempts && self.sends < MAX_SENDS;
        let may_continue = is_safe && has_time && has_attempts;
        may_begin && may_continue && self.quarantine_permit.is_open()
    }

    async fn connect(&mut self) -> OpenResult {
        let mut last_result = None;
        let mut wait = SlotWait::default();
        self.quarantine_permit
            .acquire_trial(self.call.deadline)
            .await;
        while self.may_try() {
            let Some(slot) = self.acquire_or_wait(&mut wait).await else {
                break;
            };
            self.tried.insert(slot.back_end().id.clone());
            self.call.record_send();
            self.sends += 1;
            let started_at = BootInstant::now();
            match self.try_back_end(slot).await {
                Ok(opened) => return opened,
                Err(result) => {
                    if result.is_timeout() {
                        // Older connections may be unresponsive too.
                        self.reuse = self.reuse.after_attempt_at(started_at);
                    }
                    match result.is_proved_not_run() {
                        true => self.call.record_not_run(),
                        false => self.possible_runs += 1,
                    }
                    last_result = Some(result.as_str());
                }
            }
        }
        OpenResult::Failed(self.problem(last_result))
    }

    /// Acquires a slot, at a back end not tried yet if possible, waiting if one is likely to be
    /// free soon.
    async fn acquire_or_wait(&mut self, wait: &mut SlotWait) -> Option<SlotPermit> {
        let context = self.context();
        loop {
            context.suspension_guard.wait_settled().await;
            if !self.may_try() {
                break;
            }
            if let Some(slot) = self.waiter.acquire(&self.tried) {
                return Some(slot);
            }
            self.tried.clear();
            if let Some(slot) = self.waiter.acquire(&self.tried) {
                return Some(slot);
            }
            let has_waited = match self.has_forwarded_events {
                true => self.wait_mid_stream().await,
                false => self.call.wait_for_slot(&mut self.waiter, wait).await,
            };
            if !has_waited {
                break;
            }
        }
        self.waiter.leave();
        None
    }

    async fn wait_mid_stream(&mut self) -> bool {
        let deadline = self.call.deadline;
        let Some(next_check) = slot_wait::next_check_mid_stream(BootInstant::now(), deadline)
        else {
            return false;
        };
        self.waiter.wait_until(next_check).await;
        true
    }

    async fn try_back_end(&mut self, slot: SlotPermit) -> Result<OpenResult, AttemptResult> {
        let started_at = BootInstant::now();
        let back_end = slot.shared_back_end();
        let watch = self
            .quarantine_permit
            .watch_run(back_end, Some(&self.last_event));
        let result = match self.exchange(&slot).await {
            Ok(exchange) if exchange.status.is_success() => {
                self.possible_runs += 1;
                return Ok(OpenResult::Events(Box::new(OpenStream::new(
                    slot, exchange, watch,
                ))));
            }
            Ok(exchange) => self.classify_complete(exchange).await,
            Err(result) => result,
        };
        watch.end(&result);
        let failure = match result {
            AttemptResult::Answered(answer) => {
                slot.end(AttemptOutcome::Answered);
                return Ok(OpenResult::Refused(answer));
            }
            failure => failure,
        };
        self.call.log_failed_attempt(
            &self.quarantine_permit,
            &slot,
            &failure,
            started_at.elapsed(),
        );
        slot.end(failure.outcome());
        Err(failure)
    }

    /// Reads and classifies an answer that is not an event stream.
    async fn classify_complete(&self, exchange: Exchange) -> AttemptResult {
        let context = &self.call.context;
        let limit = context.answer_limit();
        match exchange.read_to_end(limit, self.call.deadline).await {
            Ok(answer) => classify_answer(answer),
            Err(failure) => classify_failure(failure),
        }
    }

    async fn exchange(&self, slot: &SlotPermit) -> Result<Exchange, AttemptResult> {
        let context = &self.call.context;
        let names = context.dialect.headers();
        let mut outgoing: OutgoingRequest = self.call.outgoing.clone();
        if let Some(last_event) = self.last_event.get() {
            headers::set_number(&mut outgoing.headers, &names.last_event_id, last_event);
        }
        let deadline = self.call.deadline;
        let request = build_request(&outgoing, slot.back_end(), names, deadline)
            .ok_or(AttemptResult::NotSent)?;
        let connections = &context.connections;
        let quarantine_permit = Some(&self.quarantine_permit);
        let sending = connections.send(
            slot.back_end(),
            (self.purpose(), request),
            quarantine_permit,
            self.reuse,
            deadline,
        );
        let exchange = sending.await.map_err(classify_failure)?;
        match classify_head(exchange.status, &exchange.headers, names, &outgoing) {
            Some(result) => Err(finish_exchange(exchange, result)),
            None => Ok(exchange),
        }
    }

    fn problem(&self, last_result: Option<&'static str>) -> Problem {
        let service = &self.call.service;
        let detail = match last_result {
            Some(result) => format!("service {service}: last attempt {result}"),
            None => self.call.no_slot_detail(&self.waiter),
        };
        if self.possible_runs > 0 {
            return Problem::new(ResultCode::EngineLost, detail);
        }
        if !self.call.may_begin() {
            return stop::leaving(detail);
        }
        if let Some(refusal) = self.quarantine_permit.refusal() {
            return refusal;
        }
        let retry_after = self.call.retry_after(&self.waiter);
        let code = self.call.no_engine_code(&self.waiter);
        let problem = Problem::new(code, detail);
        problem.with_retry_after_ms(whole_millis(retry_after))
    }

    fn into_events(
        self,
        slot: SlotPermit,
        body: AnswerBody,
        watch: RunWatch,
    ) -> BoxStream<'static, io::Result<Bytes>> {
        let field = self.call.context.weight_version_field();
        let reader = SeriesReader::new(field, self.last_event.get());
        let forwarded = ForwardedStream {
            source: self,
            slot: Some(slot),
            watch: Some(watch),
            body,
            reader,
            event_due: BootInstant::now() + EVENT_TIMEOUT,
            is_refused: false,
            is_over: false,
        };
        stream::unfold(forwarded, ForwardedStream::next).boxed()
    }
}

impl ForwardedStream {
    /// Returns the next complete events, or the error that closes the response; `None` at the end.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        while !self.is_over {
            let failure = match self.next_part().await {
                NextPart::Events(events) => return Some((Ok(events), self)),
                NextPart::End => {
                    if let Some(watch) = self.watch.take() {
                        watch.answered();
                    }
                    self.release_slot(AttemptOutcome::Answered);
                    return None;
                }
                NextPart::Failed(failure) => failure,
            };
            if !self.resume(failure).await {
                self.is_over = true;
                let error =
                    io::Error::other("the event stream ended early and could not be resumed");
                return Some((Err(error), self));
            }
        }
        None
    }

    async fn next_part(&mut self) -> NextPart {
        while !self.is_refused {
            let due = self.source.call.deadline.min(self.event_due);
            if BootInstant::now() >= due {
                return NextPart::Failed(SendFailure::TimedOut);
            }
            let chunk = match self.next_chunk(due).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) if self.reader.may_end() => return NextPart::End,
                Ok(Ok(None)) => return NextPart::Failed(SendFailure::Lost),
                Ok(Err(failure)) => return NextPart::Failed(failure),
                Err(_) => return NextPart::Failed(SendFailure::TimedOut),
            };
            let events = self.accept(&chunk);
            if !events.is_empty() {
                return NextPart::Events(events);
            }
        }
        NextPart::Failed(SendFailure::Lost)
    }

    /// Returns the next bytes, or `Lost` once the back end's incarnation is known to have ended.
    async fn next_chunk(
        &mut self,
        chunk_deadline: BootInstant,
    ) -> Result<Result<Option<Bytes>, SendFailure>, Elapsed> {
        let ended = self.source.call.context.ended_incarnations.clone();
        let incarnation = self.slot.as_ref().map(|slot| slot.back_end().id.clone());
        let ending = async {
            match &incarnation {
                Some(incarnation) => wait_until_ended(ended, incarnation).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            chunk = sloetrail_clock::timeout_at(chunk_deadline, self.body.next_data()) => chunk,
            () = ending => Ok(Err(SendFailure::Lost)),
        }
    }

    /// Returns the events to forward that a chunk completes. The events before a refused one are
    /// forwarded before the stream is resumed.
    fn accept(&mut self, chunk: &[u8]) -> Bytes {
        let part = self.reader.push(chunk);
        if part.accepted > 0 {
            self.event_due = BootInstant::now() + EVENT_TIMEOUT;
        }
        if let Some(refused) = part.refused {
            self.is_refused = true;
            self.log_refused_event(refused, part.accepted - part.events.len());
        }
        if let (false, Some(counted)) = (part.events.is_empty(), &mut self.source.counted) {
            counted.sent(self.source.sends);
        }
        let mut forwarded = Vec::new();
        for event in part.events {
            if let Some(id) = event.id {
                self.source.last_event.set(id);
            }
            self.source.has_forwarded_events = true;
            forwarded.extend_from_slice(event.raw.as_bytes());
        }
        Bytes::from(forwarded)
    }

    fn log_refused_event(&self, refused: RefusedEvent, dropped: usize) {
        let back_end = self.slot.as_ref().map(|slot| slot.back_end().id.as_str());
        events::emit(&Event::EventRefused {
            request: &self.source.call.outgoing.request_id,
            back_end: back_end.unwrap_or_default(),
            cause: refused.cause(),
            number: refused.number,
            last_event: refused.last_event,
            dropped,
        });
    }

    /// Resumes the stream at another back end after the last forwarded event. Returns false if
    /// that is not possible.
    async fn resume(&mut self, failure: SendFailure) -> bool {
        let result = classify_failure(failure);
        if let Some(watch) = self.watch.take() {
            watch.end(&result);
        }
        self.release_slot(result.outcome());
        if result.is_timeout() {
            // Other connections may have become unresponsive at the same time.
            self.source.reuse = self.source.reuse.after_attempt_at(BootInstant::now());
        }
        if !self.source.call.route.resumable || !self.reader.can_continue() {
            return false;
        }
        match self.source.connect().await {
            OpenResult::Events(open) => {
                self.slot = Some(open.slot);
                self.watch = Some(open.watch);
                self.body = open.body;
                self.reader.start_source();
                self.event_due = BootInstant::now() + EVENT_TIMEOUT;
                self.is_refused = false;
                true
            }
            OpenResult::Refused(_) | OpenResult::Failed(_) => false,
        }
    }

    fn release_slot(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.end(outcome);
        }
    }
}
