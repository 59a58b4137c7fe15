//! The node daemon as a library.
//!
//! Flow: [`Node::start`] binds the HTTP server and the gossip socket and starts
//! the tasks. `sync` keeps the configuration and the machine list; `gossip`
//! exchanges membership, views and engine news over UDP; `observer` asks engines
//! how they are. `gateway` carries callers' requests to engines. `leases` decides
//! which runs and services this node owns; for those, `owner` keeps the sample
//! ledger, runs samples and rolls weights out. `api` is the HTTP surface.
//!
//! Decision logic lives in the crates below this one; here it meets sockets and
//! clocks.

mod api;
mod clock;
mod directory;
mod gateway;
mod gossip;
mod leases;
mod lifecycle;
mod logging;
mod node;
mod observer;
mod owner;
mod peer;
mod problem_response;
mod server;
mod state;
mod sync;

pub use api::messages;
pub use logging::{LogFormat, LoggingError, start_logging};
pub use node::{Node, NodeError, NodeSockets};
