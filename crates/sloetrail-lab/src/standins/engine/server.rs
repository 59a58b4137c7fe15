//! The HTTP surface of an engine or back end.

use super::application::ApplicationAnswer;
use super::batch::{Batch, BatchSettings, Generation, KvState};
use super::model;
use super::prefix_cache::CacheEvent;
use super::weights::Weights;
use crate::history_log::HistoryLog;
use crate::standins::fault_layer::lost_answer;
use crate::standins::{FaultControl, Served};
use axum::body::Body;
use axum::extract::{Path, Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use sloetrail_clients::{
    Chunk, EngineLoadState, EngineStatus, GenerateRequest, NOT_RUN_HEADER, Order, OrderOutcome,
    Priority, REQUEST_ID_HEADER,
};
use sloetrail_history::EventBody;
use sloetrail_types::{EngineId, RequestId, ServiceName, WeightVersion};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

/// Names a caller's sending; the lab's callers set it.
pub const SEND_HEADER: &str = "x-lab-send";
/// What an application's answer repeats.
pub const MARKER_HEADER: &str = "x-lab-marker";
const KEY_HEADER: &str = "idempotency-key";
const LOAD_REPORT_LAG: Duration = Duration::from_millis(300);
const PEER_TRANSFER: Duration = Duration::from_millis(150);

/// What a back end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineKind {
    /// A model engine.
    Model,
    /// An ordinary application.
    Application,
}

/// How a back end works.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its id.
    pub engine: EngineId,
    /// Its service.
    pub service: ServiceName,
    /// What it is.
    pub kind: EngineKind,
    /// Its batching (model engines).
    pub batch: BatchSettings,
    /// Time that a request takes (applications).
    pub service_time: Duration,
    /// Requests that it runs at a time; more wait inside it (applications).
    pub application_capacity: usize,
    /// Length of an answer's filler (applications).
    pub answer_bytes: usize,
    /// Pause of a weight switch (model engines).
    pub switch_pause: Duration,
    /// The weight store (model engines).
    pub weight_store: SocketAddr,
}

impl EngineSettings {
    /// Settings with the lab's assumed step times.
    pub fn assumed(
        engine: EngineId,
        service: ServiceName,
        kind: EngineKind,
        weight_store: SocketAddr,
    ) -> Self {
        Self {
            engine,
            service,
            kind,
            batch: BatchSettings {
                capacity: 16,
                step: Duration::from_millis(10),
                tokens_per_step: 4,
                median_tokens: 60,
            },
            service_time: Duration::from_millis(10),
            application_capacity: 64,
            answer_bytes: 512,
            switch_pause: Duration::from_millis(60),
            weight_store,
        }
    }
}

struct LaggingLoad {
    taken_at: Instant,
    running: usize,
    queued: usize,
}

struct Shared {
    settings: EngineSettings,
    history: HistoryLog,
    faults: FaultControl,
    batch: Arc<Batch>,
    weights: Weights,
    application_running: AtomicUsize,
    application_places: Arc<Semaphore>,
    lagging: Mutex<LaggingLoad>,
    last_answer: Mutex<Option<(HeaderValue, Bytes)>>,
}

/// A running back end. Dropping it ends it as a crash would.
pub struct FakeEngine {
    served: Served,
    shared: Arc<Shared>,
    stepping: JoinHandle<()>,
    /// Its faults.
    pub faults: FaultControl,
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.stepping.abort();
    }
}

impl FakeEngine {
    /// Starts a back end.
    pub async fn start(
        address: SocketAddr,
        settings: EngineSettings,
        history: HistoryLog,
        seed: u64,
    ) -> std::io::Result<Self> {
        let faults = FaultControl::new(seed);
        let batch = Arc::new(Batch::new(
            settings.engine.clone(),
            settings.batch,
            history.clone(),
        ));
        let weights = Weights::new(
            settings.engine.clone(),
            settings.service.clone(),
            settings.weight_store,
            settings.switch_pause,
            Arc::clone(&batch),
            faults.clone(),
            history.clone(),
        );
        let application_places = Arc::new(Semaphore::new(settings.application_capacity));
        let shared = Arc::new(Shared {
            settings,
            history,
            faults: faults.clone(),
            batch: Arc::clone(&batch),
            weights,
            application_running: AtomicUsize::new(0),
            application_places,
            lagging: Mutex::new(LaggingLoad {
                taken_at: Instant::now(),
                running: 0,
                queued: 0,
            }),
            last_answer: Mutex::default(),
        });
        let router = build_router(&shared);
        let served = Served::start(address, faults.wrap(router)).await?;
        let stepping = tokio::spawn(async move { batch.run().await });
        Ok(Self {
            served,
            shared,
            stepping,
            faults,
        })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Its id.
    pub fn id(&self) -> &EngineId {
        &self.shared.settings.engine
    }

    /// Its service.
    pub fn service(&self) -> &ServiceName {
        &self.shared.settings.service
    }

    /// The weights in use.
    pub fn version(&self) -> WeightVersion {
        self.shared.batch.version()
    }

    /// Requests running and waiting.
    pub fn load(&self) -> usize {
        self.shared.load_now().0 + self.shared.load_now().1
    }
}

impl Shared {
    fn load_now(&self) -> (usize, usize) {
        match self.settings.kind {
            EngineKind::Model => self.batch.load(),
            EngineKind::Application => (self.application_running.load(Ordering::SeqCst), 0),
        }
    }

