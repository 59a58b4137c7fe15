//! How many engines the service has: decided from what they do, and ordered.

use super::ServiceOwner;
use crate::context::NodeContext;
use crate::engine_supply::{EngineSupply, SupplyAnswer, SupplyOrder};
use crate::events::{self, Event};
use crate::lease_holder::LeaseHolder;
use crate::leases::{OrderWindow, Term};
use crate::owner::event::{OwnerEvent, SupplyAnswered};
use crate::rows;
use crate::table::{Commit, read_row};
use crate::telemetry;
use sloetrail_batch::BatchHeader;
use sloetrail_scaling::{EnginesNow, Scaler, ScalingBounds, spread};
use sloetrail_types::{ServiceName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an answer to an order may take. It must come within the order window.
const ORDER_PATIENCE: Duration = Duration::from_millis(700);

/// How long to wait when the table did not tell how many engines there were.
const FLOOR_RETRY: Duration = Duration::from_millis(1_000);

/// What is known of how many engines there were before any were ordered.
#[derive(Clone, Copy)]
enum Floor {
    /// It is to be read from this moment on.
    Unknown(Instant),
    BeingRead,
    Known(usize),
}

/// What the owner knows of the number of its engines.
pub(super) struct SupplyState {
    origin: Instant,
    scaler: Scaler,
    /// By model, when its last batch was accepted, in milliseconds of the table's clock.
    accepted_at_ms: BTreeMap<String, u64>,
    /// How many engines there were before any were ordered.
    floor: Floor,
    /// Orders that wait for a window.
    planned: Vec<SupplyOrder>,
    is_ordering: bool,
}

impl Default for SupplyState {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            scaler: Scaler::default(),
            accepted_at_ms: BTreeMap::new(),
            floor: Floor::Unknown(Instant::now()),
            planned: Vec::new(),
            is_ordering: false,
        }
    }
}

impl SupplyState {
    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64)
    }

    /// A batch was opened.
    pub(super) fn note_batch(&mut self, model: &str, header: &BatchHeader) {
        let accepted_at_ms = header.accepted_at_ms;
        let before = self.accepted_at_ms.insert(model.to_owned(), accepted_at_ms);
        let since_previous = before
            .and_then(|before| accepted_at_ms.checked_sub(before))
            .map(Duration::from_millis);
        self.scaler.note_batch(self.now(), since_previous);
    }

    /// The groups that a trainer waits for are whole.
    pub(super) fn note_step(&mut self, header: &BatchHeader, age: Duration) {
        if header.run_target_ms > 0 {
            let share = age.as_millis() as f64 / header.run_target_ms as f64;
            self.scaler.note_step(self.now(), share);
        }
    }
}

impl ServiceOwner {
    /// Takes in what the engines do, and orders another number of them if one is wanted.
    pub(super) fn drive_supply(&mut self) {
        let supply = self.context.engine_supply.clone();
        let is_on = self.context.settings.policies.order_engines;
        let is_on = is_on && self.set.is_in_charge_of_engines();
        let Some(supply) = supply.filter(|_| is_on) else {
            return;
        };
        let Some(bounds) = self.scaling_bounds() else {
            return;
        };
        let now = self.supply.now();
        let open = self.batches.values();
        let running = open.map(|open| open.runs.len()).sum();
        self.supply.scaler.note_load(now, running);
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        if !self.context.table.is_answering() || self.others.are_at_work(now_ms) {
            self.supply.scaler.note_load_incomplete(now);
        }
        let Some(floor) = self.floor() else {
            return;
        };
        if self.supply.planned.is_empty() && !self.supply.is_ordering {
            self.supply.planned = self.plan_supply(now, &bounds, floor);
        }
        self.order_supply(supply);
    }

    fn scaling_bounds(&self) -> Option<ScalingBounds> {
        let configuration = self.context.configuration()?;
        let service = configuration.services.get(&self.service)?;
        service.scaling.clone()
    }

