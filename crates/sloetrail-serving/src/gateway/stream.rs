//! A live request whose answer is a series of events, passed on as they come.
//!
//! Only whole events are passed on. If the answer breaks off and the route allows
//! it, another back end takes the series up after the last event that was passed
//! on; the answer keeps the head and the signature of its first back end. Otherwise
//! the caller's connection is broken off, so that the answer does not look whole.

use super::attempt::{
    AttemptResult, Outgoing, build_request, judge_answer, judge_failure, judge_head, settle_by_head,
};
use super::headers;
use super::live::{LiveCall, SENDS_LIMIT};
use super::place_wait::{self, PlaceWait};
use crate::context::NodeContext;
use crate::ended_lives::has_ended;
use crate::event_stream::EventParser;
use crate::http::{AnswerBody, Exchange, Reuse, SendFailure, WholeAnswer};
use crate::place_turns::PlaceSeeker;
use crate::quarantine::{Passage, RunWatch};
use crate::service_pools::SlotPermit;
use crate::usage::BegunRequest;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use http::{HeaderMap, StatusCode};
use sloetrail_balance::AttemptOutcome;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::EngineId;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;

/// How long a back end may be silent within a series before it counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// What a streaming request is answered with.
pub(crate) enum StreamOutcome {
    /// A series of events.
    Events {
        /// The status of the first back end.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// The back end.
        back_end: EngineId,
        /// The events as bytes.
        pieces: BoxStream<'static, io::Result<Bytes>>,
    },
    /// A whole answer that is no success.
    Whole(WholeAnswer),
    /// The node's own refusal or failure.
    Problem(Problem),
}

impl StreamOutcome {
    /// The final answer, unless it is a series whose end is not known yet.
    pub(crate) fn whole(&self) -> Option<Result<&WholeAnswer, &Problem>> {
        match self {
            StreamOutcome::Events { .. } => None,
            StreamOutcome::Whole(answer) => Some(Ok(answer)),
            StreamOutcome::Problem(problem) => Some(Err(problem)),
        }
    }
}

struct Open {
    place: SlotPermit,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    watch: RunWatch,
}

impl Open {
    fn new(place: SlotPermit, exchange: Exchange, watch: RunWatch) -> Self {
        Self {
            watch,
            place,
            status: exchange.status,
            headers: exchange.headers.clone(),
            body: exchange.into_body(),
        }
    }
}

enum Opening {
    Events(Box<Open>),
    Refused(WholeAnswer),
    Failed(Problem),
}

/// Opens the series at a back end.
pub(crate) async fn open(call: LiveCall) -> StreamOutcome {
    let mut source = Source::new(call);
    match source.connect().await {
        Opening::Refused(answer) => StreamOutcome::Whole(answer),
        Opening::Failed(problem) => StreamOutcome::Problem(problem),
        Opening::Events(open) => StreamOutcome::Events {
            status: open.status,
            headers: open.headers,
            back_end: open.place.back_end().id.clone(),
            pieces: source.pieces(open.place, open.body, open.watch),
        },
    }
}

struct Source {
    call: LiveCall,
    seeker: PlaceSeeker,
    tried: BTreeSet<EngineId>,
    /// The connections that the next attempt may use.
    reuse: Reuse,
    may_have_run: usize,
    sends: usize,
    last_event: Option<u64>,
    /// True once events were passed on to the caller.
    has_passed_on: bool,
    /// A series began with its first event.
    begun: Option<BegunRequest>,
    passage: Passage,
}

struct Running {
    source: Source,
    place: Option<SlotPermit>,
    watch: Option<RunWatch>,
    body: AnswerBody,
    parser: EventParser,
    is_over: bool,
}

impl Source {
    fn new(call: LiveCall) -> Self {
        let names = call.context.dialect.headers();
        let last_event = headers::number(&call.outgoing.headers, &names.last_event_id);
        Self {
            begun: call.begun_request(),
            passage: call.passage(),
            seeker: call.place_seeker(),
            reuse: match call.route.resumable {
                true => Reuse::Within(SILENCE_LIMIT),
                false => Reuse::Never,
            },
            call,
            tried: BTreeSet::new(),
            may_have_run: 0,
            sends: 0,
            last_event,
            has_passed_on: false,
        }
    }

    fn context(&self) -> Arc<NodeContext> {
        Arc::clone(&self.call.context)
    }

