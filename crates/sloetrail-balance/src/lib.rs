//! Which engine gets the next request, how many it gets, and who may retry.
//!
//! [`Balancer`] holds one service's engines as one node sees them. It chooses by
//! the power of two choices on load, corrected by the node's own sends since the
//! last report, and only among engines of which there is fresh news.
//! Engines of the own zone go first, then those of the own region; cold ones come last and
//! get no more than a [`SendBound`], dealt out by a [`ColdBudget`].
//! [`ConcurrencyLimit`] bounds what one node sends one engine, [`RetryBudget`]
//! what a service's retries may add to its load. While places are short a [`SlotQueue`]
//! says who gets the next one, and [`TenantShares`] which tenant's turn it is.

mod balancer;
mod cold_share;
mod concurrency_limit;
mod entry;
mod latency_quantile;
mod retry_budget;
mod send_window;
mod served_shares;
mod slot_queue;
mod tenant_shares;

pub use balancer::{Balancer, BalancerSettings, ColdEngine, EngineRequirements, ListedEngine};
pub use cold_share::ColdBudget;
pub use concurrency_limit::ConcurrencyLimit;
pub use entry::{AttemptOutcome, EngineReport, ReportedState, WorkClass};
pub use latency_quantile::LatencyQuantile;
pub use retry_budget::RetryBudget;
pub use send_window::{SendBound, SendWindow};
pub use slot_queue::{SlotQueue, SlotRequest, SlotTicket};
pub use tenant_shares::{TenantOrder, TenantShares, WorkTenant};

#[cfg(test)]
mod tests;
