//! Runs one item at an engine.

use super::engine_sends::EngineSends;
use super::event_interval::EventIntervalMeter;
use crate::back_end::BackEnd;
use crate::back_end_connections::Purpose;
use crate::context::NodeContext;
use crate::ended_incarnations::wait_until_ended;
use crate::event_stream::{RefusedEvent, SeriesReader, StreamEvent};
use crate::events::{self, Event};
use crate::gateway::attempt::{
    AttemptResult, OutgoingRequest, build_request, classify_failure, classify_head, finish_exchange,
};
use crate::gateway::{caller, headers};
use crate::http::{AnswerBody, Exchange, Reuse, SendFailure};
use crate::quarantine::{LastEvent, RequestIdentity, RunWatch};
use crate::zone_work::WorkKind;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use parking_lot::{Mutex, MutexGuard};
use sloetrail_balance::SendBound;
use sloetrail_batch::{SubmittedItem, Transcript, TranscriptEvent};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, TenantName, WeightVersion};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The time that an engine has for one run.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Covers the response head and the first event.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum time between two events, and without an answer on a reused connection.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum size of an answer that is not an event stream.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// The maximum size of a text. Results are read in pages of at most a megabyte.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

pub(super) struct RunSpec {
    pub(super) context: Arc<NodeContext>,
    pub(super) item: Arc<SubmittedItem>,
    pub(super) host: String,
    pub(super) tenant: Option<TenantName>,
    pub(super) back_end: Arc<BackEnd>,
    pub(super) oldest_version: WeightVersion,
    pub(super) single_version: bool,
    pub(super) priority: u8,
    pub(super) sends: Arc<EngineSends>,
    pub(super) resend_bound: Option<SendBound>,
    pub(super) event_interval: Arc<EventIntervalMeter>,
    pub(super) progress: Arc<RunProgress>,
    pub(super) cancel: CancellationToken,
}

/// The text of a run and its weight version, read by the owner during the run.
#[derive(Debug)]
pub(super) struct RunProgress {
    state: Mutex<ProgressState>,
    last_event: LastEvent,
}

#[derive(Debug)]
struct ProgressState {
    transcript: Transcript,
    version: Option<WeightVersion>,
}

impl RunProgress {
    /// Creates the progress of a run that continues `transcript`.
    pub(super) fn new(transcript: Transcript) -> Arc<Self> {
        Arc::new(Self {
            last_event: LastEvent::after(transcript.last_number()),
            state: Mutex::new(ProgressState {
                transcript,
                version: None,
            }),
        })
    }

    /// The weight version in use, once the engine has reported it.
    pub(super) fn version(&self) -> Option<WeightVersion> {
        self.state().version
    }

    pub(super) fn transcript(&self) -> Transcript {
        self.state().transcript.clone()
    }

    pub(super) fn event_count(&self) -> usize {
        self.state().transcript.len()
    }

    /// The events after the first `count`.
    pub(super) fn events_after(&self, count: usize) -> Vec<TranscriptEvent> {
        self.state().transcript.after(count).to_vec()
    }

    fn state(&self) -> MutexGuard<'_, ProgressState> {
        self.state.lock()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOutcome {
    /// The text is complete.
    Completed,
    /// The engine answered that the run failed.
    Failed,
    /// The engine answered that the item can never succeed.
    Impossible,
    /// The engine was full or busy and did not run the item.
    NotRun,
    /// Another back end answered at the address.
    WrongInstance,
    /// The engine could not be reached.
    NotSent,
    /// The answer broke off or was invalid.
    Lost,
    /// The later events contradict the first one, which the text holds.
    WrongFirstEvent,
    /// The text is longer than the item allows.
    TooLong,
    /// The engine sent no event within the timeout.
    Unresponsive,
    /// The engine's weights are too old, or the text would mix versions where that is not allowed.
    WrongVersion,
    /// Nothing was sent: the engine no longer takes work, or its state is unknown after a suspension
    /// of the process.
    Withheld,
    /// The owner cancelled the run.
    Cancelled,
}

impl RunOutcome {
    /// Label in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RunOutcome::Completed => "whole",
            RunOutcome::Failed => "failed",
            RunOutcome::Impossible => "impossible",
            RunOutcome::NotRun => "not run",
            RunOutcome::WrongInstance => "wrong instance",
            RunOutcome::NotSent => "not sent",
            RunOutcome::Lost => "lost",
            RunOutcome::WrongFirstEvent => "wrong first event",
            RunOutcome::TooLong => "too long",
            RunOutcome::Unresponsive => "silent",
            RunOutcome::WrongVersion => "wrong version",
            RunOutcome::Withheld => "held back",
            RunOutcome::Cancelled => "cancelled",
        }
    }
}

