//! A stream that pauses for less than its client's patience while its node gets SIGTERM.

#[path = "common.rs"]
mod common;
#[path = "world.rs"]
mod world;

use common::{Record, Wire, has_trouble, serve};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use world::{Entry, HOST, World};

const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// After this event the sampler makes no token for the pause of the request.
const PAUSE_AFTER: u64 = 4;
const DEADLINE_MS: u64 = 8_000;
const GRACE: Duration = Duration::from_secs(8);

/// A request: its id and how long its sampler pauses in the middle.
const REQUESTS: [(&str, u64); 3] = [
    ("9c41d07be2a35f01", 300),
    ("9c41d07be2a35f02", 1_800),
    ("9c41d07be2a35f03", 1_800),
];

fn pause_of(id: &str) -> u64 {
    let found = REQUESTS.iter().find(|(known, _)| *known == id);
    found.map_or(0, |(_, pause)| *pause)
}

fn sampler(record: &Record, instance: &str, mut wire: Wire) -> io::Result<()> {
    loop {
        let request = wire.read_message()?;
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.method() == "GET" {
            wire.answer("200 OK", &format!("X-Instance-Id: {instance}\r\n"), b"")?;
            continue;
        }
        if request.header("x-expect-instance") != Some(instance) {
            wire.answer("421 Misdirected Request", "", b"")?;
            continue;
        }
        let deadline = request.header("x-deadline-ms").unwrap_or("-").to_owned();
        record.line(&format!("{instance} begins {id}, deadline {deadline} ms"));
        let stamp = format!("3e1b.{id}.{instance}");
        wire.write(
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Sampler-Stamp: {stamp}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(error) = wire.write(chunk.as_bytes()) {
                record.line(&format!(
                    "{instance} at {id}: event {number} not taken: {error}"
                ));
                return Err(error);
            }
            if number == PAUSE_AFTER {
                thread::sleep(Duration::from_millis(pause_of(&id)));
            }
            thread::sleep(EVENT_INTERVAL);
        }
        wire.write(b"0\r\n\r\n")?;
        record.line(&format!("{instance} has made all {EVENTS} events of {id}"));
    }
}

/// Sends a request and reads its stream. Returns the events read and whether the answer is whole.
fn ask(record: &Record, address: std::net::SocketAddr, id: &str) -> io::Result<(u64, bool)> {
    let mut wire = Wire::connect(address)?;
    let limit = Duration::from_millis(DEADLINE_MS + 1_000);
    wire.stream.set_read_timeout(Some(limit))?;
    let headers = format!(
        "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
         X-Model: daka510000\r\nX-Token-Counts: 20,12\r\nX-Prompt-Prefix: 9c2e41:20\r\n"
    );
    wire.send("POST /lohu930/2f", &headers, b"a prompt")?;
    record.line(&format!("client sends {id}"));
    let head = wire.read_head()?;
    record.line(&format!("client gets status {} for {id}", head.status()));
    let mut events = 0;
    loop {
        match wire.read_chunk() {
            Ok(Some(chunk)) => {
                let text = String::from_utf8_lossy(&chunk).into_owned();
                events += text.matches("id: ").count() as u64;
            }
            Ok(None) => return Ok((events, true)),
            Err(error) => {
                record.line(&format!("client at {id}: connection closed: {error}"));
                return Ok((events, false));
            }
        }
    }
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(&path);
    let mut entries = Vec::new();
    for number in 1..=3 {
        let (id, served) = (format!("i-7f3a91c{number}"), Arc::clone(&record));
        let instance = id.clone();
        let address = serve(move |wire| {
            let _ = sampler(&served, &instance, wire);
        });
        let (service, zone) = ("huvo11a".to_owned(), world::ZONES[number - 1].to_owned());
        entries.push(Entry {
            id,
            service,
            address,
            zone,
            slots: 8,
            born: None,
            model: None,
        });
    }
    let route = r#"{"name":"r-a3hwrr6","host":"ficu95.example","path_prefix":"/lohu930/","kind":"stream","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":3}"#;
    let service = r#"{"name":"huvo11a","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false}"#;
    let world = World::start(Arc::clone(&record), &entries, route, service);
    // No disruption for contact_ms before the requests.
    thread::sleep(Duration::from_millis(3_200));
    let node = Arc::clone(&world.nodes.0[0]);
    let asking: Vec<_> = REQUESTS
        .iter()
        .map(|(id, _)| {
            let (record, address) = (Arc::clone(&record), node.callers);
            thread::spawn(move || (*id, ask(&record, address, id)))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let stopped_at = Instant::now();
    if has_trouble() {
        record.line(&format!("SIGTERM to {}", node.name));
        node.signal("-TERM");
    }
    let mut cut = 0;
    for asked in asking {
        let (id, outcome) = asked.join().expect("the client ends");
        // A connection that fails before an answer begins is not counted.
        let (events, is_whole) = outcome.unwrap_or((0, true));
        let took = stopped_at.elapsed();
        record.line(&format!(
            "{id}: {events} of {EVENTS} events, {}",
            if is_whole { "whole" } else { "cut" }
        ));
        cut += usize::from(!is_whole && took < GRACE);
    }
    record.line(&format!(
        "{cut} streams cut before their deadline; planned stop: {}",
        has_trouble()
    ));
    let is_broken = has_trouble() && cut > 0;
    record.line(if is_broken {
        "LOST is broken"
    } else {
        "LOST held"
    });
    drop(world);
    std::process::exit(i32::from(is_broken));
}
