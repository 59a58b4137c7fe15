//! One run of an item at an engine.

use super::engine_sends::EngineSends;
use super::pace::PaceMeter;
use crate::back_end::BackEnd;
use crate::context::NodeContext;
use crate::ended_incarnations::wait_until_ended;
use crate::event_stream::{EventParser, StreamEvent};
use crate::gateway::attempt::{
    AttemptResult, OutgoingRequest, build_request, classify_failure, classify_head, finish_exchange,
};
use crate::gateway::{caller, headers};
use crate::http::{AnswerBody, Exchange, Reuse, SendFailure};
use crate::quarantine::Passage;
use crate::zone_work::WorkKind;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use sloetrail_balance::SendBound;
use sloetrail_batch::{SubmittedItem, Transcript, TranscriptEvent};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, TenantName, WeightVersion};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The time that an engine is given for one run.
const RUN_TIME: Duration = Duration::from_secs(60);
/// How long the head and the first event may take.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(2_500);
/// How long an engine may be silent between two events.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that is no series of events.
const REFUSAL_BYTES: usize = 64 * 1024;

/// What a run needs to know.
pub(super) struct RunSpec {
    pub(super) context: Arc<NodeContext>,
    pub(super) item: Arc<SubmittedItem>,
    pub(super) host: String,
    pub(super) tenant: Option<TenantName>,
    pub(super) back_end: Arc<BackEnd>,
    pub(super) oldest_version: WeightVersion,
    pub(super) single_version: bool,
    pub(super) priority: u8,
    /// What the owner has sent the engine, and how much of it may be sent again.
    pub(super) sends: Arc<EngineSends>,
    pub(super) repeat_bound: Option<SendBound>,
    pub(super) passage: Passage,
    pub(super) pace: Arc<PaceMeter>,
    pub(super) progress: Arc<RunProgress>,
    pub(super) cancel: CancellationToken,
}

/// The text of a run and the version that makes it, seen by the owner while the run
/// goes on.
#[derive(Debug)]
pub(super) struct RunProgress {
    state: Mutex<ProgressState>,
}

#[derive(Debug)]
struct ProgressState {
    transcript: Transcript,
    version: Option<WeightVersion>,
}

impl RunProgress {
    /// The progress of a run that goes on from a text.
    pub(super) fn new(transcript: Transcript) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ProgressState {
                transcript,
                version: None,
            }),
        })
    }

    /// The version of the weights that made the last event.
    pub(super) fn version(&self) -> Option<WeightVersion> {
        self.state().version
    }

    /// The text so far.
    pub(super) fn transcript(&self) -> Transcript {
        self.state().transcript.clone()
    }

    /// How many events the text has.
    pub(super) fn events(&self) -> usize {
        self.state().transcript.len()
    }

    /// The events after the first `count`.
    pub(super) fn events_after(&self, count: usize) -> Vec<TranscriptEvent> {
        self.state().transcript.after(count).to_vec()
    }

    fn state(&self) -> MutexGuard<'_, ProgressState> {
        self.state.lock().expect("not poisoned")
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOutcome {
    /// The text is whole.
    Whole,
    /// The engine answered that the run failed.
    Failed,
    /// The engine answered that the item can never be done.
    Impossible,
    /// The engine did not run it, being full or busy.
    NotRun,
    /// Another back end listens at the address.
    WrongInstance,
    /// The engine could not be reached.
    NotSent,
    /// The answer broke off or was none.
    Lost,
    /// The engine fell silent.
    Silent,
    /// The engine's weights are too old, or not the only ones allowed.
    WrongVersion,
    /// Nothing was sent: the engine takes no work any more, or whether it does is not known
    /// since the process stood still.
    HeldBack,
    /// The owner gave it up.
    Cancelled,
}

impl RunOutcome {
    /// A word for logs.
    pub(super) fn word(self) -> &'static str {
        match self {
            RunOutcome::Whole => "whole",
            RunOutcome::Failed => "failed",
            RunOutcome::Impossible => "impossible",
            RunOutcome::NotRun => "not run",
            RunOutcome::WrongInstance => "wrong instance",
            RunOutcome::NotSent => "not sent",
            RunOutcome::Lost => "lost",
            RunOutcome::Silent => "silent",
            RunOutcome::WrongVersion => "wrong version",
            RunOutcome::HeldBack => "held back",
            RunOutcome::Cancelled => "cancelled",
        }
    }
}

