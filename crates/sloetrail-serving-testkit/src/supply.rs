//! An engine supply that records orders without carrying them out.

use async_trait::async_trait;
use sloetrail_serving::engine_supply::{EngineSupply, SupplyAnswer, SupplyOrder};
use sloetrail_serving::lease_holder::LeaseHolder;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A received order.
#[derive(Clone, Debug)]
pub struct SupplyRecord {
    pub order: SupplyOrder,
    /// The lease holder that gave the order.
    pub holder: LeaseHolder,
    pub at: Instant,
}

/// Records orders and accepts them by default.
pub struct SupplyRecorder {
    state: Mutex<State>,
}

struct State {
    records: Vec<SupplyRecord>,
    next_answer: Option<SupplyAnswer>,
}

impl SupplyRecorder {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                records: Vec::new(),
                next_answer: None,
            }),
        })
    }

    /// Sets the answer to the next order. Later orders are accepted again.
    pub fn set_next_answer(&self, answer: SupplyAnswer) {
        self.state().next_answer = Some(answer);
    }

    /// All received orders, oldest first.
    pub fn records(&self) -> Vec<SupplyRecord> {
        self.state().records.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

#[async_trait]
impl EngineSupply for SupplyRecorder {
    async fn order(
        &self,
        order: &SupplyOrder,
        holder: &LeaseHolder,
        _timeout: Duration,
    ) -> SupplyAnswer {
        let mut state = self.state();
        state.records.push(SupplyRecord {
            order: order.clone(),
            holder: holder.clone(),
            at: Instant::now(),
        });
        let answer = state.next_answer.take();
        answer.unwrap_or(SupplyAnswer::Accepted)
    }
}
