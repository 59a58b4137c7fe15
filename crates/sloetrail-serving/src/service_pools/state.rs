//! What the pools of a node know, and what of it a choice depends on.

use crate::back_end::BackEnd;
use crate::cold_budgets::ColdBudgets;
use crate::directory::Directory;
use crate::leases::LeasedSets;
use crate::loss_backoff::LossBackoff;
use crate::operator::InForce;
use crate::relay::peers::Peers;
use crate::settings::ColdTolerance;
use crate::slot_waiter::{ServiceSlotQueue, SlotWaiter};
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

/// How long a back end may be chosen without news of it. The directory is silent
/// while the table is down, which must not stop live requests; a back end that is
/// gone is found out by the first attempt.
const VIEW_FRESHNESS: Duration = Duration::from_secs(600);

/// What a node knows of the back ends of every service, of those that wait for places and
/// of the other nodes.
pub(super) struct State {
    pub(super) node: String,
    pub(super) topology: Topology,
    pub(super) cold: ColdTolerance,
    /// The other nodes, among which what a cold back end bears is dealt out. Without them
    /// this node counts as the only one.
    pub(super) peers: Option<Arc<Peers>>,
    /// The names of all nodes when the pools were last brought up to date.
    pub(super) senders: Vec<String>,
    pub(super) random: StdRng,
    pub(super) directory: Arc<Directory>,
    pub(super) in_force: Arc<InForce>,
    pub(super) leased_sets: Arc<LeasedSets>,
    pub(super) balancers: HashMap<ServiceName, Balancer>,
    pub(super) turns: HashMap<ServiceName, ServiceSlotQueue>,
    pub(super) answer_times: HashMap<ServiceName, LatencyQuantile>,
    pub(super) losses: BTreeMap<EngineId, LossBackoff>,
}

