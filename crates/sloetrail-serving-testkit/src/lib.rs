//! Test support for the serving node; not part of the product.
//!
//! - [`cluster::Cluster`] combines nodes, a table and back ends. Each node has its own runtime,
//!   so that it can be killed at any time.
//! - [`table::MemoryTable`] is an in-memory durable table with faults. Each node reaches it
//!   through its own [`table::TableLink`].
//! - [`engine::FakeEngine`] is a back end that runs items and live requests and records them.
//! - [`blackhole_proxy::BlackholeProxy`] and [`congested_proxy::CongestedProxy`] inject network
//!   faults between two of these, [`endless_back_end::EndlessBackEnd`] answers without end.
//! - [`usage::ReportRecorder`] records usage reports, [`supply::SupplyRecorder`] orders for
//!   engines.
//! - [`client`] makes calls as callers and trainers do, [`keyed::IdempotentRequest`] calls with
//!   idempotency keys.
//! - [`raw_client::RawConnection`] sends requests whole or in parts.
//! - [`stopwatch::Stopwatch`] measures time without the delays of a busy machine.

pub mod blackhole_proxy;
pub mod client;
pub mod cluster;
pub mod congested_proxy;
pub mod endless_back_end;
pub mod engine;
pub mod keyed;
pub mod raw_client;
mod raw_request;
pub mod status_back_end;
pub mod stopwatch;
pub mod supply;
pub mod table;
pub mod usage;
pub mod wire;
