//! Not product: what the serving node needs around it in tests.
//!
//! [`table::MemoryTable`] is the durable table with faults to switch on, reached through
//! one [`table::TableLink`] a node. [`engine::FakeEngine`] is a back end that runs
//! items and live requests and writes down what it was asked. [`cluster::Cluster`] puts
//! nodes, table and back ends together; each node has a runtime of its own, so that it
//! can be killed at any moment. [`blackhole_proxy::BlackholeProxy`] and
//! [`congested_proxy::CongestedProxy`] stand between two of them. [`usage::ReportRecorder`] takes
//! reports of usage, [`supply::SupplyRecorder`] orders for engines. [`client`] makes calls as
//! callers and trainers do, [`keyed::Keyed`] those with idempotency keys. [`stopwatch::Stopwatch`] tells how long something took, without
//! what a busy machine adds.

pub mod blackhole_proxy;
pub mod client;
pub mod cluster;
pub mod congested_proxy;
pub mod engine;
pub mod keyed;
pub mod stopwatch;
pub mod supply;
pub mod table;
pub mod usage;
pub mod wire;