    /// How many engines there were before any were ordered, those of evacuated zones
    /// included, once the table has told.
    fn floor(&mut self) -> Option<usize> {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| !engine.back_end.draining);
        let engines = engines.count();
        // Before the first batch the engines may still be on their way.
        let is_in_use = engines > 0 && !self.supply.accepted_at_ms.is_empty();
        match self.supply.floor {
            Floor::Known(floor) => return Some(floor),
            Floor::Unknown(from) if is_in_use && Instant::now() >= from => {}
            Floor::Unknown(_) | Floor::BeingRead => return None,
        }
        self.supply.floor = Floor::BeingRead;
        let (context, term) = (Arc::clone(&self.context), self.term.clone());
        let (service, sender) = (self.service.clone(), self.sender.clone());
        tokio::spawn(async move {
            let floor = read_floor(&context, &term, &service, engines).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::FloorRead(floor));
        });
        None
    }

    pub(super) fn floor_read(&mut self, floor: Option<usize>) {
        let again_at = Instant::now() + FLOOR_RETRY;
        self.supply.floor = floor.map_or(Floor::Unknown(again_at), Floor::Known);
    }

    fn plan_supply(
        &mut self,
        now: Timestamp,
        bounds: &ScalingBounds,
        floor: usize,
    ) -> Vec<SupplyOrder> {
        let zones = self.engines_by_zone(bounds);
        let slots = self.engines.iter().map(|(_, engine)| engine.back_end.slots);
        let engines_now = EnginesNow {
            engines: zones.values().sum(),
            slots: slots.max().unwrap_or(1),
            zones: zones.len(),
        };
        let Some(wanted) = self.supply.scaler.decide(now, engines_now, bounds, floor) else {
            return Vec::new();
        };
        let names: Vec<ZoneName> = zones.keys().cloned().collect();
        let shares = spread(wanted, &names, bounds).into_iter();
        let changed = shares.filter(|(zone, engines)| zones.get(zone) != Some(engines));
        changed
            .map(|(zone, engines)| SupplyOrder {
                service: self.service.clone(),
                zone,
                engines,
            })
            .collect()
    }

    /// Engines that take work, by zone. A zone that has lost all of its engines is there
    /// as long as it has a price. A zone that is evacuated is left out: its number stays as
    /// it is, and what is needed is ordered elsewhere.
    fn engines_by_zone(&self, bounds: &ScalingBounds) -> BTreeMap<ZoneName, usize> {
        let priced = bounds.zone_prices.keys();
        let mut zones: BTreeMap<ZoneName, usize> = priced.map(|zone| (zone.clone(), 0)).collect();
        for (_, engine) in self.engines.iter() {
            let count = zones.entry(engine.back_end.zone.clone()).or_default();
            *count += usize::from(engine.takes_work());
        }
        let evacuations = Arc::clone(&self.context.in_force.borrow().evacuations);
        zones.retain(|zone, _| !evacuations.covers(zone));
        zones
    }

    /// Gives the planned orders, within a window that was committed before.
    fn order_supply(&mut self, supply: Arc<dyn EngineSupply>) {
        let evacuations = Arc::clone(&self.context.in_force.borrow().evacuations);
        let planned = &mut self.supply.planned;
        planned.retain(|order| !evacuations.covers(&order.zone));
        if self.supply.planned.is_empty() {
            return;
        }
        if !self.window.is_open() {
            self.open_window();
            return;
        }
        self.supply.is_ordering = true;
        let task = SupplyTask {
            supply,
            orders: std::mem::take(&mut self.supply.planned),
            window: self.window.clone(),
            owner: self.term.holder(&self.context.settings),
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let answered = task.run().await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::SupplyAnswered(answered));
        });
    }

    pub(super) fn supply_answered(&mut self, answered: SupplyAnswered) {
        self.supply.is_ordering = false;
        if answered.fenced {
            self.term.ended.cancel();
        }
    }
}

/// How many engines there were before any were ordered. The first owner ever writes down
/// what it sees. Nothing if the table does not answer.
async fn read_floor(
    context: &NodeContext,
    term: &Term,
    service: &ServiceName,
    engines: usize,
) -> Option<usize> {
    let address = rows::engine_floor(service);
    let row = read_row(&*context.table, &address).await.ok()?;
    if let Some(row) = row {
        return serde_json::from_slice(&row.value).ok();
    }
    let transaction = term.transaction().require(address.clone(), None);
    let transaction = transaction.put(address, engines.to_string());
    let commit = context.table.commit(&transaction).await.ok()?;
    matches!(commit, Commit::Done(_)).then_some(engines)
}

/// Orders that are given one after the other.
struct SupplyTask {
    supply: Arc<dyn EngineSupply>,
    orders: Vec<SupplyOrder>,
    window: OrderWindow,
    owner: LeaseHolder,
}

impl SupplyTask {
    /// Gives the orders while the window is open; what is left is decided anew.
    async fn run(self) -> SupplyAnswered {
        let mut fenced = false;
        for order in &self.orders {
            if !self.window.is_open() || fenced {
                break;
            }
            let answer = self.supply.order(order, &self.owner, ORDER_PATIENCE).await;
            self.tell(order, answer);
            fenced = answer == SupplyAnswer::Fenced;
        }
        SupplyAnswered { fenced }
    }

    fn tell(&self, order: &SupplyOrder, answer: SupplyAnswer) {
        telemetry::engines_ordered(answer.word());
        events::emit(&Event::EnginesOrdered {
            service: order.service.as_str(),
            zone: order.zone.as_str(),
            engines: order.engines,
            epoch: self.owner.epoch.0,
            outcome: answer.word(),
            status: answer.status(),
        });
    }
}
