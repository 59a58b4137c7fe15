//! Serving of routes and batches.
//!
//! A node follows three things in the platform's table: the operator's configuration
//! with the versions that trainers publish ([`operator`]), the directory of back ends
//! ([`directory`]), and the leases of services. A live request ([`gateway`]) is routed
//! by the configuration and sent to a back end that the directory lists. A batch is
//! accepted by any node, once the table holds it; the node that holds the lease of
//! its service ([`owner`]) sends the items to engines, has the texts scored and commits
//! the results, which any node then reads from the table.
//!
//! Nothing that must last is in a node: every node can be replaced at any time.
//!
//! What a deployment spells in its own way stands behind [`dialect::Dialect`] and
//! [`table::Table`].

pub mod back_end;
mod back_end_connections;
mod batch_rows;
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
mod slot_waiter;
mod subset_demand;
mod supervisor;
mod suspension_guard;
pub mod table;
pub mod table_client;
pub mod table_clock;
mod telemetry;
pub mod usage;
mod zone_work;

pub use node::{ControlServices, ServingNode, StartError};

#[cfg(test)]
mod suspension_tests;
