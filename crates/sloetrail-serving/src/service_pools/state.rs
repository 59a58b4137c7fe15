//! The state of the service pools and the queries on it.

use crate::back_end::BackEnd;
use crate::cold_budgets::ColdBudgets;
use crate::directory::Directory;
use crate::leases::RecordedSets;
use crate::loss_backoff::LossBackoff;
use crate::operator::InForce;
use crate::relay::peers::Peers;
use crate::settings::ColdTolerance;
use crate::slot_waiter::{ServiceSlotQueue, SlotWaiter};
use rand::rngs::StdRng;
use sloetrail_balance::{
    AttemptOutcome, Balancer, BalancerSettings, ColdBudget, ColdEngine, EngineReport,
    EngineRequirements, LatencyQuantile, ListedEngine, ReportedState, SendBound, WorkClass,
};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Timestamp, Topology, WeightVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How long a back end may be chosen without an update. Live requests must continue while the
/// directory table is down; the first attempt reveals a back end that is gone.
const VIEW_FRESHNESS: Duration = Duration::from_secs(600);

/// The back ends of each service, the requests waiting for slots and the other nodes.
pub(super) struct State {
    pub(super) node: String,
    pub(super) topology: Topology,
    pub(super) cold: ColdTolerance,
    /// The other nodes that share the request rate of cold back ends. None if this is the only
    /// node.
    pub(super) peers: Option<Arc<Peers>>,
    /// The names of all nodes at the last update of the pools.
    pub(super) senders: Vec<String>,
    pub(super) random: StdRng,
    pub(super) directory: Arc<Directory>,
    pub(super) in_force: Arc<InForce>,
    pub(super) recorded_sets: Arc<RecordedSets>,
    pub(super) balancers: HashMap<ServiceName, Balancer>,
    pub(super) slot_queues: HashMap<ServiceName, ServiceSlotQueue>,
    pub(super) answer_times: HashMap<ServiceName, LatencyQuantile>,
    pub(super) loss_backoffs: BTreeMap<EngineId, LossBackoff>,
}

impl State {
    pub(super) fn update_service(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        service: ServiceName,
        back_ends: &[&Arc<BackEnd>],
    ) {
        let max_slots = back_ends.iter().map(|back_end| back_end.slots).max();
        let concurrency = max_slots.unwrap_or(1).max(1);
        let cold_limits = ColdLimits::new(self, &service);
        let listed = back_ends.iter().map(|back_end| ListedEngine {
            leaving: back_end.draining,
            evacuated: self.in_force.evacuations.covers(&back_end.zone),
            cold: cold_limits.cold_engine(self, directory, back_end, now),
            ..ListedEngine::ready(back_end.id.clone(), back_end.zone.clone())
        });
        let listed: Vec<ListedEngine> = listed.collect();
        let balancer = self.balancers.entry(service).or_insert_with(|| {
            Balancer::new(BalancerSettings {
                node: self.node.clone(),
                topology: self.topology.clone(),
                view_freshness: VIEW_FRESHNESS,
                engine_concurrency: concurrency,
            })
        });
        balancer.set_engines(now, listed);
        let instant = BootInstant::now();
        for back_end in back_ends {
            let backoff = self.loss_backoffs.entry(back_end.id.clone()).or_default();
            if backoff.is_over(instant) {
                balancer.report(&back_end.id, listed_report(back_end, now));
            }
        }
        let backoffs = &mut self.loss_backoffs;
        backoffs.retain(|id, _| directory.back_ends.contains_key(id));
    }

    /// Makes back ends of a service available again once their backoff after a loss has ended.
    pub(super) fn readmit(&mut self, service: &ServiceName, now: Timestamp) {
        let instant = BootInstant::now();
        let Some(balancer) = self.balancers.get_mut(service) else {
            return;
        };
        for back_end in self.directory.of_service(service) {
            let backoff = self.loss_backoffs.get(&back_end.id);
            if backoff.is_some_and(|backoff| backoff.is_suspect() && backoff.is_over(instant)) {
                balancer.report(&back_end.id, listed_report(back_end, now));
            }
        }
    }

    /// The queue of requests that wait for a slot of a service.
    pub(super) fn slot_queue(&mut self, service: &ServiceName) -> &mut ServiceSlotQueue {
        if !self.slot_queues.contains_key(service) {
            self.slot_queues
                .insert(service.clone(), ServiceSlotQueue::default());
        }
        self.slot_queues.get_mut(service).expect("inserted above")
    }

