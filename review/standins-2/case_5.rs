//! A foreign entry without `born` under the id of a sampler that later leaves as planned.

#[path = "common.rs"]
mod common;
#[path = "world.rs"]
mod world;

use common::{Record, Wire, has_trouble, serve};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Entry, HOST, State, World};

const WORK: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 1_500;
const DRAIN: Duration = Duration::from_millis(2_000);
/// A leaving sampler serves for `drain_ms` after the acknowledgement, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_200);
const CLIENTS_PER_NODE: usize = 4;
/// The route of requests that may not be repeated.
const UNSAFE: &str = "POST /pufi791/2f";

/// A sampler, which tells when each request reached it.
struct Sampler {
    instance: String,
    has_ended: AtomicBool,
    arrivals: Mutex<Vec<(Instant, String)>>,
    open: Mutex<Vec<std::net::TcpStream>>,
}

impl Sampler {
    fn serve(&self, mut wire: Wire) -> io::Result<()> {
        self.open.lock().unwrap().push(wire.stream.try_clone()?);
        loop {
            if self.has_ended.load(Ordering::SeqCst) {
                return wire.stream.shutdown(Shutdown::Both);
            }
            let request = wire.read_message()?;
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            if request.method() == "GET" {
                let header = format!("X-Instance-Id: {}\r\n", self.instance);
                wire.answer("200 OK", &header, b"")?;
                continue;
            }
            if request.header("x-expect-instance") != Some(&self.instance) {
                wire.answer("421 Misdirected Request", "", b"")?;
                continue;
            }
            self.arrivals
                .lock()
                .unwrap()
                .push((Instant::now(), id.clone()));
            thread::sleep(WORK);
            let headers = format!(
                "X-Attempt-Id: {id}\r\nX-Sampler-Stamp: 3e1b.{id}.{}\r\n",
                self.instance
            );
            wire.answer("200 OK", &headers, format!("answer to {id}").as_bytes())?;
        }
    }

    /// Ends the sampler: its connections close, and new ones close at once.
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Sends one request over a new connection. None if no answer comes.
fn ask(address: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut wire = Wire::connect(address).ok()?;
    let limit = Duration::from_millis(DEADLINE_MS + 500);
    wire.stream.set_read_timeout(Some(limit)).ok()?;
    let headers = format!(
        "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n"
    );
    wire.send(path, &headers, b"a reading").ok()?;
    wire.read_message().ok().map(|answer| answer.status())
}

/// By id: the path of a request, and when and how it ended.
type Outcomes = Arc<Mutex<BTreeMap<String, (&'static str, Instant, Option<u16>)>>>;

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(&path);
    let (mut samplers, mut entries) = (Vec::new(), Vec::new());
    for number in 1..=3_usize {
        let sampler = Arc::new(Sampler {
            instance: format!("i-7f3a91c{number}"),
            has_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            open: Mutex::default(),
        });
        let served = Arc::clone(&sampler);
        let address = serve(move |wire| {
            let _ = served.serve(wire);
        });
        entries.push(Entry {
            id: sampler.instance.clone(),
            service: "wuno96b".to_owned(),
            address,
            zone: world::ZONES[number - 1].to_owned(),
            slots: 6,
            born: Some(1_796_500_000_000 + number as u64),
            model: None,
        });
        samplers.push(sampler);
    }
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":1500,"target_latency_ms":800,"priority":2,"service":"wuno96b","max_attempts":2}}"#
        )
    };
    let routes = [
        route("r-a3hwrr6", "/lohu930/", "idempotent"),
        route("r-x73d3zj", "/pufi791/", "non_idempotent"),
    ];
    let service = r#"{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}"#;
    let world = World::start(Arc::clone(&record), &entries, &routes.join(","), service);
    thread::sleep(Duration::from_millis(3_200));
    let outcomes: Outcomes = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (node_number, node) in world.nodes.0.iter().enumerate() {
        for client in 0..CLIENTS_PER_NODE {
            let (outcomes, is_over) = (Arc::clone(&outcomes), Arc::clone(&is_over));
            let address = node.callers;
            let path = match client % 2 {
                0 => "POST /lohu930/2f",
                _ => UNSAFE,
            };
            clients.push(thread::spawn(move || {
                // Not all at once: some requests are under way at any moment.
                thread::sleep(WORK / CLIENTS_PER_NODE as u32 * client as u32);
                for turn in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{node_number}{client}41d07be2a3{turn:04x}");
                    let status = ask(address, path, &id);
                    let outcome = (path, Instant::now(), status);
                    outcomes.lock().unwrap().insert(id, outcome);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    let (leaving, entry) = (Arc::clone(&samplers[0]), entries[0].clone());
    let written = Instant::now();
    if has_trouble() {
        let foreign = entry.text("ready", 7, false);
        record.line(&format!(
            "another writer puts servers/{}: {foreign}",
            entry.id
        ));
        world.store.put("servers", &entry.id, &foreign);
    }
    // The sampler's own entries follow, one each heartbeat.
    thread::sleep(Duration::from_millis(4_000));
    world.set_state(&entry, State::Draining);
    let acknowledged = Instant::now();
    record.line(&format!("the store takes servers/{}: draining", entry.id));
    thread::sleep(SERVES_ON);
    leaving.end();
    let ended = Instant::now();
    record.line(&format!("{} has left", entry.id));
    world.set_state(&entry, State::Gone);
    thread::sleep(Duration::from_millis(1_500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let outcomes = outcomes.lock().unwrap().clone();
    let (mut late, mut lost) = (0, 0);
    for (at, id) in &arrivals {
        let after = at.saturating_duration_since(acknowledged);
        if after > DRAIN {
            late += 1;
            let status = outcomes.get(id).and_then(|(_, _, status)| *status);
            let was_cut = ended.saturating_duration_since(*at) < WORK;
            lost += usize::from(was_cut && status.is_none_or(|status| status >= 500));
            record.line(&format!(
                "{id} reaches {} {:.3} s after the acknowledgement; its client gets {status:?}",
                leaving.instance,
                after.as_secs_f64()
            ));
        }
    }
    let failed_at_once = outcomes.iter().filter(|(_, (path, at, status))| {
        let is_soon = at.saturating_duration_since(written) < Duration::from_secs(1);
        *path == UNSAFE && *at > written && is_soon && *status != Some(200)
    });
    for (id, (_, _, status)) in failed_at_once {
        record.line(&format!(
            "{id}, non_idempotent, ends with {status:?} as the entry is written"
        ));
    }
    let before = arrivals.iter().filter(|(at, _)| *at < acknowledged).count();
    record.line(&format!(
        "{} requests in all; {before} at the sampler before it drains",
        outcomes.len()
    ));
    record.line(&format!(
        "{late} requests later than drain_ms, {lost} of them failed when it left"
    ));
    let is_broken = late > 0;
    record.line(if is_broken {
        "DRAIN is broken"
    } else {
        "DRAIN held"
    });
    if before == 0 {
        drop(world);
        std::process::exit(2);
    }
    drop(world);
    std::process::exit(i32::from(is_broken));
}
