//! A fake back end that runs items and live requests and records what it received.

mod connection;
mod fault;
mod orders;
mod records;
mod series;

pub use fault::{EndlessBody, EngineFault, SpoiltNumber};
pub use records::{EventRecord, OrderRecord, RunRecord};

use crate::wire::{EngineWire, Listing, ReadOrder};
use bytes::Bytes;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Slots that a back end lists.
const SLOTS: usize = 8;
/// How long loading a version takes: long enough for a test to observe it in progress.
const LOAD_TIME: Duration = Duration::from_millis(80);

/// Start times of back ends are above this Unix time in milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

struct State {
    versions: BTreeMap<String, u64>,
    busy: bool,
    orders_taken: u64,
    fault: EngineFault,
    fault_count: Option<usize>,
    event_interval: Duration,
    runs: Vec<RunRecord>,
    events: BTreeSet<EventRecord>,
    orders: Vec<OrderRecord>,
    late_orders: Vec<ReadOrder>,
    draining: bool,
    listed_address: SocketAddr,
    /// Start and length of each cold period.
    cold_periods: Vec<(Instant, Duration)>,
    arrivals: Vec<Instant>,
    resets: CancellationToken,
    /// A request with this body crashes the back end.
    crash_body: Option<Bytes>,
    software: String,
}

impl State {
    fn new(address: SocketAddr, models: &[&str], event_interval: Duration) -> Self {
        let at_version_one = |model: &&str| ((*model).to_owned(), 1);
        Self {
            versions: models.iter().map(at_version_one).collect(),
            busy: false,
            orders_taken: 0,
            fault: EngineFault::None,
            fault_count: None,
            event_interval,
            runs: Vec::new(),
            events: BTreeSet::new(),
            orders: Vec::new(),
            late_orders: Vec::new(),
            draining: false,
            listed_address: address,
            cold_periods: Vec::new(),
            arrivals: Vec::new(),
            resets: CancellationToken::new(),
            crash_body: None,
            software: "v1".to_owned(),
        }
    }

    fn cold_remaining(&self) -> Duration {
        let last = self.cold_periods.last();
        last.map_or(Duration::ZERO, |(began, time)| {
            time.saturating_sub(began.elapsed())
        })
    }
}

/// A back end of a service, listening on loopback.
pub struct FakeEngine {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Start of this incarnation in Unix milliseconds.
    pub started_ms: u64,
    address: SocketAddr,
    listener: TcpListener,
    /// Keeps listeners of other tests from the address after a crash.
    closed_port: Mutex<Option<Socket>>,
    wire: Arc<dyn EngineWire>,
    state: Mutex<State>,
    stopped: CancellationToken,
}

impl FakeEngine {
    /// Starts a back end on a free port. `models` are at version one.
    pub async fn start(
        wire: Arc<dyn EngineWire>,
        service: &str,
        zone: &str,
        models: &[&str],
        event_interval: Duration,
    ) -> Arc<Self> {
        let any = "127.0.0.1:0".parse().expect("valid socket address");
        Self::start_at(any, wire, service, zone, models, event_interval).await
    }

    /// Starts a back end at an address that an earlier one may have used.
    pub async fn start_at(
        address: SocketAddr,
        wire: Arc<dyn EngineWire>,
        service: &str,
        zone: &str,
        models: &[&str],
        event_interval: Duration,
    ) -> Arc<Self> {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let incarnation = (format!("engine-{number}"), FIRST_START_MS + number);
        Self::begin(
            incarnation,
            address,
            wire,
            (service, zone),
            models,
            event_interval,
        )
        .await
    }

    /// Crashes the back end if it still runs and starts a new incarnation with its id and address
    /// and no earlier state. `clock_jump_ms` shifts the reported start time.
    pub async fn restart(&self, clock_jump_ms: i64) -> Arc<Self> {
        self.crash();
        let models: Vec<String> = self.state().versions.keys().cloned().collect();
        let models: Vec<&str> = models.iter().map(String::as_str).collect();
        let event_interval = self.state().event_interval;
        let started_ms = self.started_ms.saturating_add_signed(1_000 + clock_jump_ms);
        let incarnation = (self.id.clone(), started_ms);
        let location = (self.service.as_str(), self.zone.as_str());
        let wire = Arc::clone(&self.wire);
        // The tasks of the earlier incarnation end first.
        tokio::time::sleep(Duration::from_millis(20)).await;
        self.release_address();
        Self::begin(
            incarnation,
            self.address,
            wire,
            location,
            &models,
            event_interval,
        )
        .await
    }

