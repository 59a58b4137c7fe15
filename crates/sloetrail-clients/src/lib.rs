//! Clients and wire messages of the platform services and of the engines.
//!
//! Each module holds the messages of one service and a client for it. All
//! clients share [`HttpClient`], whose errors keep apart what the rest of the
//! system depends on: a call that was certainly not carried out
//! ([`CallError::NotExecuted`]) and one whose outcome is unknown
//! ([`CallError::Unknown`]).

mod engine;
mod http_client;
mod machines;
mod objects;
mod retry_hint;
mod scoring;
mod table;

pub use engine::{
    Chunk, ChunkStream, ENGINE_ID_HEADER, EngineClient, EngineLoadState, EngineStatus,
    GenerateRequest, NOT_RUN_HEADER, Order, OrderCommand, OrderOutcome, Priority,
    REQUEST_ID_HEADER, VERSIONS_HEADER,
};
pub use http_client::{CallError, HttpClient, RawResponse};
pub use machines::{Machine, MachineList, MachineListClient, MachineRole, MachineState};
pub use objects::ObjectClient;
pub use retry_hint::{RetryHint, SECONDS_HEADER};
pub use scoring::{ScoreRequest, ScoreResponse, ScoringClient};
pub use table::{
    CommitOutcome, Condition, ReadRequest, ReadResponse, Row, ScanRequest, ScanResponse, Settled,
    TableClient, Transaction, Write,
};
