//! Load balancing, concurrency limits, retry budgets and fair queueing for one service.
//!
//! [`Balancer`] holds the engines of one service as one node sees them. It picks by power of
//! two choices on load, where load is the last report corrected by the requests that this node
//! has sent since. Only engines with a recent report are eligible. Engines of the local zone
//! are preferred, then those of the local region. Cold engines come last and receive no more
//! than a [`SendBound`] that is derived from a [`ColdBudget`].
//!
//! [`ConcurrencyLimit`] bounds the requests of one node at one engine, [`RetryBudget`] the load
//! that retries add. When slots are scarce, a [`SlotQueue`] orders the waiting requests and
//! [`TenantShares`] orders the tenants.

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
