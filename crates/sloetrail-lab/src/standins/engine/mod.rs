//! A model engine, or an application's back end.
//!
//! `batch` is the continuous batching of generations, `model` what the tokens
//! are, `prefix_cache` the cached prompts and their events, `weights` the loading and switching of versions under fenced orders,
//! `application` the answers of an ordinary back end, `server` the HTTP surface.

mod application;
mod batch;
mod model;
mod prefix_cache;
mod server;
mod weights;

pub use application::ApplicationAnswer;
pub use batch::{BatchSettings, KvState};
pub use model::token;
pub use prefix_cache::{CacheChange, CacheEvent, PrefixCache};
pub use server::{EngineKind, EngineSettings, FakeEngine, MARKER_HEADER, SEND_HEADER};