    /// The load as it was a moment ago.
    fn lagging_load(&self) -> (usize, usize) {
        let mut lagging = self.lagging.lock().expect("not poisoned");
        let reported = (lagging.running, lagging.queued);
        if lagging.taken_at.elapsed() >= LOAD_REPORT_LAG {
            let (running, queued) = self.load_now();
            *lagging = LaggingLoad {
                taken_at: Instant::now(),
                running,
                queued,
            };
        }
        reported
    }

    fn start_run(&self, send: &str, key: Option<String>) {
        self.history.record(EventBody::RunStarted {
            engine: self.settings.engine.clone(),
            send: send.to_owned(),
            key,
        });
    }

    fn end_run(&self, send: &str) {
        self.history.record(EventBody::RunEnded {
            engine: self.settings.engine.clone(),
            send: send.to_owned(),
        });
    }

    fn submit(
        &self,
        request: RequestId,
        prompt: String,
        next_token: u32,
        token_limit: u32,
        priority: Priority,
    ) -> mpsc::UnboundedReceiver<Chunk> {
        let (chunks, receiver) = mpsc::unbounded_channel();
        let median = self.batch.settings().median_tokens;
        let length = model::answer_length(&prompt, median, token_limit);
        self.batch.submit(Generation {
            request,
            prompt,
            next_token,
            length: length.max(next_token),
            priority,
            chunks,
        });
        receiver
    }
}

fn build_router(shared: &Arc<Shared>) -> Router {
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/orders", post(order))
        .route("/lab/leave", post(leave))
        .route("/v1/weights/{service}/{version}", get(pass_weights_on));
    let router = match shared.settings.kind {
        EngineKind::Model => router
            .route("/v1/generate", post(generate))
            .route("/v1/complete", post(complete))
            .route("/v1/kv/{*request}", get(export_kv))
            .route("/v1/kv", post(import_kv))
            .route("/v1/cache-events", get(cache_events)),
        EngineKind::Application => router.route("/app/{*path}", any(serve_application)),
    };
    router.with_state(Arc::clone(shared))
}

fn not_run() -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    let headers = response.headers_mut();
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    response
}

async fn status(State(shared): State<Arc<Shared>>) -> Json<EngineStatus> {
    let (running, queued) = shared.lagging_load();
    let capacity = match shared.settings.kind {
        EngineKind::Model => shared.settings.batch.capacity,
        EngineKind::Application => shared.settings.application_capacity,
    };
    Json(EngineStatus {
        engine: shared.settings.engine.clone(),
        service: shared.settings.service.clone(),
        state: match shared.weights.is_draining() {
            true => EngineLoadState::Draining,
            false => EngineLoadState::Serving,
        },
        version: shared.batch.version(),
        loaded: shared.weights.loaded(),
        running: running as u32,
        queued: queued as u32,
        capacity: capacity as u32,
        epoch: shared.weights.epoch(),
    })
}

async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Json<OrderOutcome> {
    // An order that has begun is carried out even if its sender goes away.
    let carried_out = tokio::spawn(async move { shared.weights.carry_out(order).await });
    let outcome = carried_out.await;
    Json(outcome.unwrap_or_else(|error| OrderOutcome::Failed(error.to_string())))
}

/// The platform announces that the machine is about to go.
async fn leave(State(shared): State<Arc<Shared>>) {
    shared.weights.drain();
}

async fn export_kv(
    State(shared): State<Arc<Shared>>,
    Path(request): Path<RequestId>,
) -> Result<Json<KvState>, StatusCode> {
    let state = shared.batch.export(&request);
    state.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn import_kv(State(shared): State<Arc<Shared>>, Json(state): Json<KvState>) -> StatusCode {
    match shared.batch.import(state) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::CONFLICT,
    }
}

#[derive(Deserialize)]
struct CacheEventsQuery {
    after: u64,
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<CacheEventsQuery>,
) -> Json<Vec<CacheEvent>> {
    Json(shared.batch.cache_events(query.after))
}