impl State {
    pub(super) fn take_service(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        service: ServiceName,
        back_ends: &[&Arc<BackEnd>],
    ) {
        let most_slots = back_ends.iter().map(|back_end| back_end.slots).max();
        let concurrency = most_slots.unwrap_or(1).max(1);
        let spared = Spared::new(self, &service);
        let listed = back_ends.iter().map(|back_end| ListedEngine {
            leaving: back_end.draining,
            evacuated: self.in_force.evacuations.covers(&back_end.zone),
            cold: spared.cold(self, directory, back_end, now),
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
            let losses = self.losses.entry(back_end.id.clone()).or_default();
            if losses.is_over(instant) {
                balancer.report(&back_end.id, listed_report(back_end, now));
            }
        }
        let losses = &mut self.losses;
        losses.retain(|id, _| directory.back_ends.contains_key(id));
    }

    /// Lets the back ends of a service be tried again whose pause after a loss is over.
    pub(super) fn readmit(&mut self, service: &ServiceName, now: Timestamp) {
        let instant = BootInstant::now();
        let Some(balancer) = self.balancers.get_mut(service) else {
            return;
        };
        for back_end in self.directory.of_service(service) {
            let losses = self.losses.get(&back_end.id);
            if losses.is_some_and(|losses| losses.is_suspect() && losses.is_over(instant)) {
                balancer.report(&back_end.id, listed_report(back_end, now));
            }
        }
    }

    /// The queue of those that wait for a place at a service.
    pub(super) fn turns(&mut self, service: &ServiceName) -> &mut ServiceSlotQueue {
        if !self.turns.contains_key(service) {
            self.turns
                .insert(service.clone(), ServiceSlotQueue::default());
        }
        self.turns.get_mut(service).expect("it was inserted")
    }

    /// False if a place that this request could have is another one's, which is told so.
    pub(super) fn check_turn(
        &mut self,
        seeker: &SlotWaiter,
        excluded: &BTreeSet<EngineId>,
        now: Timestamp,
    ) -> bool {
        let service = seeker.service();
        let (balancer, turns) = (self.balancers.get(service), self.turns.get_mut(service));
        let (Some(balancer), Some(turns)) = (balancer, turns) else {
            return true;
        };
        let demand = live_demand(excluded, &seeker.request().regions);
        if turns.is_empty() || !balancer.has_free_slot(now, demand) {
            return true;
        }
        let nothing = BTreeSet::new();
        turns.check_turn(seeker, now, |regions| {
            balancer.has_free_slot(now, live_demand(&nothing, regions))
        })
    }

    pub(super) fn wake_first(&mut self, service: &ServiceName, now: Timestamp) {
        let (balancer, turns) = (self.balancers.get(service), self.turns.get_mut(service));
        let (Some(balancer), Some(turns)) = (balancer, turns) else {
            return;
        };
        if turns.is_empty() {
            return;
        }
        let nothing = BTreeSet::new();
        turns.wake_first(now, |regions| {
            balancer.has_free_slot(now, live_demand(&nothing, regions))
        });
    }

    pub(super) fn requests_ahead(&self, seeker: &SlotWaiter) -> usize {
        let turns = self.turns.get(seeker.service());
        turns.map_or(0, |turns| turns.requests_ahead(seeker))
    }

    /// The names of all nodes, this one included once it has registered.
    pub(super) fn current_senders(&self) -> Vec<String> {
        let peers = self.peers.as_ref();
        peers.and_then(|peers| peers.names()).unwrap_or_default()
    }

    /// What this node's live requests may send to a cold back end: nothing while the nodes'
    /// rows that were read do not name this one, for the others' part is not known then.
    pub(super) fn live_bound(&self, budget: &ColdBudget, back_end: &EngineId) -> SendBound {
        if self.peers.is_some() && self.senders.is_empty() {
            return SendBound::NONE;
        }
        let senders = self.senders.iter().map(String::as_str);
        budget.live_bound(back_end.as_str(), &self.node, senders)
    }

    pub(super) fn note_outcome(&mut self, id: &EngineId, outcome: AttemptOutcome) {
        let losses = self.losses.entry(id.clone()).or_default();
        match outcome {
            AttemptOutcome::Lost => losses.record_loss(BootInstant::now()),
            AttemptOutcome::Refused => losses.record_refusal(BootInstant::now()),
            AttemptOutcome::Answered => losses.record_success(),
            AttemptOutcome::Failed | AttemptOutcome::Abandoned => {}
        }
    }
}

/// How the cold back ends of a service are spared.
struct Spared {
    /// How long one is cold after it started.
    cold_duration: Duration,
    /// What cold ones may get; nothing means as much as warm ones.
    budgets: Option<ColdBudgets>,
}

impl Spared {
    /// What is in force for a service.
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
                .budgets(configuration, &state.leased_sets, service),
        }
    }

    /// How a back end is to be spared; nothing if it is warm.
    fn cold(
        &self,
        state: &State,
        directory: &Directory,
        back_end: &BackEnd,
        now: Timestamp,
    ) -> Option<ColdEngine> {
        let evacuations = &state.in_force.evacuations;
        let until = directory.cold_until(back_end, evacuations, self.cold_duration)?;
        let left = until.saturating_duration_since(BootInstant::now());
        let region = state.topology.region_of(&back_end.zone);
        let budget = self
            .budgets
            .as_ref()
            .map(|budgets| budgets.of_region(region));
        let bound = budget.map(|budget| state.live_bound(&budget, &back_end.id));
        Some(ColdEngine {
            until: now.after(left),
            bound,
        })
    }
}

/// What a live request asks of a back end.
pub(super) fn live_demand<'a>(
    excluded: &'a BTreeSet<EngineId>,
    regions: &'a AllowedRegions,
) -> EngineRequirements<'a> {
    EngineRequirements {
        class: WorkClass::Live,
        excluded,
        regions,
    }
}

/// The news that a back end is listed.
fn listed_report(back_end: &BackEnd, now: Timestamp) -> EngineReport {
    EngineReport {
        observed_at: now,
        state: ReportedState::Serving,
        load: 0,
        capacity: back_end.slots as u32,
        version: WeightVersion(0),
    }
}
