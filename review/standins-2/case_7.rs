//! A planned stop of the node that leads while the platform's store is silent.

#[path = "common.rs"]
mod common;
#[path = "world.rs"]
mod world;

use common::{Json, Node, Record, Wire, has_trouble, serve};
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Entry, HOST, World};

const WORK: Duration = Duration::from_millis(4_500);
const DEADLINE_MS: u64 = 8_000;
const GRACE: Duration = Duration::from_secs(8);
/// `platform_down`, silent.
const OUTAGE: Duration = Duration::from_millis(4_600);
const STOP_AFTER: Duration = Duration::from_millis(1_500);
const CLIENTS: u64 = 45;

/// The ids of the requests that samplers have begun.
type Begun = Mutex<BTreeSet<String>>;

fn sampler(record: &Record, begun: &Begun, instance: &str, mut wire: Wire) -> io::Result<()> {
    loop {
        let request = wire.read_message()?;
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.path() == "/api/report" {
            let report = r#"{"models":[{"name":"daka510000","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0}"#;
            wire.answer(
                "200 OK",
                "Content-Type: application/json\r\n",
                report.as_bytes(),
            )?;
            continue;
        }
        if request.method() == "GET" {
            wire.answer("200 OK", &format!("X-Instance-Id: {instance}\r\n"), b"")?;
            continue;
        }
        if request.header("x-expect-instance") != Some(instance) {
            wire.answer("421 Misdirected Request", "", b"")?;
            continue;
        }
        record.line(&format!("{instance} begins {id}"));
        begun.lock().unwrap().insert(id.clone());
        thread::sleep(WORK);
        let headers = format!("X-Attempt-Id: {id}\r\nX-Sampler-Stamp: 3e1b.{id}.{instance}\r\n");
        let body = format!("answer to {id}");
        let sent = wire.answer("200 OK", &headers, body.as_bytes());
        record.line(&format!(
            "{instance} ends {id}, answer taken: {}",
            sent.is_ok()
        ));
        sent?;
    }
}

/// What became of a request.
struct Outcome {
    id: String,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
}

/// Sends one request after the other over a kept connection until the node closes it.
fn client(record: &Record, node: &Node, number: u64, until: Instant) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let Ok(mut wire) = Wire::connect(node.callers) else {
        return outcomes;
    };
    let limit = Duration::from_millis(DEADLINE_MS + 1_000);
    let _ = wire.stream.set_read_timeout(Some(limit));
    let path = match number % 2 {
        0 => "POST /lohu930/2f",
        _ => "POST /pufi791/2f",
    };
    for turn in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{number:04x}41d07be2{turn:04x}");
        let headers =
            format!("Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n");
        let sent_at = Instant::now();
        if wire.send(path, &headers, b"a request").is_err() {
            break;
        }
        record.line(&format!("client {number} sends {id} to {}", node.name));
        let answer = wire.read_message();
        let status = answer.as_ref().ok().map(|answer| answer.status());
        record.line(&format!("client {number} gets {status:?} for {id}"));
        let closes = answer.as_ref().is_ok_and(|answer| {
            let connection = answer.header("connection").unwrap_or("");
            connection.eq_ignore_ascii_case("close")
        });
        outcomes.push(Outcome {
            id,
            sent_at,
            ended_at: Instant::now(),
            status,
        });
        if closes || status.is_none() {
            break;
        }
    }
    outcomes
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(&path);
    let begun: Arc<Begun> = Arc::default();
    let mut entries = Vec::new();
    for (number, service) in [
        (1, "wuno96b"),
        (2, "wuno96b"),
        (3, "wuno96b"),
        (4, "huvo11a"),
    ] {
        let (id, served) = (format!("i-7f3a91c{number}"), Arc::clone(&record));
        let (instance, known) = (id.clone(), Arc::clone(&begun));
        let address = serve(move |wire| {
            let _ = sampler(&served, &known, &instance, wire);
        });
        entries.push(Entry {
            id,
            service: service.to_owned(),
            address,
            zone: world::ZONES[(number - 1) % 3].to_owned(),
            slots: 20,
            born: None,
            model: None,
        });
    }
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":10000,"target_latency_ms":4000,"priority":2,"service":"{service}","max_attempts":2,"run_target_ms":7500,"retain_s":40}}"#
        )
    };
    let routes = [
        route("r-a3hwrr6", "/lohu930/", "idempotent", "wuno96b"),
        route("r-x73d3zj", "/pufi791/", "non_idempotent", "wuno96b"),
        route("r-pule252", "/pule252/", "rollout", "huvo11a"),
    ];
    let services = r#"{"name":"huvo11a","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity_tokens":103490,"models":[{"name":"daka510000"}]}},{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}"#;
    let world = World::start(Arc::clone(&record), &entries, &routes.join(","), services);
    // No disruption for contact_ms before the requests.
    thread::sleep(Duration::from_millis(5_000));
    let lease = world.store.read("sloetrail_leases", "lease/huvo11a");
    let lease = Json::parse(lease.unwrap_or_default().as_bytes()).unwrap_or(Json::Null);
    let holder = lease.get("holder").text().to_owned();
    record.line(&format!(
        "the machine that last wrote under a condition: {holder}"
    ));
    let mut nodes = world.nodes.0.iter();
    let node = nodes.find(|node| holder.starts_with(&format!("{}/", node.name)));
    let Some(node) = node.map(Arc::clone) else {
        eprintln!("no node leads");
        drop(world);
        std::process::exit(2);
    };
    let began = Instant::now();
    let until = began + STOP_AFTER + GRACE;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, node) = (Arc::clone(&record), Arc::clone(&node));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(
                    WORK.as_millis() as u64 / CLIENTS * number,
                ));
                client(&record, &node, number, until)
            })
        })
        .collect();
    if has_trouble() {
        world.store.set_silent(true);
        record.line("the store is silent");
    }
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    record.line(&format!("SIGTERM to {}", node.name));
    node.signal("-TERM");
    thread::sleep(OUTAGE - STOP_AFTER);
    world.store.set_silent(false);
    record.line("the store answers");
    let mut cut = 0;
    for client in clients {
        for outcome in client.join().expect("the client ends") {
            let sent = outcome.sent_at.saturating_duration_since(stopped_at);
            let ended = outcome.ended_at.saturating_duration_since(stopped_at);
            let was_passed_on = begun.lock().unwrap().contains(&outcome.id);
            let is_late = sent > Duration::from_secs(3);
            let is_cut = outcome.status.is_none()
                && was_passed_on
                && is_late
                && ended <= GRACE + Duration::from_secs(1);
            cut += usize::from(is_cut);
            if outcome.status.is_none() {
                record.line(&format!(
                    "{}: closed without an answer, sent {:.3} s and closed {:.3} s after SIGTERM{}",
                    outcome.id,
                    sent.as_secs_f64(),
                    ended.as_secs_f64(),
                    if is_cut { "" } else { " (not counted)" }
                ));
            }
        }
    }
    record.line(&format!("{} has ended: {}", node.name, node.has_ended()));
    record.line(&format!("{cut} requests lost"));
    let is_broken = cut > 0;
    record.line(if is_broken {
        "LOST is broken"
    } else {
        "LOST held"
    });
    drop(world);
    std::process::exit(i32::from(is_broken));
}