async fn pass_weights_on(
    State(shared): State<Arc<Shared>>,
    Path((_, version)): Path<(ServiceName, WeightVersion)>,
) -> Result<&'static str, StatusCode> {
    if !shared.weights.holds(version) {
        return Err(StatusCode::NOT_FOUND);
    }
    tokio::time::sleep(PEER_TRANSFER).await;
    Ok("weights")
}

/// A sample's generation.
async fn generate(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<GenerateRequest>,
) -> Response {
    if shared.weights.is_draining() {
        return not_run();
    }
    shared.history.record(EventBody::GenerationStarted {
        engine: shared.settings.engine.clone(),
        request: request.request.clone(),
    });
    let next_token = request.resume_tokens.len() as u32;
    let chunks = shared.submit(
        request.request,
        request.prompt,
        next_token,
        request.token_limit,
        request.priority,
    );
    let lines = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((Ok::<Bytes, std::io::Error>(chunk_line(&chunk)), chunks))
    });
    Response::new(Body::from_stream(lines))
}

fn chunk_line(chunk: &Chunk) -> Bytes {
    let mut line = serde_json::to_vec(chunk).expect("chunks are plain data");
    line.push(b'\n');
    Bytes::from(line)
}

#[derive(Deserialize)]
struct CompleteRequest {
    prompt: String,
    token_limit: u32,
}

/// A live generation in progress; dropped without its end, it was given up because
/// the one that asked has gone.
struct LiveRun {
    shared: Arc<Shared>,
    send: String,
    ended: bool,
}

impl Drop for LiveRun {
    fn drop(&mut self) {
        match self.ended {
            true => self.shared.end_run(&self.send),
            false => self.shared.history.record(EventBody::RunCancelled {
                engine: self.shared.settings.engine.clone(),
                send: self.send.clone(),
            }),
        }
    }
}

/// A live generation, answered once it is whole.
async fn complete(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(request): Json<CompleteRequest>,
) -> Response {
    if shared.weights.is_draining() {
        return not_run();
    }
    let id = header_text(&headers, REQUEST_ID_HEADER);
    let send = header_text(&headers, SEND_HEADER);
    shared.start_run(&send, None);
    let mut run = LiveRun {
        shared: Arc::clone(&shared),
        send,
        ended: false,
    };
    let chunks = shared.submit(
        RequestId::new(id.clone()),
        request.prompt,
        0,
        request.token_limit,
        Priority::Live,
    );
    let stream = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((chunk_line(&chunk), chunks))
    });
    let lines: Vec<Bytes> = stream.collect().await;
    run.ended = true;
    answer(&shared, &id, Bytes::from(lines.concat()))
}

/// An application's request.
async fn serve_application(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let headers = request.headers().clone();
    if shared.weights.is_draining() {
        return not_run();
    }
    shared.application_running.fetch_add(1, Ordering::SeqCst);
    let response = tokio::spawn(run_application(Arc::clone(&shared), headers, request)).await;
    response.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn run_application(shared: Arc<Shared>, headers: HeaderMap, request: Request) -> Response {
    let send = header_text(&headers, SEND_HEADER);
    let key = headers.get(KEY_HEADER);
    let key = key.and_then(|value| value.to_str().ok()).map(str::to_owned);
    shared.start_run(&send, key);
    let places = Arc::clone(&shared.application_places);
    let place = places.acquire_owned().await;
    // The body is read as an application would read it.
    let _ = request.into_body().collect().await;
    tokio::time::sleep(shared.settings.service_time).await;
    drop(place);
    let marker = header_text(&headers, MARKER_HEADER);
    let body = ApplicationAnswer::new(&marker, shared.settings.answer_bytes);
    let body = serde_json::to_vec(&body).expect("answers are plain data");
    shared.end_run(&send);
    shared.application_running.fetch_sub(1, Ordering::SeqCst);
    let id = header_text(&headers, REQUEST_ID_HEADER);
    answer(&shared, &id, Bytes::from(body))
}

/// An answer with the request's id, unless a fault crosses or cuts it.
fn answer(shared: &Shared, id: &str, body: Bytes) -> Response {
    let faults = shared.faults.get();
    if shared.faults.strikes(faults.cut_answer_percent) {
        return lost_answer();
    }
    let id = HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("none"));
    let own = (id, body);
    let earlier = {
        let mut last = shared.last_answer.lock().expect("not poisoned");
        last.replace(own.clone())
    };
    let crossed = shared.faults.strikes(faults.crossed_answer_percent);
    let (id, body) = earlier.filter(|_| crossed).unwrap_or(own);
    let mut response = Response::new(Body::from(body));
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID_HEADER, id);
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
