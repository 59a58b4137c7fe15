//! HTTP calls of live callers and trainers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use sloetrail_serving::dialect::HeaderNames;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The value of a header; None if it is missing or not text.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request to a node or back end.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    pub fn new(method: Method, host: &str, path: impl Into<String>) -> Self {
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(host).expect("valid host header");
        headers.insert(http::header::HOST, host);
        Self {
            method,
            path: path.into(),
            headers,
            body: Bytes::new(),
        }
    }

    #[must_use]
    pub fn header(mut self, name: &HeaderName, value: &str) -> Self {
        let value = HeaderValue::from_str(value).expect("valid header value");
        self.headers.insert(name.clone(), value);
        self
    }

    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the call on a new connection. None if no complete response arrives in time. The
    /// connection is closed when the call ends or is dropped.
    pub async fn send(&self, address: SocketAddr) -> Option<Answer> {
        tokio::time::timeout(CALL_TIMEOUT, self.try_send(address))
            .await
            .ok()?
    }

    async fn try_send(&self, address: SocketAddr) -> Option<Answer> {
        let mut connection = OpenConnection::open(address).await?;
        self.try_send_over(&mut connection).await
    }

    /// Sends the call on an open connection. None if no complete response arrives in time; the
    /// connection must not be used again then.
    pub async fn send_over(&self, connection: &mut OpenConnection) -> Option<Answer> {
        tokio::time::timeout(CALL_TIMEOUT, self.try_send_over(connection))
            .await
            .ok()?
    }

    async fn try_send_over(&self, connection: &mut OpenConnection) -> Option<Answer> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        *request.headers_mut() = self.headers.clone();
        let response = connection.sender.send_request(request).await.ok();
        match response {
            Some(response) => {
                let (head, body) = response.into_parts();
                body.collect().await.ok().map(|body| Answer {
                    status: head.status,
                    headers: head.headers,
                    body: body.to_bytes(),
                })
            }
            None => None,
        }
    }
}

/// A connection for any number of calls, closed on drop.
pub struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _connection_task: JoinSet<Result<(), hyper::Error>>,
}

impl OpenConnection {
    /// Connects. None if the address does not accept the connection.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let mut connection_task = JoinSet::new();
        connection_task.spawn(connection);
        Some(Self {
            sender,
            _connection_task: connection_task,
        })
    }

    /// True if the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// A batch item in the JSON form that trainers submit.
pub fn item(id: &str, group: &str, events: u64) -> Value {
    json!({
        "id": id, "path": "/rollout/item", "headers": {}, "group": group, "tokens": events,
        "body": STANDARD.encode(format!("events={events}")),
    })
}

/// Adds a reward call to an item.
pub fn with_reward(mut item: Value, host: &str) -> Value {
    let id = item["id"].as_str().unwrap_or_default().to_owned();
    item["reward"] = json!({
        "id": format!("reward-{id}"), "host": host, "path": "/live/score",
        "body": STANDARD.encode("score"),
    });
    item
}

pub fn batch(items: &[Value], model: &str, min_version: u64) -> Value {
    json!({"step": 0, "model": model, "min_version": min_version, "items": items})
}

/// The call that submits a batch.
pub fn submission(names: &HeaderNames, host: &str, id: &str, batch: &Value) -> Call {
    Call::new(Method::POST, host, format!("/rollout/{id}"))
        .header(&names.request_id, id)
        .body(batch.to_string())
}
