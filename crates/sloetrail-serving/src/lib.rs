//! Serving node for live requests and batches.
//!
//! A node follows three sources in the platform's table: the operator's configuration and the
//! published weight versions ([`operator`]), the directory of back ends ([`directory`]) and the
//! leases of services. A live request ([`gateway`]) is routed by the configuration and sent to a
//! back end of the directory. Any node accepts a batch by storing it in the table. The node that
//! holds the lease of the service ([`owner`]) sends the items to engines, has the texts scored
//! and commits the results, which any node reads from the table.
//!
//! Nodes keep no durable state and can be replaced at any time.
//!
//! [`dialect::Dialect`] and [`table::Table`] abstract from the interfaces of a deployment.

pub mod back_end;
mod back_end_connections;
mod batch_rows;
mod byte_budget;
mod cold_budgets;
mod context;
pub mod dialect;
pub mod directory;
mod directory_index;
mod ended_incarnations;
pub mod engine_supply;
mod event_stream;
pub mod events;
pub mod follow;
mod gateway;
pub mod http;
pub mod lease_holder;
mod leases;
mod length_hint;
mod loss_backoff;
pub mod native_dialect;
mod node;
pub mod operator;
mod owner;
pub mod policies;
mod quarantine;
mod relay;
mod retry_backoff;
mod rows;
mod service_pools;
pub mod settings;
mod shutdown;
mod slot_waiter;
mod subset_demand;
mod supervisor;
mod suspension_guard;
pub mod table;
pub mod table_client;
pub mod table_clock;
pub mod tasks;
mod telemetry;
pub mod usage;
mod zone_work;

pub use node::{ControlServices, ServingNode, StartError};

#[cfg(test)]
mod suspension_tests;
