//! One service's engines and queue on this node.

use super::throughput::Throughput;
use crate::clock::Clock;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_balance::{
    AttemptOutcome, Balancer, BalancerSettings, EngineReport, EngineRequirements, ListedEngine,
    RetryBudget, WorkClass,
};
use sloetrail_config::{NodeSettings, Service};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Topology, WeightVersion, digest};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

const RECHECK_PERIOD: Duration = Duration::from_millis(50);

struct Choice {
    balancer: Balancer,
    random: StdRng,
}

/// A service's engines, queue and retry budget, as one node sees them.
pub(crate) struct ServicePool {
    clock: Clock,
    service: RwLock<Arc<Service>>,
    choice: Mutex<Choice>,
    retries: Mutex<RetryBudget>,
    throughput: Mutex<Throughput>,
    waiting: AtomicUsize,
    /// Held by the first request of the queue; it is given on in order of arrival.
    turn: tokio::sync::Mutex<()>,
    freed: Notify,
}

impl ServicePool {
    pub(crate) fn new(service: &Service, settings: &NodeSettings, clock: Clock) -> Self {
        let balancer = Balancer::new(BalancerSettings {
            node: settings.node.to_string(),
            topology: Topology::of_zone(settings.zone.clone()),
            view_freshness: settings.bounds.engine_view_freshness,
            engine_concurrency: service.engine_concurrency,
        });
        let seed = digest(format!("{}/{}", settings.node, service.name).as_bytes());
        Self {
            clock,
            service: RwLock::new(Arc::new(service.clone())),
            choice: Mutex::new(Choice {
                balancer,
                random: StdRng::seed_from_u64(seed),
            }),
            retries: Mutex::new(RetryBudget::new(service.retry_budget_percent)),
            throughput: Mutex::default(),
            waiting: AtomicUsize::new(0),
            turn: tokio::sync::Mutex::new(()),
            freed: Notify::new(),
        }
    }

    pub(crate) fn service(&self) -> Arc<Service> {
        self.service.read().expect("not poisoned").clone()
    }

    pub(crate) fn name(&self) -> ServiceName {
        self.service().name.clone()
    }

    pub(crate) fn configure(&self, service: &Service) {
        if *self.service() == *service {
            return;
        }
        *self.service.write().expect("not poisoned") = Arc::new(service.clone());
        self.choice()
            .balancer
            .set_engine_concurrency(service.engine_concurrency);
        self.retries().set_percent(service.retry_budget_percent);
    }

    pub(crate) fn set_engines(&self, listed: Vec<ListedEngine>) {
        let now = self.clock.now();
        self.choice().balancer.set_engines(now, listed);
        self.freed.notify_waiters();
    }

    pub(crate) fn report(&self, engine: &EngineId, report: EngineReport) {
        self.choice().balancer.report(engine, report);
        self.freed.notify_one();
    }

    /// Notes that an engine was heard from, with the weights that it used.
    pub(crate) fn confirm(&self, engine: &EngineId, version: WeightVersion) {
        let now = self.clock.now();
        self.choice().balancer.confirm(engine, now, version);
    }

    /// True if there was no news of an engine within `age`.
    pub(crate) fn is_unconfirmed(&self, engine: &EngineId, age: Duration) -> bool {
        let now = self.clock.now();
        self.choice().balancer.is_unconfirmed(engine, now, age)
    }

