//! HTTP connections to a fake back end and the responses to its requests.

use super::records::RecordGuard;
use super::series::Series;
use super::{EndlessBody, EngineFault, FakeEngine};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Instant;

/// Number of comments or letters in a piece of a body without end.
const ENDLESS_REPEATS: usize = 1_000;

/// A response body, either complete or a stream of events.
pub(super) type EngineBody = UnsyncBoxBody<Bytes, io::Error>;

impl FakeEngine {
    /// Serves connections until the back end crashes.
    pub(super) async fn serve(self: Arc<Self>) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stopped.cancelled() => return,
                accepted = self.listener.accept() => accepted,
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
                    () = engine.stopped.cancelled() => {}
                }
            });
        }
    }

    /// Handles a request. Responds 421 if another instance is expected.
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
            return Ok(self.status_response());
        }
        if head.uri.path() == self.wire.order_path() {
            return self.take_order(&body).await;
        }
        self.run(head, body).await
    }

    fn status_response(&self) -> Response<EngineBody> {
        let state = self.state();
        let status = self
            .wire
            .status(&state.versions, state.busy, state.orders_taken);
        Response::new(full_body(status.to_string()))
    }

    /// Runs a request, subject to the current fault.
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
            return Ok(self.refusal());
        }
        let record = self.record_run(&head, &id);
        if self.state().crash_body.as_ref() == Some(&body) {
            // A separate task, so that it crashes even if the sender disconnects.
            let (engine, event_interval) = (Arc::clone(&self), self.state().event_interval);
            let crashing = tokio::spawn(async move {
                tokio::time::sleep(event_interval).await;
                engine.crash();
            });
            let _ = crashing.await;
            return Err(io::Error::other("the back end has crashed"));
        }
        if let EngineFault::Endless(body) = fault {
            return Ok(self.endless_answer(record, &id, body));
        }
        if let Some(outcome) = self.fault_outcome(fault, &id).await {
            return outcome;
        }
        let Some(events) = requested_event_count(&body) else {
            let event_interval = self.state().event_interval;
            tokio::time::sleep(event_interval).await;
            self.record_completion(record);
            return Ok(self.success(&id, fault));
        };
        Ok(self.series(record, &id, events, fault))
    }

    /// The result that a fault causes for a request that started to run. None if the run
    /// continues.
    async fn fault_outcome(
        &self,
        fault: EngineFault,
        id: &str,
    ) -> Option<Result<Response<EngineBody>, io::Error>> {
        let answer = match fault {
            EngineFault::AnswerLost => return Some(Err(io::Error::other("fault: response lost"))),
            EngineFault::Silent => std::future::pending().await,
            EngineFault::OutOfTime => self.signed(StatusCode::GATEWAY_TIMEOUT, id),
            EngineFault::Overloaded => self.signed(StatusCode::TOO_MANY_REQUESTS, id),
            EngineFault::Fails => self.signed(StatusCode::INTERNAL_SERVER_ERROR, id),
            EngineFault::Impossible => self.signed(StatusCode::UNPROCESSABLE_ENTITY, id),
            EngineFault::WrongRequestId => self.signed(StatusCode::OK, "another"),
            EngineFault::None
            | EngineFault::Refuses
            | EngineFault::BreaksOff(_)
            | EngineFault::SpoilsNumber(_)
            | EngineFault::Unsigned
            | EngineFault::Endless(_)
            | EngineFault::OrdersLate(_) => return None,
        };
        Some(Ok(answer))
    }

    /// A stream of events whose data holds the item id, the event number and the version.
    fn series(
        self: Arc<Self>,
        record: RecordGuard,
        id: &str,
        events: u64,
        fault: EngineFault,
    ) -> Response<EngineBody> {
        let names = self.wire.headers();
        let version = self.current_version();
        let first = record.first_event;
        let mut response = self.success(id, fault);
        let headers = response.headers_mut();
        headers.insert(names.weight_version.clone(), HeaderValue::from(version));
        let source = Series {
            engine: self,
            record: Some(record),
            id: id.to_owned(),
            next: first,
            last: events,
            version,
            remaining: match fault {
                EngineFault::BreaksOff(count) => Some(count),
                _ => None,
            },
            spoilt: match fault {
                EngineFault::SpoilsNumber(spoilt) => Some(spoilt),
                _ => None,
            },
            field: names.weight_version.as_str().to_owned(),
        };
        let pieces = stream::unfold(source, Series::next);
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }

    /// A response whose body does not end. The run lasts until its connection is closed.
    fn endless_answer(
        &self,
        record: RecordGuard,
        id: &str,
        body: EndlessBody,
    ) -> Response<EngineBody> {
        let names = self.wire.headers();
        let version = self.current_version();
        let mut response = self.success(id, EngineFault::None);
        let headers = response.headers_mut();
        headers.insert(names.weight_version, HeaderValue::from(version));
        let mut number = record.first_event;
        let pieces = stream::repeat_with(move || {
            let _running = &record;
            let piece = match body {
                EndlessBody::Comments => ": comment\n\n".repeat(ENDLESS_REPEATS),
                EndlessBody::Events => format!("id: {number}\ndata: a\n\n"),
                EndlessBody::Letters => "a".repeat(ENDLESS_REPEATS),
            };
            number += 1;
            Ok(Frame::data(Bytes::from(piece)))
        });
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }

    /// A 503 response stating that the request was not run.
    fn refusal(&self) -> Response<EngineBody> {
        let mut refusal = self.plain(StatusCode::SERVICE_UNAVAILABLE);
        let names = self.wire.headers();
        let value = HeaderValue::from_static("1");
        refusal.headers_mut().insert(names.not_run, value);
        refusal
    }

    /// A response without a body that carries the instance id.
    pub(super) fn plain(&self, status: StatusCode) -> Response<EngineBody> {
        let mut response = Response::new(full_body(String::new()));
        *response.status_mut() = status;
        let names = self.wire.headers();
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert(names.instance, id);
        }
        response
    }

    /// A response with status 200, signed unless the fault removes the signature.
    fn success(&self, id: &str, fault: EngineFault) -> Response<EngineBody> {
        let mut response = self.signed(StatusCode::OK, id);
        if fault == EngineFault::Unsigned {
            let names = self.wire.headers();
            response.headers_mut().remove(&names.signature);
        }
        response
    }

    /// A response with the request id and a signature.
    fn signed(&self, status: StatusCode, id: &str) -> Response<EngineBody> {
        let names = self.wire.headers();
        let mut response = self.plain(status);
        *response.body_mut() = full_body(format!("answer to {id}"));
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

/// Parses a body `events=N`, which requests a stream of N events.
fn requested_event_count(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix("events=")?.parse().ok()
}

/// The value of a header. None if it is missing or not text.
pub(super) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn full_body(text: String) -> EngineBody {
    let never = |never: Infallible| match never {};
    Full::new(Bytes::from(text)).map_err(never).boxed_unsync()
}
