//! Whoever starts engines and takes them away, as orders see it: they are written down and
//! carried out by nobody.

use async_trait::async_trait;
use sloetrail_serving::engine_supply::{EngineSupply, SupplyAnswer, SupplyOrder};
use sloetrail_serving::lease_holder::LeaseHolder;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An order that came.
#[derive(Clone, Debug)]
pub struct SupplyRecord {
    /// The order.
    pub order: SupplyOrder,
    /// Who gave it.
    pub holder: LeaseHolder,
    /// When it came.
    pub at: Instant,
}

/// Writes orders down.
pub struct SupplyRecorder {
    state: Mutex<State>,
}

struct State {
    records: Vec<SupplyRecord>,
    next_answer: Option<SupplyAnswer>,
}

impl SupplyRecorder {
    /// A book without orders, which accepts them.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                records: Vec::new(),
                next_answer: None,
            }),
        })
    }

    /// How the next order is answered; those after it are accepted again.
    pub fn set_next_answer(&self, answer: SupplyAnswer) {
        self.state().next_answer = Some(answer);
    }

    /// Every order that came.
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
