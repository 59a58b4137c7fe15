//! Decides how many engines the service needs from their load, and orders them.

use super::ServiceOwner;
use crate::context::NodeContext;
use crate::engine_supply::{EngineSupply, SupplyAnswer, SupplyOrder};
use crate::events::{self, Event};
use crate::lease_holder::LeaseHolder;
use crate::leases::{OrderWindow, Term};
use crate::owner::event::{OwnerEvent, SupplyOrdersOutcome};
use crate::owner::slot_demand::ReceivedDemands;
use crate::rows;
use crate::table::{Commit, read_row};
use crate::telemetry;
use sloetrail_batch::BatchHeader;
use sloetrail_clock::BootInstant;
use sloetrail_scaling::{FleetScaler, ScalingBounds, ZoneLoad, ZoneLoads};
use sloetrail_types::{ServiceName, Timestamp, ZoneName, bounded, whole_millis};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Must be shorter than the order window.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

const BASELINE_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The number of engines before any order.
#[derive(Clone, Copy)]
enum EngineBaseline {
    /// Not read yet; to be read from this time on.
    Unknown(BootInstant),
    BeingRead,
    Known(usize),
}

/// State of the control loop for the engine count.
pub(super) struct SupplyState {
    origin: BootInstant,
    scaler: FleetScaler,
    /// Slot demand of region-bound batches, as reported by their owners.
    received: ReceivedDemands,
    /// By model, when its last batch was accepted, by the table's clock.
    accepted_at: BTreeMap<String, Timestamp>,
    baseline: EngineBaseline,
    /// Orders that wait for an open order window.
    planned: Vec<SupplyOrder>,
    is_ordering: bool,
}

impl Default for SupplyState {
    fn default() -> Self {
        Self {
            origin: BootInstant::now(),
            scaler: FleetScaler::default(),
            received: ReceivedDemands::default(),
            accepted_at: BTreeMap::new(),
            baseline: EngineBaseline::Unknown(BootInstant::now()),
            planned: Vec::new(),
            is_ordering: false,
        }
    }
}

impl SupplyState {
    fn now(&self) -> Timestamp {
        Timestamp(whole_millis(self.origin.elapsed()))
    }

    pub(super) fn record_batch(&mut self, model: &str, header: &BatchHeader) {
        let accepted_at = header.accepted_at;
        let before = self.accepted_at.insert(model.to_owned(), accepted_at);
        let since_previous = before
            .filter(|before| *before <= accepted_at)
            .map(|before| accepted_at.since(before));
        self.scaler.record_batch(self.now(), since_previous);
    }
}

impl ServiceOwner {
    /// Records the time that a batch took until its required groups were complete.
    pub(super) fn record_step(&mut self, header: &BatchHeader, age: Duration) {
        if header.run_target.is_zero() || self.scaling_bounds().is_none() {
            return;
        }
        let share = age.as_millis() as f64 / header.run_target.as_millis() as f64;
        match self.set.controls_engine_count() {
            true => self.supply.scaler.record_step(self.supply.now(), share),
            false => self.demand.record_step(share),
        }
    }

    /// Returns where engines are ordered, with the service's scaling bounds. None if engines
    /// cannot be ordered for the service.
    pub(super) fn engine_supply(&self) -> Option<(Arc<dyn EngineSupply>, ScalingBounds)> {
        let supply = self.context.engine_supply.clone();
        let is_on = self.context.settings.policies.order_engines;
        supply.filter(|_| is_on).zip(self.scaling_bounds())
    }

    /// Records the load of the engines and orders a different count if one is needed.
    pub(super) fn scale_engines(&mut self) {
        if !self.set.controls_engine_count() {
            return;
        }
        let Some((supply, bounds)) = self.engine_supply() else {
            return;
        };
        // A subset of the directory would give a wrong count, and the baseline is stored for good.
        if !self.context.directory.borrow().covers_all {
            self.context.subset_demand.demand_all();
            return;
        }
        let now = self.supply.now();
        let zones = self.zones_now(&bounds);
        self.record_supply_load(now, &zones);
        let Some(baseline) = self.baseline() else {
            return;
        };
        if self.supply.planned.is_empty() && !self.supply.is_ordering {
            self.supply.planned = self.plan_supply(now, &zones, &bounds, baseline);
        }
        self.order_supply(supply);
    }

