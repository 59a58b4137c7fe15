//! The choice of a back end for a live request.

mod state;

use self::state::{State, live_demand};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::directory_interest::DirectoryInterest;
use crate::gateway::slot_wait::SlotWaitEstimate;
use crate::leases::LeasedSets;
use crate::operator::InForce;
use crate::relay::peers::Peers;
use crate::settings::ServingSettings;
use crate::slot_waiter::{ServiceSlotQueue, SlotWaiter};
use crate::slot_waiter::{ServiceSlotQueue, SlotWaiter};
use crate::zone_work::{RunningInZone, WorkKind, ZoneWork};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_balance::{AttemptOutcome, LatencyQuantile, WorkClass, WorkTenant};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, RowVersion, ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// How often it is looked whether other nodes have come or gone, among which what a cold
/// back end bears is dealt out. Their rows are read every five seconds.
const SENDERS_PERIOD: Duration = Duration::from_millis(500);

/// The back ends of every service, as this node sees them.
pub struct ServicePools {
    origin: BootInstant,
    zone_work: Arc<ZoneWork>,
    /// Told when none of the back ends that are held has a place.
    interest: Arc<DirectoryInterest>,
    state: Mutex<State>,
}

impl ServicePools {
    /// Pools of a node without back ends.
    pub(crate) fn new(
        settings: &ServingSettings,
        (peers, interest): (Option<Arc<Peers>>, Arc<DirectoryInterest>),
        zone_work: Arc<ZoneWork>,
        seed: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            origin: BootInstant::now(),
            zone_work,
            interest,
            state: Mutex::new(State {
                node: settings.node.clone(),
                topology: settings.topology.clone(),
                cold: settings.cold,
                peers,
                senders: Vec::new(),
                random: StdRng::seed_from_u64(seed),
                directory: Arc::default(),
                in_force: Arc::default(),
                leased_sets: Arc::default(),
                balancers: HashMap::new(),
                turns: HashMap::new(),
                answer_times: HashMap::new(),
                losses: BTreeMap::new(),
            }),
        })
    }

    /// Keeps the pools in step with the directory, with what is in force and with which
    /// nodes and owners there are.
    pub(crate) fn follow(
        self: &Arc<Self>,
        mut directory: watch::Receiver<Arc<Directory>>,
        mut in_force: watch::Receiver<Arc<InForce>>,
        mut leased_sets: watch::Receiver<Arc<LeasedSets>>,
    ) {
        let pools = Arc::downgrade(self);
        let mut look = tokio::time::interval(SENDERS_PERIOD);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tokio::spawn(async move {
            loop {
                let is_look = tokio::select! {
                    changed = directory.changed() => match changed {
                        Ok(()) => false,
                        Err(_) => return,
                    },
                    changed = in_force.changed() => match changed {
                        Ok(()) => false,
                        Err(_) => return,
                    },
                    changed = leased_sets.changed() => match changed {
                        Ok(()) => false,
                        Err(_) => return,
                    },
                    _ = look.tick() => true,
                };
                let Some(pools) = pools.upgrade() else {
                    return;
                };
                if is_look && !pools.have_senders_changed() {
                    continue;
                }
                let listed = directory.borrow_and_update().clone();
                let leased = leased_sets.borrow_and_update().clone();
                pools.take(listed, in_force.borrow_and_update().clone(), leased);
            }
        });
    }

    fn have_senders_changed(&self) -> bool {
        let state = self.state.lock().expect("not poisoned");
        state.senders != state.current_senders()
    }

    /// Takes in the directory, what is in force and which owners there are. Being listed
    /// counts as news of a back end, except of one that is left alone after a loss.
    fn take(
        &self,
        directory: Arc<Directory>,
        in_force: Arc<InForce>,
        leased_sets: Arc<LeasedSets>,
    ) {
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.in_force = in_force;
        state.leased_sets = leased_sets;
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
            state.take_service(now, &directory, service, &back_ends);
        }
        state.directory = directory;
    }

    /// When a request may have a place at a back end in its allowed regions; nothing if none
    /// takes work there.
    pub(crate) fn place_outlook(&self, seeker: &SlotWaiter) -> Option<SlotWaitEstimate> {
        let (service, regions) = (seeker.service(), &seeker.request().regions);
        let now = self.now();
        let state = self.state.lock().expect("not poisoned");
        let balancer = state.balancers.get(service)?;
        if !balancer.may_serve(now, regions) {
            return None;
        }
        let instant = BootInstant::now();
        let pauses = state.directory.of_service(service).filter_map(|back_end| {
            let takes_work =
                !back_end.draining && !state.in_force.evacuations.covers(&back_end.zone);
            let is_allowed = state.topology.allows(regions, &back_end.zone);
            let losses = state.losses.get(&back_end.id);
            let pause = losses.and_then(|losses| losses.remaining(instant));
            (takes_work && is_allowed).then_some(pause.unwrap_or_default())
        });
        let soonest = pauses.min().unwrap_or_default();
        Some(SlotWaitEstimate {
            backoff_remaining: (!soonest.is_zero()).then_some(soonest),
            answer_time: state
                .answer_times
                .get(service)
                .map(LatencyQuantile::estimate),
            running: balancer.in_flight(),
            requests_ahead: state.requests_ahead(seeker),
        })
    }

    /// How many requests this node may have at a time at the back ends of a service in the
    /// allowed regions, beside what is kept for callers' requests. Those that are left alone
    /// after a loss or a refusal do not count.
    pub(crate) fn places_beside_callers(
        &self,
        service: &ServiceName,
        regions: &AllowedRegions,
    ) -> usize {
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.readmit(service, now);
        let balancer = state.balancers.get(service);
        balancer.map_or(0, |balancer| {
            balancer.slots(now, regions, WorkClass::Sample)
        })
    }

    /// Chooses a back end that has room, lies in one of the allowed regions and is not
    /// excluded, unless it is another one's turn.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        seeker: &SlotWaiter,
        excluded: &BTreeSet<EngineId>,
    ) -> Option<Place> {
        let (service, tenant) = (seeker.service(), &seeker.request().tenant);
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.readmit(service, now);
        if !state.check_turn(seeker, excluded, now) {
            return None;
        }
        let State {
            random,
            directory,
            balancers,
            ..
        } = &mut *state;
        let balancer = balancers.get_mut(service)?;
        let regions = &seeker.request().regions;
        let chosen = balancer.choose(now, random, live_demand(excluded, regions));
        let Some(id) = chosen else {
            self.interest.want_more();
            return None;
        };
        let back_end = directory.back_ends.get(&id).cloned();
        let Some(back_end) = back_end else {
            balancer.finish(now, &id, AttemptOutcome::Abandoned);
            return None;
        };
        let directory_version = directory.version;
        state.turns(service).record_start(seeker);
        Some(Place {
            _running: self.zone_work.begin(&back_end.zone, WorkKind::Live),
            pools: Arc::clone(self),
            back_end,
            tenant: tenant.clone(),
            directory_version,
            ended: false,
        })
    }

    /// Works on the queue of those that wait for a place at a service.
    pub(crate) fn with_turns<Outcome>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut ServiceSlotQueue) -> Outcome,
    ) -> Outcome {
        let mut state = self.state.lock().expect("not poisoned");
        work(state.turns(service))
    }

    /// A request ended without ever having had a place. One that no back end may serve says
    /// nothing of how the places that there are were shared out.
    pub(crate) fn note_missed(&self, seeker: &SlotWaiter) {
        let (service, regions) = (seeker.service(), &seeker.request().regions);
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        let balancer = state.balancers.get(service);
        if balancer.is_some_and(|balancer| balancer.may_serve(now, regions)) {
            state.turns(service).record_unserved(seeker);
        }
    }

    /// Offers a place of a service, if there is one, to the first that waits and may use it.
    pub(crate) fn wake_first(&self, service: &ServiceName) {
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.wake_first(service, now);
    }

    /// A back end of a service has answered after this time.
    pub(crate) fn note_answer(&self, service: &ServiceName, took: Duration) {
        let mut state = self.state.lock().expect("not poisoned");
        state
            .answer_times
            .entry(service.clone())
            .or_default()
            .record(took);
    }

    /// The time within which nine of ten answers of a service come to this node.
    pub(crate) fn answer_time(&self, service: &ServiceName) -> Duration {
        let state = self.state.lock().expect("not poisoned");
        let known = state.answer_times.get(service);
        known.map(LatencyQuantile::estimate).unwrap_or_default()
    }

    fn finish(&self, back_end: &BackEnd, tenant: &WorkTenant, outcome: AttemptOutcome) {
        let now = self.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.note_outcome(&back_end.id, outcome);
        if let Some(balancer) = state.balancers.get_mut(&back_end.service) {
            balancer.finish(now, &back_end.id, outcome);
        }
        state.turns(&back_end.service).record_end(tenant);
        state.wake_first(&back_end.service, now);
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64)
    }
}

/// A place on a back end. Dropping it without an outcome says nothing of the back end.
pub struct Place {
    pools: Arc<ServicePools>,
    back_end: Arc<BackEnd>,
    /// Whose request it was taken for.
    tenant: WorkTenant,
    directory_version: RowVersion,
    ended: bool,
    _running: RunningInZone,
}

impl Place {
    /// The back end.
    pub fn back_end(&self) -> &BackEnd {
        &self.back_end
    }

    /// The back end, to be kept.
    pub(crate) fn shared_back_end(&self) -> &Arc<BackEnd> {
        &self.back_end
    }

    /// The version of the directory that named it.
    pub fn directory_version(&self) -> RowVersion {
        self.directory_version
    }

    /// Ends the request there.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.ended = true;
        self.pools.finish(&self.back_end, &self.tenant, outcome);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = AttemptOutcome::Abandoned;
            self.pools.finish(&self.back_end, &self.tenant, outcome);
        }
    }
}