    /// True if another back end may be asked.
    fn may_try(&self) -> bool {
        let route = &self.call.route;
        let is_safe = self.may_have_run == 0 || route.resumable;
        let has_time = BootInstant::now() < self.call.deadline;
        let most = match self.passage.is_on_trial() {
            true => 1,
            false => route.max_attempts,
        };
        let has_attempts = self.may_have_run < most && self.sends < SENDS_LIMIT;
        is_safe && has_time && has_attempts && self.passage.is_open()
    }

    async fn connect(&mut self) -> Opening {
        let mut last = None;
        let mut wait = PlaceWait::default();
        self.passage.ask_for_trial(self.call.deadline).await;
        while self.may_try() {
            let Some(place) = self.acquire_or_wait(&mut wait).await else {
                break;
            };
            self.tried.insert(place.back_end().id.clone());
            self.call.note_send();
            self.sends += 1;
            let began = BootInstant::now();
            match self.try_back_end(place).await {
                Ok(opening) => return opening,
                Err(result) => {
                    if result.is_silence() {
                        // The next one must not meet the same silence.
                        self.reuse = self.reuse.after_try_at(began);
                    }
                    match result.is_proved_not_run() {
                        true => self.call.note_not_run(),
                        false => self.may_have_run += 1,
                    }
                    last = Some(result.word());
                }
            }
        }
        Opening::Failed(self.problem(last))
    }

    /// A back end that was not tried yet, or else one that was, if a place comes free soon.
    async fn acquire_or_wait(&mut self, wait: &mut PlaceWait) -> Option<SlotPermit> {
        let context = self.context();
        loop {
            context.pause_guard.settled().await;
            if !self.may_try() {
                break;
            }
            if let Some(place) = self.seeker.acquire(&self.tried) {
                return Some(place);
            }
            self.tried.clear();
            if let Some(place) = self.seeker.acquire(&self.tried) {
                return Some(place);
            }
            let may_come = match self.has_passed_on {
                true => self.wait_midway().await,
                false => self.call.wait_for_place(&mut self.seeker, wait).await,
            };
            if !may_come {
                break;
            }
        }
        self.seeker.leave();
        None
    }

    async fn wait_midway(&mut self) -> bool {
        let deadline = self.call.deadline;
        let Some(next_look) = place_wait::next_look_midway(BootInstant::now(), deadline) else {
            return false;
        };
        self.seeker.wait_until(next_look).await;
        true
    }

    async fn try_back_end(&mut self, place: SlotPermit) -> Result<Opening, AttemptResult> {
        let began = BootInstant::now();
        let watch = self.passage.watch_run(place.shared_back_end());
        let result = match self.exchange(&place).await {
            Ok(exchange) if exchange.status.is_success() => {
                self.may_have_run += 1;
                return Ok(Opening::Events(Box::new(Open::new(place, exchange, watch))));
            }
            Ok(exchange) => self.judge_whole(exchange).await,
            Err(result) => result,
        };
        watch.end(&result);
        let failure = match result {
            AttemptResult::Answered(answer) => {
                place.end(AttemptOutcome::Answered);
                return Ok(Opening::Refused(answer));
            }
            failure => failure,
        };
        self.call
            .note_failed_attempt(&self.passage, &place, &failure, began.elapsed());
        place.end(failure.outcome());
        Err(failure)
    }

    /// Reads an answer that is no series, and tells what it says.
    async fn judge_whole(&self, exchange: Exchange) -> AttemptResult {
        let context = &self.call.context;
        let limit = context.answer_limit();
        match exchange.whole(limit, self.call.deadline).await {
            Ok(answer) => judge_answer(answer, context.dialect.headers()),
            Err(failure) => judge_failure(failure),
        }
    }

    async fn exchange(&self, place: &SlotPermit) -> Result<Exchange, AttemptResult> {
        let context = &self.call.context;
        let names = context.dialect.headers();
        let mut outgoing: Outgoing = self.call.outgoing.clone();
        if let Some(last_event) = self.last_event {
            headers::set_number(&mut outgoing.headers, &names.last_event_id, last_event);
        }
        let deadline = self.call.deadline;
        let request = build_request(&outgoing, place.back_end(), names, deadline)
            .ok_or(AttemptResult::NotSent)?;
        let connections = &context.connections;
        let passage = Some(&self.passage);
        let sending = connections.send(place.back_end(), request, passage, self.reuse, deadline);
        let exchange = sending.await.map_err(judge_failure)?;
        match judge_head(exchange.status, &exchange.headers, names, &outgoing) {
            Some(result) => Err(settle_by_head(exchange, result)),
            None => Ok(exchange),
        }
    }

