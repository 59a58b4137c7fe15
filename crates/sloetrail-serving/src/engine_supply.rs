//! Whoever starts engines and takes them away.

use crate::lease_holder::LeaseHolder;
use async_trait::async_trait;
use sloetrail_types::{ServiceName, ZoneName};
use std::time::Duration;

/// How many engines of a service a zone is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupplyOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The number, with those that are there.
    pub engines: usize,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupplyAnswer {
    /// It is being carried out.
    Accepted,
    /// A later holder has given orders already.
    Fenced,
    /// There are none to be had now, or the order cannot be carried out; the status.
    Refused(u16),
    /// Nothing was answered, or not now: it may or may not be carried out.
    Unknown,
}

impl SupplyAnswer {
    /// A word for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SupplyAnswer::Accepted => "accepted",
            SupplyAnswer::Fenced => "fenced",
            SupplyAnswer::Refused(_) => "refused",
            SupplyAnswer::Unknown => "no answer",
        }
    }

    /// The status of a refusal.
    pub(crate) fn status(self) -> Option<u16> {
        match self {
            SupplyAnswer::Refused(status) => Some(status),
            SupplyAnswer::Accepted | SupplyAnswer::Fenced | SupplyAnswer::Unknown => None,
        }
    }
}

/// Whoever starts engines and takes them away. Orders name the whole number, so that one
/// that is given twice changes nothing.
#[async_trait]
pub trait EngineSupply: Send + Sync {
    /// Gives an order; gives up after `patience`.
    async fn order(
        &self,
        order: &SupplyOrder,
        holder: &LeaseHolder,
        timeout: Duration,
    ) -> SupplyAnswer;
}
