//! Callers of live services.

use super::node_book::{BookEntry, NodeBook};
use crate::history_log::HistoryLog;
use crate::standins::engine::{ApplicationAnswer, MARKER_HEADER, SEND_HEADER, token};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sloetrail_clients::{CallError, Chunk, ENGINE_ID_HEADER, HttpClient, RawResponse};
use sloetrail_history::{EventBody, RunClass, SendOutcome};
use sloetrail_result::{Kind, Problem, ResultCode};
use sloetrail_types::{EngineId, Revision, ServiceName};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const REVISION_HEADER: &str = "x-sloetrail-revision";
const KEYED_TRIES: u32 = 3;

/// What the callers do.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The application service.
    pub application: ServiceName,
    /// The model service.
    pub model: ServiceName,
    /// Callers at a time.
    pub callers: usize,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    /// Drives their choices.
    pub seed: u64,
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct CallerTotals {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Whole answers.
    pub whole: AtomicU64,
    /// Refusals and failures with a problem document.
    pub problems: AtomicU64,
    /// Refusals that said not run.
    pub not_run: AtomicU64,
    /// Problem documents by code.
    pub codes: Mutex<BTreeMap<u16, u64>>,
    /// Sendings without an answer.
    pub unanswered: AtomicU64,
}

#[derive(Clone, Copy)]
enum RequestKind {
    ReadGuide,
    SubmitReading,
    SubmitWithoutKey,
    Complete,
}

/// A caller's request, with the kind's place in the mix.
fn choose_kind(random: &mut StdRng) -> RequestKind {
    match random.random_range(0..10) {
        0..=4 => RequestKind::ReadGuide,
        5..=6 => RequestKind::SubmitReading,
        7 => RequestKind::SubmitWithoutKey,
        _ => RequestKind::Complete,
    }
}

/// Runs callers until cancelled, and lets the last requests end.
pub async fn run_callers(
    settings: CallerSettings,
    book: NodeBook,
    history: HistoryLog,
    totals: Arc<CallerTotals>,
    cancel: CancellationToken,
) {
    let mut tasks = Vec::new();
    for index in 0..settings.callers {
        let caller = Caller {
            index,
            settings: settings.clone(),
            book: book.clone(),
            history: history.clone(),
            totals: Arc::clone(&totals),
            http: HttpClient::new(),
            random: StdRng::seed_from_u64(settings.seed + index as u64),
            sends: 0,
        };
        tasks.push(tokio::spawn(caller.run(cancel.clone())));
    }
    for task in tasks {
        task.await.expect("callers do not panic");
    }
}

struct Caller {
    index: usize,
    settings: CallerSettings,
    book: NodeBook,
    history: HistoryLog,
    totals: Arc<CallerTotals>,
    http: HttpClient,
    random: StdRng,
    sends: u64,
}

struct Sending {
    send: String,
    marker: String,
    key: Option<String>,
    kind: RequestKind,
}

impl Caller {
    async fn run(mut self, cancel: CancellationToken) {
        while !cancel.is_cancelled() {
            let kind = choose_kind(&mut self.random);
            match kind {
                RequestKind::SubmitReading => self.submit_reading().await,
                _ => drop(self.send_once(kind, None).await),
            }
            tokio::time::sleep(self.settings.pause).await;
        }
    }