    fn problem(&self, last: Option<&'static str>) -> Problem {
        let service = &self.call.service;
        let detail = match last {
            Some(word) => format!("service {service}: the last attempt was {word}"),
            None => self.call.no_place(&self.seeker),
        };
        if self.may_have_run > 0 {
            return Problem::new(ResultCode::EngineLost, detail);
        }
        if let Some(refusal) = self.passage.refusal() {
            return refusal;
        }
        let retry_after = self.call.retry_after(&self.seeker);
        let code = self.call.no_engine(&self.seeker);
        let problem = Problem::new(code, detail);
        problem.with_retry_after_ms(retry_after.as_millis() as u64)
    }

    fn pieces(
        self,
        place: SlotPermit,
        body: AnswerBody,
        watch: RunWatch,
    ) -> BoxStream<'static, io::Result<Bytes>> {
        let parser = EventParser::new(self.call.context.weight_version_field());
        let running = Running {
            source: self,
            place: Some(place),
            watch: Some(watch),
            body,
            parser,
            is_over: false,
        };
        stream::unfold(running, Running::next).boxed()
    }
}

impl Running {
    /// The next whole events, or the end, or the error that breaks the answer off.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        while !self.is_over {
            let limit = self
                .source
                .call
                .deadline
                .min(BootInstant::now() + SILENCE_LIMIT);
            let piece = self.next_piece(limit).await;
            let failure = match piece {
                Ok(Ok(Some(piece))) => match self.take(&piece) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Some((Ok(events), self)),
                    Err(failure) => failure,
                },
                Ok(Ok(None)) if !self.parser.is_within_event() => {
                    if let Some(watch) = self.watch.take() {
                        watch.answered();
                    }
                    self.end_place(AttemptOutcome::Answered);
                    return None;
                }
                Ok(Ok(None)) => SendFailure::Lost,
                Ok(Err(failure)) => failure,
                Err(_) => SendFailure::OutOfTime,
            };
            if !self.resume(failure).await {
                self.is_over = true;
                let error = io::Error::other("the series of events broke off");
                return Some((Err(error), self));
            }
        }
        None
    }

    /// The next bytes, unless the back end is known to have ended.
    async fn next_piece(
        &mut self,
        limit: BootInstant,
    ) -> Result<Result<Option<Bytes>, SendFailure>, Elapsed> {
        let ended = self.source.call.context.ended_lives.clone();
        let life = self.place.as_ref().map(|place| place.back_end().id.clone());
        let ending = async {
            match &life {
                Some(life) => has_ended(ended, life).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            piece = sloetrail_clock::timeout_at(limit, self.body.next_piece()) => piece,
            () = ending => Ok(Err(SendFailure::Lost)),
        }
    }

    fn take(&mut self, piece: &[u8]) -> Result<Bytes, SendFailure> {
        let events = self.parser.push(piece).map_err(|_| SendFailure::Lost)?;
        if let (false, Some(begun)) = (events.is_empty(), &mut self.source.begun) {
            begun.sent(self.source.sends);
        }
        let mut passed_on = Vec::new();
        for event in events {
            let follows = match (self.source.last_event, event.id) {
                (Some(last), Some(id)) => id == last + 1,
                _ => true,
            };
            if !follows {
                return Err(SendFailure::Lost);
            }
            self.source.last_event = event.id.or(self.source.last_event);
            self.source.has_passed_on = true;
            passed_on.extend_from_slice(event.raw.as_bytes());
        }
        Ok(Bytes::from(passed_on))
    }

    async fn resume(&mut self, failure: SendFailure) -> bool {
        let result = judge_failure(failure);
        if let Some(watch) = self.watch.take() {
            watch.end(&result);
        }
        self.end_place(result.outcome());
        if result.is_silence() {
            // Other connections may have fallen silent at the same moment.
            self.source.reuse = self.source.reuse.after_try_at(BootInstant::now());
        }
        if !self.source.call.route.resumable {
            return false;
        }
        match self.source.connect().await {
            Opening::Events(open) => {
                self.place = Some(open.place);
                self.watch = Some(open.watch);
                self.body = open.body;
                self.parser = EventParser::new(self.source.call.context.weight_version_field());
                true
            }
            Opening::Refused(_) | Opening::Failed(_) => false,
        }
    }

    fn end_place(&mut self, outcome: AttemptOutcome) {
        if let Some(place) = self.place.take() {
            place.end(outcome);
        }
    }
}
