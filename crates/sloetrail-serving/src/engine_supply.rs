//! Interface to the platform that starts and stops engines.

use crate::lease_holder::LeaseHolder;
use async_trait::async_trait;
use sloetrail_types::{ServiceName, ZoneName};
use std::time::Duration;

/// The engine count that a zone should have for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupplyOrder {
    pub service: ServiceName,
    pub zone: ZoneName,
    /// Total count, including the engines that already run.
    pub engines: usize,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupplyAnswer {
    Accepted,
    /// A later lease holder has already given orders.
    Fenced,
    /// No capacity, or the order cannot be carried out. Holds the HTTP status.
    Refused(u16),
    /// No usable answer: the order may or may not take effect.
    Unknown,
}

impl SupplyAnswer {
    /// Label for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SupplyAnswer::Accepted => "accepted",
            SupplyAnswer::Fenced => "fenced",
            SupplyAnswer::Refused(_) => "refused",
            SupplyAnswer::Unknown => "no answer",
        }
    }

    /// Returns the HTTP status of a refusal.
    pub(crate) fn status(self) -> Option<u16> {
        match self {
            SupplyAnswer::Refused(status) => Some(status),
            SupplyAnswer::Accepted | SupplyAnswer::Fenced | SupplyAnswer::Unknown => None,
        }
    }
}

/// Starts and stops engines. Orders name the total count, so that repeating an order has no
/// effect.
#[async_trait]
pub trait EngineSupply: Send + Sync {
    /// Sends an order and waits up to `timeout` for the answer.
    async fn order(
        &self,
        order: &SupplyOrder,
        holder: &LeaseHolder,
        timeout: Duration,
    ) -> SupplyAnswer;
}
