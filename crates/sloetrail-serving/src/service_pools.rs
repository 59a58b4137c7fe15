//! Selects back ends for live requests.

mod state;

use self::state::{State, live_requirements};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::gateway::slot_wait::SlotWaitEstimate;
use crate::leases::RecordedSets;
use crate::operator::InForce;
use crate::relay::peers::Peers;
use crate::settings::ServingSettings;
use crate::slot_waiter::{ServiceSlotQueue, SlotWaiter};
use crate::subset_demand::SubsetDemand;
use crate::tasks;
use crate::zone_work::{WorkKind, ZoneWork, ZoneWorkGuard};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_balance::{AttemptOutcome, LatencyQuantile, WorkClass, WorkTenant};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, RowVersion, ServiceName, Timestamp, whole_millis};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// How often the set of nodes is checked for changes. The request rate that a cold back end can
/// bear is divided among them.
const SENDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The back ends of each service as known to this node.
pub struct ServicePools {
    origin: BootInstant,
    zone_work: Arc<ZoneWork>,
    /// Raised when none of the known back ends has a free slot.
    subset_demand: Arc<SubsetDemand>,
    state: Mutex<State>,
}

/// What the pools follow.
struct PoolChanges {
    directory: watch::Receiver<Arc<Directory>>,
    in_force: watch::Receiver<Arc<InForce>>,
    recorded_sets: watch::Receiver<Arc<RecordedSets>>,
}

impl PoolChanges {
    /// Applies changes until the pools or a sender are gone.
    async fn apply_to(mut self, pools: Weak<ServicePools>) {
        let mut sender_check = tokio::time::interval(SENDER_CHECK_INTERVAL);
        sender_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let (changed, is_sender_check) = tokio::select! {
                changed = self.directory.changed() => (changed, false),
                changed = self.in_force.changed() => (changed, false),
                changed = self.recorded_sets.changed() => (changed, false),
                _ = sender_check.tick() => (Ok(()), true),
            };
            let (Ok(()), Some(pools)) = (changed, pools.upgrade()) else {
                return;
            };
            if is_sender_check && !pools.have_senders_changed() {
                continue;
            }
            let listed = self.directory.borrow_and_update().clone();
            let in_force = self.in_force.borrow_and_update().clone();
            let recorded = self.recorded_sets.borrow_and_update().clone();
            pools.update(listed, in_force, recorded);
        }
    }
}

