//! A back end that runs items and live requests, and writes down what it was asked.

mod series;

use self::series::{RecordGuard, Series};
use crate::wire::{EngineWire, Listing, ReadOrder};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// How a back end misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// It does not.
    #[default]
    None,
    /// It runs a request and closes the connection without an answer.
    AnswerLost,
    /// It says that it did not run the request.
    Refuses,
    /// It runs a request and answers 500.
    Fails,
    /// It runs a request and answers 504: its time is over.
    OutOfTime,
    /// It runs a request and answers 429, without saying that it did not run it.
    Overloaded,
    /// It says that the request can never be done.
    Impossible,
    /// It breaks each series of events off after so many.
    BreaksOff(usize),
    /// It answers under the id of another request.
    Crossed,
    /// It takes requests and says nothing.
    Silent,
    /// It takes the orders and answers nothing, and carries them out so much later.
    OrdersLate(Duration),
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The number of the last event that the sender held.
    pub last_event: Option<u64>,
    /// The time that it was given, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Its rank; the most urgent is 0.
    pub priority: Option<u64>,
    /// The tenant that it was sent for.
    pub tenant: Option<String>,
    /// The names of all its headers.
    pub header_names: BTreeSet<String>,
    /// When it began.
    pub began: Instant,
    /// True once its answer was sent whole.
    pub finished: bool,
    /// True once the sender had gone before the end.
    pub abandoned: bool,
    /// When it ended, whole or not.
    pub ended: Option<Instant>,
}

/// An order that came.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// The order.
    pub order: ReadOrder,
    /// When it came.
    pub at: Instant,
    /// The answer.
    pub status: u16,
}

struct State {
    versions: BTreeMap<String, u64>,
    busy: bool,
    orders_taken: u64,
    fault: EngineFault,
    fault_count: Option<usize>,
    pace: Duration,
    runs: Vec<RunRecord>,
    orders: Vec<OrderRecord>,
    late_orders: Vec<ReadOrder>,
    draining: bool,
    listed_address: SocketAddr,
    /// When it began to be cold, and for how long.
    colds: Vec<(Instant, Duration)>,
    arrivals: Vec<Instant>,
    resets: CancellationToken,
}

impl State {
    fn cold_left(&self) -> Duration {
        let last = self.colds.last();
        last.map_or(Duration::ZERO, |(began, time)| {
            time.saturating_sub(began.elapsed())
        })
    }
}

/// A back end.
pub struct EngineStandIn {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    address: SocketAddr,
    slots: usize,
    load_time: Duration,
    wire: Arc<dyn EngineWire>,
    state: Mutex<State>,
    stopped: CancellationToken,
}

type EngineBody = UnsyncBoxBody<Bytes, io::Error>;

impl EngineStandIn {
    /// Starts a back end of a service. `models` are at version one.
    pub async fn start(
        wire: Arc<dyn EngineWire>,
        service: &str,
        zone: &str,
        models: &[&str],
        pace: Duration,
    ) -> Arc<Self> {
        let any = "127.0.0.1:0".parse().expect("an address");
        Self::start_at(any, wire, service, zone, models, pace).await
    }

    /// Starts a back end at an address, which another one may have had before.
    pub async fn start_at(
        address: SocketAddr,
        wire: Arc<dyn EngineWire>,
        service: &str,
        zone: &str,
        models: &[&str],
        pace: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let engine = Arc::new(Self {
            id: format!("engine-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 8,
            load_time: Duration::from_millis(80),
            wire,
            state: Mutex::new(State {
                versions: models
                    .iter()
                    .map(|model| ((*model).to_owned(), 1))
                    .collect(),
                busy: false,
                orders_taken: 0,
                fault: EngineFault::None,
                fault_count: None,
                pace,
                runs: Vec::new(),
                orders: Vec::new(),
                late_orders: Vec::new(),
                draining: false,
                listed_address: address,
                colds: Vec::new(),
                arrivals: Vec::new(),
                resets: CancellationToken::new(),
            }),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&engine).serve(listener));
        engine
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lists itself from now on at another address, such as that of a proxy before it.
    pub fn set_listed_address(&self, address: SocketAddr) {
        self.state().listed_address = address;
    }

    /// What it lists of itself.
    pub fn listing(&self) -> Listing {
        let state = self.state();
        Listing {
            service: self.service.clone(),
            address: state.listed_address.to_string(),
            zone: self.zone.clone(),
            slots: self.slots,
            draining: state.draining,
            cold_left_ms: state.cold_left().as_millis() as u64,
            versions: state.versions.clone(),
        }
    }

    /// Makes the next `count` requests (or all) meet a fault.
    pub fn set_fault(&self, fault: EngineFault, count: Option<usize>) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_count = count;
    }

    /// The time between two events.
    pub fn set_pace(&self, pace: Duration) {
        self.state().pace = pace;
    }

    /// Is cold from now on for a while, and says so when it is listed again.
    pub fn set_cold(&self, time: Duration) {
        self.state().colds.push((Instant::now(), time));
    }

    /// When it began to be cold each time, and for how long.
    pub fn colds(&self) -> Vec<(Instant, Duration)> {
        self.state().colds.clone()
    }

    /// When requests came, those that were refused included, but not those meant for
    /// another instance.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Says from now on that it takes no new work.
    pub fn set_draining(&self) {
        self.state().draining = true;
    }

    /// Closes every connection.
    pub fn reset_connections(&self) {
        let mut state = self.state();
        let resets = std::mem::take(&mut state.resets);
        resets.cancel();
    }

    /// Crashes: the port is closed and every connection ends.
    pub fn crash(&self) {
        self.stopped.cancel();
        self.reset_connections();
    }

    /// Requests that began to run.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state().runs.clone()
    }

