//! HTTP/1.1 server and client.

mod answer_buffer;
mod caller_connection;
mod caller_stream;
mod connections;
mod exchange;
mod listener;
mod received_bytes;
mod request_scanner;
mod reuse;
mod socket;
mod unresponsive;

pub(crate) use answer_buffer::AnswerBudget;
pub use connections::ConnectionPool;
pub(crate) use connections::{Listening, probe_listener};
pub use exchange::{AnswerBody, CompleteAnswer, Exchange, SendFailure};
pub use listener::{ConnectionTracker, ListenerSettings, spawn_listener};
pub use reuse::Reuse;

/// A request or response body held completely in memory.
pub type FullBody = http_body_util::Full<bytes::Bytes>;
