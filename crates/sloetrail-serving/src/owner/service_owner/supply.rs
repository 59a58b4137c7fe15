//! How many engines the service has: decided from what they do, and ordered.

use super::ServiceOwner;
use crate::context::NodeContext;
use crate::engine_supply::{EngineSupply, SupplyAnswer, SupplyOrder};
use crate::events::{self, Event};
use crate::lease_holder::LeaseHolder;
use crate::leases::{OrderWindow, Term};
use crate::owner::event::{OwnerEvent, SupplyAnswered};
use crate::owner::slot_demand::ReceivedDemands;
use crate::rows;
use crate::table::{Commit, read_row};
use crate::telemetry;
use sloetrail_batch::BatchHeader;
use sloetrail_clock::BootInstant;
use sloetrail_scaling::{FleetScaler, ScalingBounds, ZoneLoad, ZoneLoads};
use sloetrail_types::{ServiceName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long an answer to an order may take. It must come within the order window.
const ORDER_PATIENCE: Duration = Duration::from_millis(700);

/// How long to wait when the table did not tell how many engines there were.
const FLOOR_RETRY: Duration = Duration::from_millis(1_000);

/// What is known of how many engines there were before any were ordered.
#[derive(Clone, Copy)]
enum Floor {
    /// It is to be read from this moment on.
    Unknown(BootInstant),
    BeingRead,
    Known(usize),
}

/// What the owner knows of the number of its engines.
pub(super) struct SupplyState {
    origin: BootInstant,
    scaler: FleetScaler,
    /// What bound batches take, as their owners tell it.
    heard: ReceivedDemands,
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
            origin: BootInstant::now(),
            scaler: FleetScaler::default(),
            heard: ReceivedDemands::default(),
            accepted_at_ms: BTreeMap::new(),
            floor: Floor::Unknown(BootInstant::now()),
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
    pub(super) fn record_batch(&mut self, model: &str, header: &BatchHeader) {
        let accepted_at_ms = header.accepted_at_ms;
        let before = self.accepted_at_ms.insert(model.to_owned(), accepted_at_ms);
        let since_previous = before
            .and_then(|before| accepted_at_ms.checked_sub(before))
            .map(Duration::from_millis);
        self.scaler.record_batch(self.now(), since_previous);
    }
}

impl ServiceOwner {
    /// The groups that a trainer waits for are whole.
    pub(super) fn record_step(&mut self, header: &BatchHeader, age: Duration) {
        if header.run_target_ms == 0 || self.scaling_bounds().is_none() {
            return;
        }
        let share = age.as_millis() as f64 / header.run_target_ms as f64;
        match self.set.is_in_charge_of_engines() {
            true => self.supply.scaler.record_step(self.supply.now(), share),
            false => self.demand.record_step(share),
        }
    }

    /// Who takes orders for engines, if the deployment lets anybody order some for the
    /// service.
    pub(super) fn engine_supply(&self) -> Option<(Arc<dyn EngineSupply>, ScalingBounds)> {
        let supply = self.context.engine_supply.clone();
        let is_on = self.context.settings.policies.order_engines;
        supply.filter(|_| is_on).zip(self.scaling_bounds())
    }

    /// Takes in what the engines do, and orders another number of them if one is wanted.
    pub(super) fn drive_supply(&mut self) {
        if !self.set.is_in_charge_of_engines() {
            return;
        }
        let Some((supply, bounds)) = self.engine_supply() else {
            return;
        };
        // Numbers that are decided from a part of the engines are wrong, and the first of them
        // stays.
        if !self.context.directory.borrow().is_whole {
            self.context.directory_interest.want_all();
            return;
        }
        let now = self.supply.now();
        let zones = self.zones_now(&bounds);
        self.record_supply_load(now, &zones);
        let Some(floor) = self.floor() else {
            return;
        };
        if self.supply.planned.is_empty() && !self.supply.is_ordering {
            self.supply.planned = self.plan_supply(now, &zones, &bounds, floor);
        }
        self.order_supply(supply);
    }

    fn record_supply_load(&mut self, now: Timestamp, zones: &ZoneLoads) {
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        let is_answering = self.context.table.is_answering();
        if !is_answering {
            self.supply.heard.record_table_outage(now_ms);
        }
        let leases = self.context.leases.borrow().clone();
        let steps = self.supply.heard.apply_view(&leases, &self.service, now_ms);
        let heard = &self.supply.heard;
        let works = heard.bound_work(now_ms);
        let is_untold = |header: &BatchHeader| {
            !heard.covers(&header.allowed_regions, header.accepted_at_ms, now_ms)
        };
        let is_complete = is_answering && !self.others.any_at_work(now_ms, is_untold);
        let running = self.batches.values().map(|open| open.runs.len()).sum();
        let scaler = &mut self.supply.scaler;
        scaler.record_load(now, running, zones, &works);
        for step in steps {
            scaler.record_bound_step(now, &step.regions, step.share);
        }
        if !is_complete {
            scaler.record_load_incomplete(now);
        }
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
            Floor::Unknown(from) if is_in_use && BootInstant::now() >= from => {}
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
        let again_at = BootInstant::now() + FLOOR_RETRY;
        self.supply.floor = floor.map_or(Floor::Unknown(again_at), Floor::Known);
    }

    fn plan_supply(
        &mut self,
        now: Timestamp,
        zones: &ZoneLoads,
        bounds: &ScalingBounds,
        floor: usize,
    ) -> Vec<SupplyOrder> {
        let slots = self.engines.iter().map(|(_, engine)| engine.back_end.slots);
        let slots = slots.max().unwrap_or(1);
        let scaler = &mut self.supply.scaler;
        let shares = scaler.decide(now, zones, slots, bounds, floor);
        let shares = shares.into_iter().flatten();
        let changed = shares.filter(|(zone, engines)| zones[zone].engines != *engines);
        changed
            .map(|(zone, engines)| SupplyOrder {
                service: self.service.clone(),
                zone,
                engines,
            })
            .collect()
    }

    /// Engines that take work, by zone, and the places that own items take there. A zone that
    /// has lost all of its engines is there as long as it has a price. A zone that is
    /// evacuated is left out: its number stays as it is, and what is needed is ordered
    /// elsewhere.
    fn zones_now(&self, bounds: &ScalingBounds) -> ZoneLoads {
        let topology = &self.context.settings.topology;
        let empty = |zone: &ZoneName| ZoneLoad {
            region: topology.region_of(zone).cloned(),
            engines: 0,
            busy_slots: 0,
        };
        let priced = bounds.zone_prices.keys();
        let mut zones: ZoneLoads = priced.map(|zone| (zone.clone(), empty(zone))).collect();
        for (_, engine) in self.engines.iter() {
            let zone = &engine.back_end.zone;
            let state = zones.entry(zone.clone()).or_insert_with(|| empty(zone));
            state.engines += usize::from(engine.takes_work());
        }
        let runs = self.batches.values().flat_map(|open| open.runs.values());
        for run in runs {
            let engine = self.engines.get(&run.engine);
            let zone = engine.and_then(|engine| zones.get_mut(&engine.back_end.zone));
            if let Some(zone) = zone {
                zone.busy_slots += 1;
            }
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
        telemetry::engines_ordered(answer.as_str());
        events::emit(&Event::EnginesOrdered {
            service: order.service.as_str(),
            zone: order.zone.as_str(),
            engines: order.engines,
            epoch: self.owner.epoch.0,
            outcome: answer.as_str(),
            status: answer.status(),
        });
    }
}