    async fn begin(
        (id, started_ms): (String, u64),
        address: SocketAddr,
        wire: Arc<dyn EngineWire>,
        (service, zone): (&str, &str),
        models: &[&str],
        event_interval: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address)
            .await
            .expect("free loopback port");
        let address = listener.local_addr().expect("bound");
        let engine = Arc::new(Self {
            id,
            started_ms,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            listener,
            closed_port: Mutex::default(),
            wire,
            state: Mutex::new(State::new(address, models, event_interval)),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&engine).serve());
        engine
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address in the listing, such as the address of a proxy.
    pub fn set_listed_address(&self, address: SocketAddr) {
        self.state().listed_address = address;
    }

    /// The contents of its directory row.
    pub fn listing(&self) -> Listing {
        let state = self.state();
        Listing {
            service: self.service.clone(),
            address: state.listed_address.to_string(),
            zone: self.zone.clone(),
            slots: SLOTS,
            draining: state.draining,
            cold_left_ms: state.cold_remaining().as_millis() as u64,
            versions: state.versions.clone(),
            software: state.software.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Applies a fault to the next `count` requests; to all if None.
    pub fn set_fault(&self, fault: EngineFault, count: Option<usize>) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_count = count;
    }

    /// Sets the time between two events, which is also the run time of other requests.
    pub fn set_event_interval(&self, event_interval: Duration) {
        self.state().event_interval = event_interval;
    }

    /// Starts a cold period. It appears in the directory when the back end is listed again.
    pub fn set_cold(&self, time: Duration) {
        self.state().cold_periods.push((Instant::now(), time));
    }

    /// Start and length of each cold period.
    pub fn cold_periods(&self) -> Vec<(Instant, Duration)> {
        self.state().cold_periods.clone()
    }

    /// Arrival times of requests, including refused ones but not those for another instance.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Lists itself as draining from now on.
    pub fn set_draining(&self) {
        self.state().draining = true;
    }

    pub fn reset_connections(&self) {
        let mut state = self.state();
        let resets = std::mem::take(&mut state.resets);
        resets.cancel();
    }

    /// Closes the port and every connection. Once [`Self::has_crashed`] is true, new connections are
    /// refused, even if the tasks of the back end still wait for a thread.
    pub fn crash(&self) {
        let mut closed_port = self.closed_port.lock().expect("lock not poisoned");
        if self.has_crashed() {
            return;
        }
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        *closed_port = bind_closed_port(self.address);
        self.stopped.cancel();
    }

    /// Lets another back end listen at the address of this one, which has crashed.
    pub fn release_address(&self) {
        *self.closed_port.lock().expect("lock not poisoned") = None;
    }

    /// Makes each request with this body crash the back end one event interval after it starts.
    pub fn set_crash_body(&self, body: impl Into<Bytes>) {
        self.state().crash_body = Some(body.into());
    }

    /// Sets the software version. It appears in the directory when the back end is listed again.
    pub fn set_software(&self, version: &str) {
        self.state().software = version.to_owned();
    }

    pub fn has_crashed(&self) -> bool {
        self.stopped.is_cancelled()
    }

    /// Requests that started to run.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state().runs.clone()
    }

    pub fn runs_of(&self, id: &str) -> Vec<RunRecord> {
        let state = self.state();
        let runs = state.runs.iter();
        runs.filter(|run| run.id == id).cloned().collect()
    }

    /// Events that were generated.
    pub fn events(&self) -> BTreeSet<EventRecord> {
        self.state().events.clone()
    }

    /// Orders that were applied or rejected.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state().orders.clone()
    }

    /// Orders that were left unanswered and applied late.
    pub fn late_orders(&self) -> Vec<ReadOrder> {
        self.state().late_orders.clone()
    }

    /// Switches to a version without an order.
    pub fn force_version(&self, model: &str, version: u64) {
        self.state().versions.insert(model.to_owned(), version);
    }

    /// The version of a model in use; 0 if the model is unknown.
    pub fn version(&self, model: &str) -> u64 {
        self.state()
            .versions
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// The version of the first model in use; 0 without models.
    fn current_version(&self) -> u64 {
        self.state()
            .versions
            .values()
            .next()
            .copied()
            .unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    fn take_fault(&self) -> EngineFault {
        let mut state = self.state();
        match &mut state.fault_count {
            None => state.fault,
            Some(0) => EngineFault::None,
            Some(count) => {
                *count -= 1;
                state.fault
            }
        }
    }
}

/// Binds a port that refuses connections and that no other listener can take. None if another one
/// has taken it.
fn bind_closed_port(address: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
    socket.set_reuse_address(true).ok()?;
    socket.bind(&address.into()).ok()?;
    socket.set_reuse_address(false).ok()?;
    Some(socket)
}