/// Runs an item until it ends or the owner cancels it. The text is in [`RunSpec::progress`].
pub(super) async fn run_item(spec: RunSpec) -> RunOutcome {
    let cancel = spec.cancel.clone();
    let zone_work = &spec.context.zone_work;
    let _running = zone_work.begin(&spec.back_end.zone, WorkKind::Item);
    let text_bytes = spec.progress.state().transcript.data_bytes();
    let mut run = Run {
        spec,
        text_bytes,
        last_event_at: None,
    };
    tokio::select! {
        outcome = run.run_with_crash_watch() => outcome,
        () = cancel.cancelled() => RunOutcome::Cancelled,
    }
}

struct Run {
    spec: RunSpec,
    /// Bytes of the text so far.
    text_bytes: usize,
    last_event_at: Option<BootInstant>,
}

impl Run {
    /// Runs the item and reports to the quarantine how far it got if its engine crashed.
    async fn run_with_crash_watch(&mut self) -> RunOutcome {
        let (back_end, last_event) = (&self.spec.back_end, &self.spec.progress.last_event);
        let context = Arc::clone(&self.spec.context);
        let identity = Arc::new(self.identity());
        let watch = RunWatch::new(&context.quarantine, back_end, identity, Some(last_event));
        let incarnation = self.spec.back_end.id.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.run_to_end() => outcome,
            () = wait_until_ended(context.ended_incarnations.clone(), &incarnation) => RunOutcome::Lost,
        };
        match outcome {
            RunOutcome::Completed | RunOutcome::Failed | RunOutcome::Impossible => watch.answered(),
            RunOutcome::Lost | RunOutcome::WrongFirstEvent | RunOutcome::TooLong => watch.lost(),
            RunOutcome::NotSent => watch.not_reached(),
            // The engine may still be running the item.
            RunOutcome::Unresponsive | RunOutcome::WrongVersion | RunOutcome::Cancelled => {
                drop(watch)
            }
            RunOutcome::NotRun | RunOutcome::WrongInstance | RunOutcome::Withheld => {
                watch.not_running();
            }
        }
        outcome
    }

    fn identity(&self) -> RequestIdentity {
        let RunSpec {
            tenant, host, item, ..
        } = &self.spec;
        RequestIdentity::of_item(tenant.as_ref(), host, item)
    }

    async fn run_to_end(&mut self) -> RunOutcome {
        let first_event_due = BootInstant::now() + FIRST_EVENT_TIMEOUT;
        let exchange = match self.open(first_event_due).await {
            Ok(exchange) => exchange,
            Err(outcome) => return outcome,
        };
        if !exchange.status.is_success() {
            return self.refusal_outcome(exchange, first_event_due).await;
        }
        let names = self.spec.context.dialect.headers();
        let version = headers::number(&exchange.headers, &names.weight_version);
        if let Some(version) = version
            && !self.set_version(WeightVersion(version))
        {
            return RunOutcome::WrongVersion;
        }
        self.read_events(exchange.into_body(), first_event_due)
            .await
    }

    /// Sends the request. If a reused connection does not answer, the request is repeated at the
    /// same engine if the send bound allows: both may arrive, and an item may run twice.
    async fn open(&self, due: BootInstant) -> Result<Exchange, RunOutcome> {
        let names = self.spec.context.dialect.headers();
        let outgoing = self.outgoing();
        let started_at = BootInstant::now();
        let reuse = Reuse::Within(EVENT_TIMEOUT);
        let mut sent = self.send(&outgoing, reuse, due).await?;
        if matches!(sent, Err(SendFailure::ConnectionUnresponsive)) && self.may_send_again() {
            sent = self
                .send(&outgoing, reuse.after_attempt_at(started_at), due)
                .await?;
        }
        let exchange = sent.map_err(|failure| run_outcome(&classify_failure(failure)))?;
        match classify_head(exchange.status, &exchange.headers, names, &outgoing) {
            Some(result) => Err(run_outcome(&finish_exchange(exchange, result))),
            None => Ok(exchange),
        }
    }

    /// Counts a repeated send. Returns false if the send bound does not allow it.
    fn may_send_again(&self) -> bool {
        let RunSpec {
            sends,
            resend_bound,
            ..
        } = &self.spec;
        sends.try_record(BootInstant::now(), *resend_bound)
    }

    async fn send(
        &self,
        outgoing: &OutgoingRequest,
        reuse: Reuse,
        due: BootInstant,
    ) -> Result<Result<Exchange, SendFailure>, RunOutcome> {
        let spec = &self.spec;
        let names = spec.context.dialect.headers();
        let deadline = BootInstant::now() + RUN_TIMEOUT;
        let request = build_request(outgoing, &spec.back_end, names, deadline)
            .ok_or(RunOutcome::Impossible)?;
        let connections = &spec.context.connections;
        let sending = connections.send(
            &spec.back_end,
            (Purpose::NewWork, request),
            None,
            reuse,
            due,
        );
        Ok(sending.await)
    }

    fn outgoing(&self) -> OutgoingRequest {
        let spec = &self.spec;
        let names = spec.context.dialect.headers();
        let mut sent = HeaderMap::new();
        for (name, value) in &spec.item.headers {
            let name: Result<HeaderName, _> = name.parse();
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                sent.insert(name, value);
            }
        }
        caller::set_tenant(&mut sent, names, spec.tenant.as_ref());
        headers::set_text(&mut sent, &HOST, &spec.host);
        headers::set_text(&mut sent, &names.request_id, &spec.item.id);
        headers::set_number(&mut sent, &names.priority, u64::from(spec.priority));
        let last_event = spec.progress.state().transcript.last_number();
        if let Some(last) = last_event {
            headers::set_number(&mut sent, &names.last_event_id, last);
        }
        let octets = HeaderValue::from_static("application/octet-stream");
        sent.entry(CONTENT_TYPE).or_insert(octets);
        OutgoingRequest {
            request_id: spec.item.id.clone(),
            method: Method::POST,
            path_and_query: spec.item.path.clone(),
            headers: sent,
            body: spec.item.body.clone(),
        }
    }

    async fn refusal_outcome(&self, exchange: Exchange, due: BootInstant) -> RunOutcome {
        let status = exchange.status;
        if let Err(failure) = exchange.read_to_end(MAX_REFUSAL_BYTES, due).await {
            return run_outcome(&classify_failure(failure));
        }
        match status.as_u16() {
            422 => RunOutcome::Impossible,
            500 => RunOutcome::Failed,
            _ => RunOutcome::Lost,
        }
    }

    async fn read_events(&mut self, mut body: AnswerBody, first_due: BootInstant) -> RunOutcome {
        let field = self.spec.context.weight_version_field();
        let last_event = self.spec.progress.state().transcript.last_number();
        let mut reader = SeriesReader::new(field, last_event);
        loop {
            let due = match self.last_event_at {
                None => first_due,
                Some(at) => at + EVENT_TIMEOUT,
            };
            if BootInstant::now() >= due {
                return RunOutcome::Unresponsive;
            }
            let chunk = match sloetrail_clock::timeout_at(due, body.next_data()).await {
                Ok(Ok(chunk)) => chunk,
                Ok(Err(_)) => return RunOutcome::Lost,
                Err(_) => return RunOutcome::Unresponsive,
            };
            let Some(chunk) = chunk else {
                return self.end_of_events(&reader);
            };
            let part = reader.push(&chunk);
            self.record_arrivals(part.accepted);
            for event in part.events {
                if let Some(outcome) = self.apply_event(event) {
                    return outcome;
                }
            }
            if let Some(refused) = part.refused {
                self.log_refused_event(refused);
                return match reader.can_continue() {
                    true => RunOutcome::Lost,
                    false => RunOutcome::WrongFirstEvent,
                };
            }
        }
    }

    /// Returns the outcome of a run whose answer has ended.
    fn end_of_events(&self, reader: &SeriesReader) -> RunOutcome {
        if !reader.may_end() {
            return RunOutcome::Lost;
        }
        match self.spec.progress.state().transcript.is_empty() {
            true => RunOutcome::Lost,
            false => RunOutcome::Completed,
        }
    }

    /// Records that events have arrived now.
    fn record_arrivals(&mut self, events: usize) {
        let now = BootInstant::now();
        for _ in 0..events {
            if let Some(previous) = self.last_event_at.replace(now) {
                self.spec
                    .event_interval
                    .record(now.saturating_duration_since(previous));
            }
        }
    }

    /// Appends an event to the text. Returns an outcome if the run cannot continue.
    fn apply_event(&mut self, event: StreamEvent) -> Option<RunOutcome> {
        if let Some(version) = event.extra
            && !self.set_version(WeightVersion(version))
        {
            return Some(RunOutcome::WrongVersion);
        }
        if self.is_too_long(&event) {
            return Some(RunOutcome::TooLong);
        }
        self.text_bytes += event.data.len();
        let is_appended = event
            .id
            .is_some_and(|number| self.append(number, event.data));
        (!is_appended).then_some(RunOutcome::Lost)
    }

    /// True if the text has no room for the event. An event has at least one token, and most items say
    /// how many there may be.
    fn is_too_long(&self, event: &StreamEvent) -> bool {
        let tokens = self.spec.item.tokens;
        let has_all_events = tokens > 0 && self.spec.progress.event_count() as u64 >= tokens;
        has_all_events || self.text_bytes + event.data.len() > MAX_TEXT_BYTES
    }

    fn log_refused_event(&self, refused: RefusedEvent) {
        events::emit(&Event::EventRefused {
            request: &self.spec.item.id,
            back_end: self.spec.back_end.id.as_str(),
            cause: refused.cause(),
            number: refused.number,
            last_event: refused.last_event,
            dropped: 0,
        });
    }

    /// Returns false if the event number does not follow the last one.
    fn append(&self, number: u64, data: String) -> bool {
        let mut state = self.spec.progress.state();
        let version = state.version;
        let event = TranscriptEvent {
            number,
            data,
            version,
            engine: self.reported_engine(),
        };
        let is_next = state.transcript.push(event).is_ok();
        if is_next {
            self.spec.progress.last_event.set(number);
        }
        is_next
    }

    /// The instance name of the engine, if results report the engine of each segment. It is the
    /// same for all incarnations.
    fn reported_engine(&self) -> Option<EngineId> {
        let reports_segments = self.spec.context.dialect.lists_segments();
        reports_segments.then(|| EngineId::new(&self.spec.back_end.instance))
    }

    /// Sets the version of the following events. Returns false if the item does not allow it.
    fn set_version(&self, version: WeightVersion) -> bool {
        let mut state = self.spec.progress.state();
        state.version = Some(version);
        let is_other = |known: &WeightVersion| *known != version;
        let is_mixed = self.spec.single_version && state.transcript.versions().iter().any(is_other);
        version >= self.spec.oldest_version && !is_mixed
    }
}

fn run_outcome(result: &AttemptResult) -> RunOutcome {
    match result {
        AttemptResult::NotRun => RunOutcome::NotRun,
        AttemptResult::WrongInstance => RunOutcome::WrongInstance,
        AttemptResult::NotSent => RunOutcome::NotSent,
        AttemptResult::Withheld => RunOutcome::Withheld,
        AttemptResult::TimedOut => RunOutcome::Unresponsive,
        AttemptResult::RanAndFailed(_) => RunOutcome::Failed,
        AttemptResult::Answered(_)
        | AttemptResult::Lost
        | AttemptResult::TooLarge
        | AttemptResult::OutOfMemoryBudget => RunOutcome::Lost,
    }
}