/// Runs an item to its end, or until the owner gives it up. The text is in the run's
/// progress.
pub(super) async fn run_item(spec: RunSpec) -> RunOutcome {
    let cancel = spec.cancel.clone();
    let zone_work = &spec.context.zone_work;
    let _running = zone_work.begin(&spec.back_end.zone, WorkKind::Item);
    let mut run = Run {
        last_event_at: None,
        spec,
    };
    tokio::select! {
        outcome = run.run_watched() => outcome,
        () = cancel.cancelled() => RunOutcome::Cancelled,
    }
}

struct Run {
    spec: RunSpec,
    last_event_at: Option<BootInstant>,
}

impl Run {
    /// Runs the item; a run that is lost may have ended its engine.
    async fn run_watched(&mut self) -> RunOutcome {
        let watch = self.spec.passage.watch_run(&self.spec.back_end);
        let context = Arc::clone(&self.spec.context);
        let life = self.spec.back_end.id.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.run_to_end() => outcome,
            () = wait_until_ended(context.ended_incarnations.clone(), &life) => RunOutcome::Lost,
        };
        match outcome {
            RunOutcome::Whole | RunOutcome::Failed | RunOutcome::Impossible => watch.answered(),
            RunOutcome::Lost => watch.lost(),
            RunOutcome::NotSent => watch.not_reached(),
            // It may still run: as if it had been left.
            RunOutcome::Silent | RunOutcome::WrongVersion | RunOutcome::Cancelled => drop(watch),
            RunOutcome::NotRun | RunOutcome::WrongInstance | RunOutcome::HeldBack => {
                watch.not_lost();
            }
        }
        outcome
    }

    async fn run_to_end(&mut self) -> RunOutcome {
        let first_event_due = BootInstant::now() + FIRST_EVENT_LIMIT;
        let exchange = match self.open(first_event_due).await {
            Ok(exchange) => exchange,
            Err(outcome) => return outcome,
        };
        if !exchange.status.is_success() {
            return self.refused(exchange, first_event_due).await;
        }
        let names = self.spec.context.dialect.headers();
        let version = headers::number(&exchange.headers, &names.weight_version);
        if let Some(version) = version
            && !self.take_version(WeightVersion(version))
        {
            return RunOutcome::WrongVersion;
        }
        self.read_events(exchange.into_body(), first_event_due)
            .await
    }

    /// Opens the run. An item may run again, so that one on a kept connection that says
    /// nothing is opened anew at the same engine, if that bears one more: the engine may
    /// only be slow, and then both arrive.
    async fn open(&self, due: BootInstant) -> Result<Exchange, RunOutcome> {
        let names = self.spec.context.dialect.headers();
        let outgoing = self.outgoing();
        let began = BootInstant::now();
        let reuse = Reuse::Within(SILENCE_LIMIT);
        let mut sent = self.send(&outgoing, reuse, due).await?;
        if matches!(sent, Err(SendFailure::ConnectionUnresponsive)) && self.may_send_again() {
            sent = self
                .send(&outgoing, reuse.after_attempt_at(began), due)
                .await?;
        }
        let exchange = sent.map_err(|failure| run_outcome(&classify_failure(failure)))?;
        match classify_head(exchange.status, &exchange.headers, names, &outgoing) {
            Some(result) => Err(run_outcome(&finish_exchange(exchange, result))),
            None => Ok(exchange),
        }
    }

    /// Counts one more send to the engine; false if the engine does not bear it now.
    fn may_send_again(&self) -> bool {
        let RunSpec {
            sends,
            repeat_bound,
            ..
        } = &self.spec;
        sends.note_within(BootInstant::now(), *repeat_bound)
    }

    async fn send(
        &self,
        outgoing: &OutgoingRequest,
        reuse: Reuse,
        due: BootInstant,
    ) -> Result<Result<Exchange, SendFailure>, RunOutcome> {
        let spec = &self.spec;
        let names = spec.context.dialect.headers();
        let deadline = BootInstant::now() + RUN_TIME;
        let request = build_request(outgoing, &spec.back_end, names, deadline)
            .ok_or(RunOutcome::Impossible)?;
        let connections = &spec.context.connections;
        let passage = Some(&spec.passage);
        let sending = connections.send(&spec.back_end, request, passage, reuse, due);
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

    async fn refused(&self, exchange: Exchange, due: BootInstant) -> RunOutcome {
        let status = exchange.status;
        if let Err(failure) = exchange.read_to_end(REFUSAL_BYTES, due).await {
            return run_outcome(&classify_failure(failure));
        }
        match status.as_u16() {
            422 => RunOutcome::Impossible,
            500 => RunOutcome::Failed,
            _ => RunOutcome::Lost,
        }
    }

    async fn read_events(&mut self, mut body: AnswerBody, first_due: BootInstant) -> RunOutcome {
        let mut parser = EventParser::new(self.spec.context.weight_version_field());
        loop {
            let due = match self.last_event_at {
                None => first_due,
                Some(at) => at + SILENCE_LIMIT,
            };
            let piece = match sloetrail_clock::timeout_at(due, body.next_data()).await {
                Ok(Ok(piece)) => piece,
                Ok(Err(_)) => return RunOutcome::Lost,
                Err(_) => return RunOutcome::Silent,
            };
            let Some(piece) = piece else {
                let is_empty = self.spec.progress.state().transcript.is_empty();
                return match parser.is_within_event() || is_empty {
                    true => RunOutcome::Lost,
                    false => RunOutcome::Whole,
                };
            };
            let Ok(events) = parser.push(&piece) else {
                return RunOutcome::Lost;
            };
            for event in events {
                if let Some(outcome) = self.take_event(event) {
                    return outcome;
                }
            }
        }
    }

    /// Keeps an event; returns an outcome if the run cannot go on.
    fn take_event(&mut self, event: StreamEvent) -> Option<RunOutcome> {
        if let Some(version) = event.extra
            && !self.take_version(WeightVersion(version))
        {
            return Some(RunOutcome::WrongVersion);
        }
        let Some(number) = event.id else {
            return Some(RunOutcome::Lost);
        };
        if !self.keep(number, event.data) {
            return Some(RunOutcome::Lost);
        }
        let now = BootInstant::now();
        if let Some(previous) = self.last_event_at.replace(now) {
            self.spec.pace.note(now.saturating_duration_since(previous));
        }
        None
    }

    /// Adds an event to the text; false if it does not follow.
    fn keep(&self, number: u64, data: String) -> bool {
        let mut state = self.spec.progress.state();
        let version = state.version;
        let event = TranscriptEvent {
            number,
            data,
            version,
            engine: self.told_engine(),
        };
        state.transcript.push(event).is_ok()
    }

    /// The engine under its own name, if readers are told which one made what: they know it by
    /// that, whatever life of it made the event.
    fn told_engine(&self) -> Option<EngineId> {
        let tells_segments = self.spec.context.dialect.tells_segments();
        tells_segments.then(|| EngineId::new(&self.spec.back_end.instance))
    }

    /// Takes in the version that makes the events from here on; false if it may not.
    fn take_version(&self, version: WeightVersion) -> bool {
        let mut state = self.spec.progress.state();
        state.version = Some(version);
        let is_other = |known: &WeightVersion| *known != version;
        let mixes = self.spec.single_version && state.transcript.versions().iter().any(is_other);
        version >= self.spec.oldest_version && !mixes
    }
}

fn run_outcome(result: &AttemptResult) -> RunOutcome {
    match result {
        AttemptResult::NotRun => RunOutcome::NotRun,
        AttemptResult::WrongInstance => RunOutcome::WrongInstance,
        AttemptResult::NotSent => RunOutcome::NotSent,
        AttemptResult::Withheld => RunOutcome::HeldBack,
        AttemptResult::TimedOut => RunOutcome::Silent,
        AttemptResult::RanAndFailed(_) => RunOutcome::Failed,
        AttemptResult::Answered(_) | AttemptResult::Lost | AttemptResult::TooLarge => {
            RunOutcome::Lost
        }
    }
}
