//! Fenced orders: loading and switching weights, draining.

use super::batch::Batch;
use crate::history_log::HistoryLog;
use crate::standins::FaultControl;
use http::StatusCode;
use http_body_util::Full;
use sloetrail_clients::{HttpClient, Order, OrderCommand, OrderOutcome};
use sloetrail_history::EventBody;
use sloetrail_types::{EngineId, Epoch, ServiceName, WeightVersion};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
const VERSIONS_IN_MEMORY: usize = 2;

struct Held {
    epoch: Epoch,
    loaded: BTreeSet<WeightVersion>,
}

/// An engine's weights and the orders that change them.
pub(super) struct Weights {
    pub(super) engine: EngineId,
    pub(super) service: ServiceName,
    pub(super) store: SocketAddr,
    pub(super) switch_pause: Duration,
    pub(super) batch: Arc<Batch>,
    pub(super) faults: FaultControl,
    pub(super) history: HistoryLog,
    pub(super) draining: AtomicBool,
    http: HttpClient,
    held: Mutex<Held>,
}

impl Weights {
    pub(super) fn new(
        engine: EngineId,
        service: ServiceName,
        store: SocketAddr,
        switch_pause: Duration,
        batch: Arc<Batch>,
        faults: FaultControl,
        history: HistoryLog,
    ) -> Self {
        Self {
            held: Mutex::new(Held {
                epoch: Epoch(0),
                loaded: BTreeSet::from([batch.version()]),
            }),
            engine,
            service,
            store,
            switch_pause,
            batch,
            faults,
            history,
            draining: AtomicBool::new(false),
            http: HttpClient::new(),
        }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.held.lock().expect("not poisoned").epoch
    }

    pub(super) fn loaded(&self) -> Vec<WeightVersion> {
        let held = self.held.lock().expect("not poisoned");
        held.loaded.iter().copied().collect()
    }

    pub(super) fn holds(&self, version: WeightVersion) -> bool {
        let held = self.held.lock().expect("not poisoned");
        held.loaded.contains(&version)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Carries an order out unless it is fenced off.
    pub(super) async fn carry_out(&self, order: Order) -> OrderOutcome {
        if let Err(seen) = self.fence(order.epoch) {
            return OrderOutcome::StaleEpoch(seen);
        }
        if self.faults.strikes(self.faults.get().failed_order_percent) {
            return OrderOutcome::Failed("the order failed".to_owned());
        }
        match order.command {
            OrderCommand::Load { version, peer } => self.load(version, peer, order.epoch).await,
            OrderCommand::Switch { version } => self.switch(version, order.epoch).await,
            OrderCommand::Drain => {
                self.drain();
                OrderOutcome::Done
            }
            OrderCommand::Resume => {
                self.draining.store(false, Ordering::SeqCst);
                self.history.record(EventBody::EngineResumed {
                    engine: self.engine.clone(),
                });
                OrderOutcome::Done
            }
        }
    }

    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.history.record(EventBody::EngineLeaving {
            engine: self.engine.clone(),
        });
    }

    fn fence(&self, epoch: Epoch) -> Result<(), Epoch> {
        let mut held = self.held.lock().expect("not poisoned");
        if epoch < held.epoch {
            return Err(held.epoch);
        }
        held.epoch = epoch;
        Ok(())
    }

    async fn load(
        &self,
        version: WeightVersion,
        peer: Option<SocketAddr>,
        epoch: Epoch,
    ) -> OrderOutcome {
        if self.holds(version) {
            return OrderOutcome::Done;
        }
        let source = peer.unwrap_or(self.store);
        if !self.transfer(source, version).await {
            return OrderOutcome::Failed(format!("version {version} was not transferred"));
        }
        if let Err(seen) = self.fence(epoch) {
            return OrderOutcome::StaleEpoch(seen);
        }
        let in_use = self.batch.version();
        let mut held = self.held.lock().expect("not poisoned");
        while held.loaded.len() >= VERSIONS_IN_MEMORY {
            let Some(unused) = held.loaded.iter().copied().find(|known| *known != in_use) else {
                break;
            };
            held.loaded.remove(&unused);
        }
        held.loaded.insert(version);
        OrderOutcome::Done
    }

    async fn transfer(&self, source: SocketAddr, version: WeightVersion) -> bool {
        let uri = format!("http://{source}/v1/weights/{}/{version}", self.service);
        let Ok(request) = http::Request::get(uri).body(Full::default()) else {
            return false;
        };
        let answer = self.http.fetch(request, TRANSFER_TIMEOUT, 1024);
        answer
            .await
            .is_ok_and(|response| response.status == StatusCode::OK)
    }

    async fn switch(&self, version: WeightVersion, epoch: Epoch) -> OrderOutcome {
        if !self.holds(version) {
            return OrderOutcome::Failed(format!("version {version} is not loaded"));
        }
        self.batch.pause(true);
        tokio::time::sleep(self.switch_pause).await;
        let fenced = self.fence(epoch);
        if fenced.is_ok() {
            self.batch.switch(version);
        }
        self.batch.pause(false);
        match fenced {
            Ok(()) => OrderOutcome::Done,
            Err(seen) => OrderOutcome::StaleEpoch(seen),
        }
    }
}