    /// The runs of one request.
    pub fn runs_of(&self, id: &str) -> Vec<RunRecord> {
        let state = self.state();
        let runs = state.runs.iter();
        runs.filter(|run| run.id == id).cloned().collect()
    }

    /// Orders that came.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state().orders.clone()
    }

    /// Orders that were left unanswered, to be carried out late.
    pub fn late_orders(&self) -> Vec<ReadOrder> {
        self.state().late_orders.clone()
    }

    /// Uses a version from now on, as if it had been ordered.
    pub fn force_version(&self, model: &str, version: u64) {
        self.state().versions.insert(model.to_owned(), version);
    }

    /// The version of a model in use.
    pub fn version(&self, model: &str) -> u64 {
        self.state()
            .versions
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stopped.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let engine = Arc::clone(&self);
            let reset = self.state().resets.clone();
            tokio::spawn(async move {
                let answering = Arc::clone(&engine);
                let service = service_fn(move |request| {
                    let engine = Arc::clone(&answering);
                    async move { engine.answer(request).await }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = reset.cancelled() => {}
                }
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<EngineBody>, io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let names = self.wire.headers();
        let expected = text(&head.headers, &names.expected_instance);
        if expected.is_some_and(|expected| expected != self.id) {
            return Ok(self.plain(StatusCode::MISDIRECTED_REQUEST));
        }
        if head.method == Method::GET && head.uri.path() == self.wire.status_path() {
            return Ok(self.tell_status());
        }
        if head.uri.path() == self.wire.order_path() {
            return self.take_order(&body).await;
        }
        self.run(head, body).await
    }

    fn tell_status(&self) -> Response<EngineBody> {
        let state = self.state();
        let status = self
            .wire
            .status(&state.versions, state.busy, state.orders_taken);
        Response::new(whole(status.to_string()))
    }

    async fn take_order(self: Arc<Self>, body: &[u8]) -> Result<Response<EngineBody>, io::Error> {
        let Some(order) = self.wire.order(body) else {
            return Ok(self.plain(StatusCode::BAD_REQUEST));
        };
        if let EngineFault::OrdersLate(after) = self.take_fault() {
            let engine = Arc::clone(&self);
            self.state().late_orders.push(order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                engine.carry_out(order);
            });
            return Err(io::Error::other("the answer is lost"));
        }
        let status = self.carry_out(order);
        Ok(self.plain(status))
    }

    fn carry_out(self: &Arc<Self>, order: ReadOrder) -> StatusCode {
        let mut state = self.state();
        let current = state
            .versions
            .get(&order.model)
            .copied()
            .unwrap_or_default();
        let status = if current == order.version {
            StatusCode::OK
        } else if state.busy || state.orders_taken != order.orders_taken {
            StatusCode::CONFLICT
        } else {
            state.busy = true;
            state.orders_taken += 1;
            StatusCode::ACCEPTED
        };
        state.orders.push(OrderRecord {
            order: order.clone(),
            at: Instant::now(),
            status: status.as_u16(),
        });
        if status == StatusCode::ACCEPTED {
            let engine = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(engine.load_time).await;
                let mut state = engine.state();
                state.versions.insert(order.model, order.version);
                state.busy = false;
            });
        }
        status
    }

    async fn run(
        self: Arc<Self>,
        head: http::request::Parts,
        body: Bytes,
    ) -> Result<Response<EngineBody>, io::Error> {
        let names = self.wire.headers();
        let id = text(&head.headers, &names.request_id).unwrap_or_default();
        self.state().arrivals.push(Instant::now());
        let fault = self.take_fault();
        if fault == EngineFault::Refuses {
            let mut refusal = self.plain(StatusCode::SERVICE_UNAVAILABLE);
            let value = HeaderValue::from_static("1");
            refusal.headers_mut().insert(names.not_run, value);
            return Ok(refusal);
        }
        let record = self.note_run(&head, &id);
        match fault {
            EngineFault::AnswerLost => return Err(io::Error::other("the answer is lost")),
            EngineFault::Silent => std::future::pending().await,
            EngineFault::OutOfTime => return Ok(self.signed(StatusCode::GATEWAY_TIMEOUT, &id)),
            EngineFault::Overloaded => {
                return Ok(self.signed(StatusCode::TOO_MANY_REQUESTS, &id));
            }
            EngineFault::Fails => return Ok(self.signed(StatusCode::INTERNAL_SERVER_ERROR, &id)),
            EngineFault::Impossible => {
                return Ok(self.signed(StatusCode::UNPROCESSABLE_ENTITY, &id));
            }
            EngineFault::Crossed => return Ok(self.signed(StatusCode::OK, "another")),
            EngineFault::None
            | EngineFault::Refuses
            | EngineFault::BreaksOff(_)
            | EngineFault::OrdersLate(_) => {}
        }
        let Some(events) = wanted_events(&body) else {
            let pace = self.state().pace;
            tokio::time::sleep(pace).await;
            self.note_end(record);
            return Ok(self.signed(StatusCode::OK, &id));
        };
        let break_after = match fault {
            EngineFault::BreaksOff(count) => Some(count),
            _ => None,
        };
        Ok(self.series(record, &id, events, break_after))
    }

    /// A series of events whose data names the item, the event and the version.
    fn series(
        self: Arc<Self>,
        record: RecordGuard,
        id: &str,
        events: u64,
        break_after: Option<usize>,
    ) -> Response<EngineBody> {
        let names = self.wire.headers();
        let version = self.current_version();
        let first = record.first_event;
        let mut response = self.signed(StatusCode::OK, id);
        let headers = response.headers_mut();
        headers.insert(names.weight_version.clone(), HeaderValue::from(version));
        let source = Series {
            engine: self,
            record: Some(record),
            id: id.to_owned(),
            next: first,
            last: events,
            version,
            left: break_after,
            field: names.weight_version.as_str().to_owned(),
        };
        let pieces = stream::unfold(source, Series::next);
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }

    fn current_version(&self) -> u64 {
        self.state()
            .versions
            .values()
            .next()
            .copied()
            .unwrap_or_default()
    }

    fn note_run(self: &Arc<Self>, head: &http::request::Parts, id: &str) -> RecordGuard {
        let names = self.wire.headers();
        let number = |name| text(&head.headers, name).and_then(|text| text.parse::<u64>().ok());
        let last_event = number(&names.last_event_id);
        let mut state = self.state();
        state.runs.push(RunRecord {
            id: id.to_owned(),
            path: head.uri.path().to_owned(),
            last_event,
            deadline_ms: number(&names.deadline_ms),
            priority: number(&names.priority),
            tenant: text(&head.headers, &names.tenant),
            header_names: head.headers.keys().map(ToString::to_string).collect(),
            began: Instant::now(),
            finished: false,
            abandoned: false,
            ended: None,
        });
        RecordGuard {
            engine: Arc::clone(self),
            index: state.runs.len() - 1,
            first_event: last_event.map_or(1, |last| last + 1),
        }
    }

    fn note_end(&self, record: RecordGuard) {
        let mut state = self.state();
        state.runs[record.index].finished = true;
        drop(state);
    }

    fn take_fault(&self) -> EngineFault {
        let mut state = self.state();
        match &mut state.fault_count {
            None => state.fault,
            Some(0) => EngineFault::None,
            Some(count) => {
                *count -= 1;
                state.fault
            }
        }
    }

    fn plain(&self, status: StatusCode) -> Response<EngineBody> {
        let mut response = Response::new(whole(String::new()));
        *response.status_mut() = status;
        let names = self.wire.headers();
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert(names.instance, id);
        }
        response
    }

    fn signed(&self, status: StatusCode, id: &str) -> Response<EngineBody> {
        let names = self.wire.headers();
        let mut response = self.plain(status);
        *response.body_mut() = whole(format!("answer to {id}"));
        let headers = response.headers_mut();
        if let Ok(echo) = HeaderValue::from_str(id) {
            headers.insert(names.request_id, echo);
        }
        if let Ok(signature) = HeaderValue::from_str(&format!("signed {id}")) {
            headers.insert(names.signature, signature);
        }
        response
    }
}

/// A body `events=N` asks for a series of N events.
fn wanted_events(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix("events=")?.parse().ok()
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn whole(text: String) -> EngineBody {
    let never = |never: Infallible| match never {};
    Full::new(Bytes::from(text)).map_err(never).boxed_unsync()
}