    /// The weights that an engine uses, as last reported.
    pub(crate) fn version_of(&self, engine: &EngineId) -> WeightVersion {
        self.choice().balancer.version_of(engine)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.choice().balancer.in_flight()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    pub(crate) fn available(&self) -> usize {
        self.choice().balancer.available_engines(self.clock.now())
    }

    pub(crate) fn earn_retry(&self) {
        self.retries().deposit();
    }

    pub(crate) fn take_retry(&self) -> bool {
        self.retries().withdraw()
    }

    /// A place on an engine at once, or none.
    pub(crate) fn try_acquire(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &BTreeSet<EngineId>,
    ) -> Option<Slot> {
        let now = self.clock.now();
        let mut choice = self.choice();
        let Choice { balancer, random } = &mut *choice;
        let demand = EngineRequirements {
            class,
            excluded,
            regions: &AllowedRegions::everywhere(),
        };
        let engine = balancer.choose(now, random, demand)?;
        drop(choice);
        Some(Slot {
            pool: Arc::clone(self),
            engine,
            started: Instant::now(),
            ended: false,
        })
    }

    /// A place on an engine, waiting in the queue until the deadline. It refuses
    /// at once when the wait would be in vain.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &BTreeSet<EngineId>,
        deadline: Instant,
    ) -> Result<Slot, Problem> {
        let queue_is_empty = self.waiting() == 0;
        if queue_is_empty && let Some(slot) = self.try_acquire(class, excluded) {
            return Ok(slot);
        }
        let _place = self.enter_queue(deadline)?;
        let Ok(_turn) = tokio::time::timeout_at(deadline, self.turn.lock()).await else {
            return Err(self.out_of_time());
        };
        loop {
            if self.expected_time(0) > deadline.saturating_duration_since(Instant::now()) {
                return Err(self.out_of_time());
            }
            if let Some(slot) = self.try_acquire(class, excluded) {
                return Ok(slot);
            }
            if self.available() == 0 {
                let detail = format!("service {} has no engine that may be chosen", self.name());
                return Err(Problem::new(ResultCode::NoEngine, detail));
            }
            let recheck = deadline.min(Instant::now() + RECHECK_PERIOD);
            let freed = self.freed.notified();
            // Whether woken or not, the first of the queue looks again.
            let _ = tokio::time::timeout_at(recheck, freed).await;
        }
    }

    fn enter_queue(&self, deadline: Instant) -> Result<QueuePlace<'_>, Problem> {
        let waiting = self.waiting.fetch_add(1, Ordering::SeqCst);
        let place = QueuePlace { pool: self };
        let limit = self.service().queue_limit;
        if waiting >= limit {
            let detail = format!("{limit} requests are waiting");
            return Err(Problem::new(ResultCode::QueueFull, detail));
        }
        if Instant::now() + self.expected_time(waiting) >= deadline {
            return Err(self.out_of_time());
        }
        Ok(place)
    }

    fn expected_time(&self, waiting: usize) -> Duration {
        let throughput = self.throughput.lock().expect("not poisoned");
        throughput.expected_time(waiting)
    }

    /// The answer to a request that would not be answered before its deadline.
    fn out_of_time(&self) -> Problem {
        let detail = format!("{} requests are waiting", self.waiting());
        Problem::new(ResultCode::QueueDeadline, detail)
    }

    fn choice(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().expect("not poisoned")
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().expect("not poisoned")
    }

    fn end(&self, engine: &EngineId, started: Instant, outcome: AttemptOutcome) {
        let now = self.clock.now();
        self.choice().balancer.finish(now, engine, outcome);
        if outcome == AttemptOutcome::Answered {
            let mut throughput = self.throughput.lock().expect("not poisoned");
            throughput.finished(started.into_std(), Instant::now().into_std());
        }
        self.freed.notify_one();
    }
}

struct QueuePlace<'a> {
    pool: &'a ServicePool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.pool.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A place on an engine. Dropping it without an outcome says nothing of the engine.
pub(crate) struct Slot {
    pool: Arc<ServicePool>,
    engine: EngineId,
    started: Instant,
    ended: bool,
}

impl Slot {
    pub(crate) fn engine(&self) -> &EngineId {
        &self.engine
    }

    pub(crate) fn end(mut self, outcome: AttemptOutcome) {
        self.ended = true;
        self.pool.end(&self.engine, self.started, outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            let abandoned = AttemptOutcome::Abandoned;
            self.pool.end(&self.engine, self.started, abandoned);
        }
    }
}