impl ServicePools {
    /// Pools without back ends.
    pub(crate) fn new(
        settings: &ServingSettings,
        (peers, subset_demand): (Option<Arc<Peers>>, Arc<SubsetDemand>),
        zone_work: Arc<ZoneWork>,
        seed: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            origin: BootInstant::now(),
            zone_work,
            subset_demand,
            state: Mutex::new(State {
                node: settings.node.clone(),
                topology: settings.topology.clone(),
                cold: settings.cold,
                peers,
                senders: Vec::new(),
                random: StdRng::seed_from_u64(seed),
                directory: Arc::default(),
                in_force: Arc::default(),
                recorded_sets: Arc::default(),
                balancers: HashMap::new(),
                slot_queues: HashMap::new(),
                answer_times: HashMap::new(),
                loss_backoffs: BTreeMap::new(),
            }),
        })
    }

    /// Spawns a task that updates the pools with the directory, the operator's state, the owners
    /// and the set of nodes.
    pub(crate) fn follow(
        self: &Arc<Self>,
        directory: watch::Receiver<Arc<Directory>>,
        in_force: watch::Receiver<Arc<InForce>>,
        recorded_sets: watch::Receiver<Arc<RecordedSets>>,
    ) {
        let pools = Arc::downgrade(self);
        tasks::spawn_part("service pools", move || {
            let changes = PoolChanges {
                directory: directory.clone(),
                in_force: in_force.clone(),
                recorded_sets: recorded_sets.clone(),
            };
            changes.apply_to(Weak::clone(&pools))
        });
    }

    fn have_senders_changed(&self) -> bool {
        let state = self.state.lock();
        state.senders != state.current_senders()
    }

    /// Applies the directory, the operator's state and the owners. A listed back end counts as
    /// serving unless it is backed off after a loss.
    fn update(
        &self,
        directory: Arc<Directory>,
        in_force: Arc<InForce>,
        recorded_sets: Arc<RecordedSets>,
    ) {
        let now = self.now();
        let mut state = self.state.lock();
        state.in_force = in_force;
        state.recorded_sets = recorded_sets;
        state.senders = state.current_senders();
        let mut listed: HashMap<ServiceName, Vec<&Arc<BackEnd>>> = HashMap::new();
        for back_end in directory.back_ends.values() {
            listed
                .entry(back_end.service.clone())
                .or_default()
                .push(back_end);
        }
        let known: Vec<ServiceName> = state.balancers.keys().cloned().collect();
        for service in known {
            listed.entry(service).or_default();
        }
        for (service, back_ends) in listed {
            state.update_service(now, &directory, service, &back_ends);
        }
        state.directory = directory;
    }

    /// Estimates the wait for a slot at a back end in the request's allowed regions; None if none
    /// accepts work there.
    pub(crate) fn slot_wait_estimate(&self, waiter: &SlotWaiter) -> Option<SlotWaitEstimate> {
        let (service, regions) = (waiter.service(), &waiter.request().regions);
        let now = self.now();
        let state = self.state.lock();
        let balancer = state.balancers.get(service)?;
        if !balancer.may_serve(now, regions) {
            return None;
        }
        let instant = BootInstant::now();
        let backoffs = state.directory.of_service(service).filter_map(|back_end| {
            let takes_work =
                !back_end.draining && !state.in_force.evacuations.covers(&back_end.zone);
            let is_allowed = state.topology.allows(regions, &back_end.zone);
            let loss_backoff = state.loss_backoffs.get(&back_end.id);
            let backoff = loss_backoff.and_then(|loss_backoff| loss_backoff.remaining(instant));
            (takes_work && is_allowed).then_some(backoff.unwrap_or_default())
        });
        let shortest = backoffs.min().unwrap_or_default();
        Some(SlotWaitEstimate {
            backoff_remaining: (!shortest.is_zero()).then_some(shortest),
            answer_time: state
                .answer_times
                .get(service)
                .map(LatencyQuantile::estimate),
            running: balancer.in_flight(),
            requests_ahead: state.requests_ahead(waiter),
        })
    }

    /// The number of slots that this node may use for samples at the back ends of a service in the
    /// allowed regions, without those reserved for live requests. Back ends that are backed off
    /// after a loss or a refusal don't count.
    pub(crate) fn sample_slots(&self, service: &ServiceName, regions: &AllowedRegions) -> usize {
        let now = self.now();
        let mut state = self.state.lock();
        state.readmit(service, now);
        let balancer = state.balancers.get(service);
        balancer.map_or(0, |balancer| {
            balancer.slots(now, regions, WorkClass::Sample)
        })
    }

    /// Takes a slot at a back end in the allowed regions that isn't excluded. Returns None if no
    /// slot is free or if another request is next in the queue.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        waiter: &SlotWaiter,
        excluded: &BTreeSet<EngineId>,
    ) -> Option<SlotPermit> {
        let (service, tenant) = (waiter.service(), &waiter.request().tenant);
        let now = self.now();
        let mut state = self.state.lock();
        state.readmit(service, now);
        if !state.may_take_slot(waiter, excluded, now) {
            return None;
        }
        let State {
            random,
            directory,
            balancers,
            ..
        } = &mut *state;
        let balancer = balancers.get_mut(service)?;
        let regions = &waiter.request().regions;
        let chosen = balancer.choose(now, random, live_requirements(excluded, regions));
        let Some(id) = chosen else {
            self.subset_demand.demand_more();
            return None;
        };
        let back_end = directory.back_ends.get(&id).cloned();
        let Some(back_end) = back_end else {
            balancer.finish(now, &id, AttemptOutcome::Abandoned);
            return None;
        };
        let directory_version = directory.version;
        state.slot_queue(service).record_start(waiter);
        Some(SlotPermit {
            _running: self.zone_work.begin(&back_end.zone, WorkKind::Live),
            pools: Arc::clone(self),
            back_end,
            tenant: tenant.clone(),
            directory_version,
            is_ended: false,
        })
    }

    /// Runs `work` on the slot queue of a service.
    pub(crate) fn with_slot_queue<Outcome>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut ServiceSlotQueue) -> Outcome,
    ) -> Outcome {
        let mut state = self.state.lock();
        work(state.slot_queue(service))
    }

    /// Records a request that ended without ever having had a slot, for the fairness of the queue.
    /// Requests that no back end may serve don't count.
    pub(crate) fn record_unserved(&self, waiter: &SlotWaiter) {
        let (service, regions) = (waiter.service(), &waiter.request().regions);
        let now = self.now();
        let mut state = self.state.lock();
        let balancer = state.balancers.get(service);
        if balancer.is_some_and(|balancer| balancer.may_serve(now, regions)) {
            state.slot_queue(service).record_unserved(waiter);
        }
    }

    /// Offers a free slot of a service, if any, to the first waiting request that may use it.
    pub(crate) fn wake_first(&self, service: &ServiceName) {
        let now = self.now();
        let mut state = self.state.lock();
        state.wake_first(service, now);
    }

    /// Records the answer time of a back end of a service.
    pub(crate) fn record_answer_time(&self, service: &ServiceName, took: Duration) {
        let mut state = self.state.lock();
        state
            .answer_times
            .entry(service.clone())
            .or_default()
            .record(took);
    }

    /// The 90th percentile of the answer times of a service; zero if unknown.
    pub(crate) fn answer_time(&self, service: &ServiceName) -> Duration {
        let state = self.state.lock();
        let known = state.answer_times.get(service);
        known.map(LatencyQuantile::estimate).unwrap_or_default()
    }

    fn finish(&self, back_end: &BackEnd, tenant: &WorkTenant, outcome: AttemptOutcome) {
        let now = self.now();
        let mut state = self.state.lock();
        state.record_outcome(&back_end.id, outcome);
        if let Some(balancer) = state.balancers.get_mut(&back_end.service) {
            balancer.finish(now, &back_end.id, outcome);
        }
        state.slot_queue(&back_end.service).record_end(tenant);
        state.wake_first(&back_end.service, now);
    }

    fn now(&self) -> Timestamp {
        Timestamp(whole_millis(self.origin.elapsed()))
    }
}

/// A permit for one slot at a back end. Dropping it without an outcome counts as an abandoned
/// request and doesn't affect the rating of the back end.
pub struct SlotPermit {
    pools: Arc<ServicePools>,
    back_end: Arc<BackEnd>,
    tenant: WorkTenant,
    directory_version: RowVersion,
    is_ended: bool,
    _running: ZoneWorkGuard,
}

impl SlotPermit {
    pub fn back_end(&self) -> &BackEnd {
        &self.back_end
    }

    /// The back end as a shared reference that the caller can retain.
    pub(crate) fn shared_back_end(&self) -> &Arc<BackEnd> {
        &self.back_end
    }

    /// The version of the directory that listed the back end.
    pub fn directory_version(&self) -> RowVersion {
        self.directory_version
    }

    /// Releases the slot and records the outcome of the request.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.is_ended = true;
        self.pools.finish(&self.back_end, &self.tenant, outcome);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_ended {
            let outcome = AttemptOutcome::Abandoned;
            self.pools.finish(&self.back_end, &self.tenant, outcome);
        }
    }
}