    /// Sends a reading under one key until it is answered or the tries are spent.
    async fn submit_reading(&mut self) {
        let key = format!(
            "reading-{}-{}-{}",
            self.settings.seed, self.index, self.sends
        );
        for _ in 0..KEYED_TRIES {
            match self.send_once(RequestKind::SubmitReading, Some(&key)).await {
                Some(SendOutcome::Answered { .. }) => return,
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn send_once(&mut self, kind: RequestKind, key: Option<&str>) -> Option<SendOutcome> {
        let entry = self.book.any(&mut self.random)?;
        self.sends += 1;
        let number = format!("{}-{}-{}", self.settings.seed, self.index, self.sends);
        let sending = Sending {
            send: format!("send-{number}"),
            marker: key.map_or_else(|| format!("marker-{number}"), str::to_owned),
            key: key.map(str::to_owned),
            kind,
        };
        self.history.record(EventBody::RequestSent {
            send: sending.send.clone(),
            marker: sending.marker.clone(),
            node: entry.node.clone(),
            class: match kind {
                RequestKind::SubmitReading | RequestKind::SubmitWithoutKey => RunClass::AtMostOnce,
                RequestKind::ReadGuide | RequestKind::Complete => RunClass::Repeatable,
            },
            key: sending.key.clone(),
        });
        self.totals.sent.fetch_add(1, Ordering::Relaxed);
        let request = self.build(&entry, &sending);
        let answer = self
            .http
            .fetch(request, ANSWER_TIMEOUT, ANSWER_LIMIT_BYTES)
            .await;
        let outcome = judge(&sending, answer);
        self.count(&outcome);
        self.history.record(EventBody::RequestEnded {
            send: sending.send,
            outcome: outcome.clone(),
        });
        Some(outcome)
    }

    fn build(&self, entry: &BookEntry, sending: &Sending) -> Request<Full<Bytes>> {
        let application = &self.settings.application;
        let (method, path, body) = match sending.kind {
            RequestKind::ReadGuide => (
                Method::GET,
                format!("{application}/app/guide"),
                Bytes::new(),
            ),
            RequestKind::SubmitReading | RequestKind::SubmitWithoutKey => (
                Method::POST,
                format!("{application}/app/readings"),
                Bytes::from_static(b"{\"litres\": 1204}"),
            ),
            RequestKind::Complete => (
                Method::POST,
                format!("{}/v1/complete", self.settings.model),
                Bytes::from(format!(
                    "{{\"prompt\": \"{}\", \"token_limit\": 24}}",
                    sending.marker
                )),
            ),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/services/{path}", entry.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(SEND_HEADER, &sending.send)
            .header(MARKER_HEADER, &sending.marker);
        if let Some(key) = &sending.key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).expect("lab paths are sound")
    }

    fn count(&self, outcome: &SendOutcome) {
        let totals = &self.totals;
        let counter = match outcome {
            SendOutcome::Answered { .. } => &totals.whole,
            SendOutcome::Refused { kind, code } => {
                let mut codes = totals.codes.lock().expect("not poisoned");
                *codes.entry(*code).or_default() += 1;
                if *kind == Kind::NotRun {
                    totals.not_run.fetch_add(1, Ordering::Relaxed);
                }
                &totals.problems
            }
            SendOutcome::NotConnected | SendOutcome::Cut => &totals.unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn judge(sending: &Sending, answer: Result<RawResponse, CallError>) -> SendOutcome {
    let response = match answer {
        Ok(response) => response,
        Err(CallError::NotExecuted { .. }) => return SendOutcome::NotConnected,
        Err(CallError::Unknown { .. }) => return SendOutcome::Cut,
    };
    if !response.status.is_success() {
        return match response.json::<Problem>() {
            Ok(problem) => SendOutcome::Refused {
                code: problem.code,
                kind: problem.kind,
            },
            Err(_) => SendOutcome::Refused {
                code: ResultCode::InternalError.number(),
                kind: Kind::OutcomeUnknown,
            },
        };
    }
    let (marker, whole) = match sending.kind {
        RequestKind::Complete => read_generation(sending, &response),
        _ => read_application(&response.body),
    };
    let revision = response.headers.get(REVISION_HEADER);
    let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
    SendOutcome::Answered {
        marker,
        whole,
        revision: Revision(revision.unwrap_or_default()),
    }
}

fn read_application(body: &[u8]) -> (String, bool) {
    match serde_json::from_slice::<ApplicationAnswer>(body) {
        Ok(answer) => (answer.marker.clone(), answer.is_whole()),
        Err(_) => ("unreadable".to_owned(), false),
    }
}

/// A generation is one's own if the model gives its tokens to one's own prompt.
fn read_generation(sending: &Sending, response: &RawResponse) -> (String, bool) {
    let unreadable = ("unreadable".to_owned(), false);
    let engine = response.headers.get(ENGINE_ID_HEADER);
    let Some(engine) = engine.and_then(|value| value.to_str().ok()) else {
        return unreadable;
    };
    let engine = EngineId::from(engine);
    let lines = response.body.split(|byte| *byte == b'\n');
    let chunks: Result<Vec<Chunk>, _> = lines
        .filter(|line| !line.is_empty())
        .map(serde_json::from_slice)
        .collect();
    let Ok(chunks) = chunks else {
        return unreadable;
    };
    let mut next_token = 0;
    for chunk in &chunks {
        if chunk.first_token != next_token {
            return (sending.marker.clone(), false);
        }
        for given in &chunk.tokens {
            if *given != token(&engine, &sending.marker, chunk.version, next_token) {
                return ("another prompt".to_owned(), false);
            }
            next_token += 1;
        }
    }
    let ends = chunks.last().is_some_and(|chunk| chunk.end);
    (sending.marker.clone(), ends)
}