    /// Returns false if another request is next in the queue for the free slots that this request
    /// could use, and wakes that request.
    pub(super) fn may_take_slot(
        &mut self,
        waiter: &SlotWaiter,
        excluded: &BTreeSet<EngineId>,
        now: Timestamp,
    ) -> bool {
        let service = waiter.service();
        let (balancer, queue) = (
            self.balancers.get(service),
            self.slot_queues.get_mut(service),
        );
        let (Some(balancer), Some(queue)) = (balancer, queue) else {
            return true;
        };
        let requirements = live_requirements(excluded, &waiter.request().regions);
        if queue.is_empty() || !balancer.has_free_slot(now, requirements) {
            return true;
        }
        let no_exclusions = BTreeSet::new();
        queue.check_turn(waiter, now, |regions| {
            balancer.has_free_slot(now, live_requirements(&no_exclusions, regions))
        })
    }

    pub(super) fn wake_first(&mut self, service: &ServiceName, now: Timestamp) {
        let (balancer, queue) = (
            self.balancers.get(service),
            self.slot_queues.get_mut(service),
        );
        let (Some(balancer), Some(queue)) = (balancer, queue) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        let no_exclusions = BTreeSet::new();
        queue.wake_first(now, |regions| {
            balancer.has_free_slot(now, live_requirements(&no_exclusions, regions))
        });
    }

    /// The number of waiting requests that precede this one because its tenant exceeds its share.
    pub(super) fn requests_ahead(&self, waiter: &SlotWaiter) -> usize {
        let queue = self.slot_queues.get(waiter.service());
        queue.map_or(0, |queue| queue.requests_ahead(waiter))
    }

    /// The names of all nodes, including this one once it is registered.
    pub(super) fn current_senders(&self) -> Vec<String> {
        let peers = self.peers.as_ref();
        peers.and_then(|peers| peers.names()).unwrap_or_default()
    }

    /// The bound for this node's live requests to a cold back end. Zero while this node isn't
    /// among the registered nodes, because the share of the others isn't known then.
    pub(super) fn live_bound(&self, budget: &ColdBudget, back_end: &EngineId) -> SendBound {
        if self.peers.is_some() && self.senders.is_empty() {
            return SendBound::NONE;
        }
        let senders = self.senders.iter().map(String::as_str);
        budget.live_bound(back_end.as_str(), &self.node, senders)
    }

    pub(super) fn record_outcome(&mut self, id: &EngineId, outcome: AttemptOutcome) {
        let backoff = self.loss_backoffs.entry(id.clone()).or_default();
        match outcome {
            AttemptOutcome::Lost => backoff.record_loss(BootInstant::now()),
            AttemptOutcome::Refused => backoff.record_refusal(BootInstant::now()),
            AttemptOutcome::Answered => backoff.record_success(),
            AttemptOutcome::Failed | AttemptOutcome::Abandoned => {}
        }
    }
}

/// The limits that protect cold back ends of a service from overload.
struct ColdLimits {
    /// How long a back end is cold after its start.
    cold_duration: Duration,
    /// None if cold back ends get as many requests as warm ones.
    budgets: Option<ColdBudgets>,
}

impl ColdLimits {
    /// The limits from the configuration in force.
    fn new(state: &State, service: &ServiceName) -> Self {
        let Some(configuration) = &state.in_force.configuration else {
            return Self {
                cold_duration: Duration::ZERO,
                budgets: None,
            };
        };
        Self {
            cold_duration: configuration.cold_bounds(service).cold_duration,
            budgets: state
                .cold
                .budgets(configuration, &state.recorded_sets, service),
        }
    }

    /// The limits of one back end; None if it is warm.
    fn cold_engine(
        &self,
        state: &State,
        directory: &Directory,
        back_end: &BackEnd,
        now: Timestamp,
    ) -> Option<ColdEngine> {
        let evacuations = &state.in_force.evacuations;
        let until = directory.cold_until(back_end, evacuations, self.cold_duration)?;
        let remaining = until.saturating_duration_since(BootInstant::now());
        let region = state.topology.region_of(&back_end.zone);
        let budget = self
            .budgets
            .as_ref()
            .map(|budgets| budgets.for_region(region));
        let bound = budget.map(|budget| state.live_bound(&budget, &back_end.id));
        Some(ColdEngine {
            until: now.after(remaining),
            bound,
        })
    }
}

pub(super) fn live_requirements<'a>(
    excluded: &'a BTreeSet<EngineId>,
    regions: &'a AllowedRegions,
) -> EngineRequirements<'a> {
    EngineRequirements {
        class: WorkClass::Live,
        excluded,
        regions,
    }
}

/// The report for a back end because it is listed.
fn listed_report(back_end: &BackEnd, now: Timestamp) -> EngineReport {
    EngineReport {
        observed_at: now,
        state: ReportedState::Serving,
        load: 0,
        capacity: back_end.slots as u32,
        version: WeightVersion(0),
    }
}