    fn record_supply_load(&mut self, now: Timestamp, zones: &ZoneLoads) {
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        let is_answering = self.context.table.is_answering();
        if !is_answering {
            self.supply.received.record_table_outage(now_ms);
        }
        let leases = self.context.leases.borrow().clone();
        let steps = self
            .supply
            .received
            .apply_view(&leases, &self.service, now_ms);
        let received = &self.supply.received;
        let works = received.bound_work(now_ms);
        let is_unreported = |header: &BatchHeader| {
            !received.covers(&header.allowed_regions, header.accepted_at.0, now_ms)
        };
        let is_complete = is_answering && !self.other_batches.any_active(now_ms, is_unreported);
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

    /// Returns the number of engines before any order, including those in evacuated zones. None
    /// until it has been read from the table.
    fn baseline(&mut self) -> Option<usize> {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| !engine.back_end.draining);
        let engines = engines.count();
        // Before the first batch, engines may still be starting.
        let is_in_use = engines > 0 && !self.supply.accepted_at.is_empty();
        match self.supply.baseline {
            EngineBaseline::Known(baseline) => return Some(baseline),
            EngineBaseline::Unknown(from) if is_in_use && BootInstant::now() >= from => {}
            EngineBaseline::Unknown(_) | EngineBaseline::BeingRead => return None,
        }
        self.supply.baseline = EngineBaseline::BeingRead;
        let (context, term) = (Arc::clone(&self.context), self.term.clone());
        let (service, sender) = (self.service.clone(), self.sender.clone());
        self.term.spawn("engine baseline", async move {
            let baseline = read_or_record_baseline(&context, &term, &service, engines).await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::BaselineRead(baseline));
        });
        None
    }

    pub(super) fn baseline_read(&mut self, baseline: Option<usize>) {
        let again_at = BootInstant::now() + BASELINE_RETRY_DELAY;
        self.supply.baseline =
            baseline.map_or(EngineBaseline::Unknown(again_at), EngineBaseline::Known);
    }

    fn plan_supply(
        &mut self,
        now: Timestamp,
        zones: &ZoneLoads,
        bounds: &ScalingBounds,
        baseline: usize,
    ) -> Vec<SupplyOrder> {
        let slots = self.engines.iter().map(|(_, engine)| engine.back_end.slots);
        let slots = slots.max().unwrap_or(1);
        let scaler = &mut self.supply.scaler;
        let shares = scaler.decide(now, zones, slots, bounds, baseline);
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

    /// Returns the available engines by zone and the slots that this owner's items use there.
    /// A zone without engines is included if it has a price. An evacuated zone is omitted: its
    /// engine count stays unchanged and the missing engines are ordered in other zones.
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

    /// Sends the planned orders within a committed order window.
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
        self.term.spawn("engine orders", async move {
            let outcome = task.run().await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::SupplyOrdersEnded(outcome));
        });
    }

    pub(super) fn supply_orders_ended(&mut self, outcome: SupplyOrdersOutcome) {
        self.supply.is_ordering = false;
        if outcome.fenced {
            self.term.ended.cancel();
        }
    }
}

/// Returns the number of engines before any order. If the row is missing, stores `engines` as
/// that number. None if the table does not answer or refuses the write.
async fn read_or_record_baseline(
    context: &NodeContext,
    term: &Term,
    service: &ServiceName,
    engines: usize,
) -> Option<usize> {
    let address = rows::engine_baseline(service);
    let row = read_row(&*context.table, &address).await.ok()?;
    if let Some(row) = row {
        let baseline: usize = serde_json::from_slice(&row.value).ok()?;
        return Some(baseline.min(bounded::MAX_COUNT));
    }
    let transaction = term.transaction().require(address.clone(), None);
    let transaction = transaction.put(address, engines.to_string());
    let commit = context.table.commit(&transaction).await.ok()?;
    matches!(commit, Commit::Done(_)).then_some(engines)
}

/// Sends orders one after the other.
struct SupplyTask {
    supply: Arc<dyn EngineSupply>,
    orders: Vec<SupplyOrder>,
    window: OrderWindow,
    owner: LeaseHolder,
}

impl SupplyTask {
    /// Sends orders while the window is open. The rest is dropped and planned again later.
    async fn run(self) -> SupplyOrdersOutcome {
        let mut fenced = false;
        for order in &self.orders {
            if !self.window.is_open() || fenced {
                break;
            }
            let answer = self.supply.order(order, &self.owner, ORDER_TIMEOUT).await;
            self.report(order, answer);
            fenced = answer == SupplyAnswer::Fenced;
        }
        SupplyOrdersOutcome { fenced }
    }

    fn report(&self, order: &SupplyOrder, answer: SupplyAnswer) {
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
