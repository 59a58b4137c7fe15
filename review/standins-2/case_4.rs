//! The node that leads is killed while several large batch jobs are open.

#[path = "common.rs"]
mod common;
#[path = "world.rs"]
mod world;

use common::{Json, Node, Record, Wire, base64, has_trouble, serve};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Entry, HOST, World};

/// `limits.memory_mb` of a machine.
const MEMORY_MB: u64 = 270;
/// A process that ends or is killed is started again after this delay.
const RESTART_AFTER: Duration = Duration::from_millis(1_000);
const JOBS: usize = 6;
const ITEMS: usize = 48;
const ITEM_BYTES: usize = 520_000;
const EVENTS: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const WATCHED: Duration = Duration::from_secs(40);

fn sampler(instance: &str, mut wire: Wire) -> io::Result<()> {
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
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        wire.write(
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Sampler-Stamp: 3e1b.{id}\r\n\
                 X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for number in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        wire.write(b"0\r\n\r\n")?;
    }
}

fn job_id(job: usize) -> String {
    format!("7c41e09b52d6a3f{job}")
}

/// A batch job whose items carry a photograph each.
fn job_body(job: usize) -> String {
    let mut text = format!(
        r#"{{"step":0,"model":"daka510000","min_version":1,"desired":{},"items":["#,
        ITEMS / 4
    );
    for item in 0..ITEMS {
        let photo: Vec<u8> = (0..ITEM_BYTES)
            .map(|at| ((at * 7 + item * 3 + job) % 251) as u8)
            .collect();
        if item > 0 {
            text.push(',');
        }
        text.push_str(&format!(
            r#"{{"id":"e5b2907c1{job:03x}{item:04x}","path":"/pule252/3/91c4","headers":{{"X-Model":"daka510000","X-Token-Counts":"540,400","X-Prompt-Prefix":"9c2e41:300"}},"body":"{}","tokens":940,"group":"g{job}{}"}}"#,
            base64(&photo),
            item / 4
        ));
    }
    text.push_str("]}");
    text
}

fn call(node: &Node, first: &str, headers: &str, body: &[u8]) -> Option<common::Message> {
    let mut wire = Wire::connect(node.callers).ok()?;
    wire.stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    let headers = format!("Host: {HOST}\r\nConnection: close\r\n{headers}");
    wire.send(first, &headers, body).ok()?;
    wire.read_message().ok()
}

/// Hands a job in at one node after the other until one takes it.
fn submit(record: &Record, nodes: &[Arc<Node>], job: usize) -> bool {
    let (id, body) = (job_id(job), job_body(job));
    for attempt in 0..10 {
        let node = &nodes[(job + attempt) % nodes.len()];
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Deadline-Ms: 9000\r\nContent-Type: application/json\r\n"
        );
        let answer = call(node, "POST /pule252/7c41e0", &headers, body.as_bytes());
        let status = answer.map(|answer| answer.status());
        let bytes = body.len();
        record.line(&format!(
            "job {id}, {bytes} bytes, at {}: {status:?}",
            node.name
        ));
        if status == Some(202) {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// The items of a job that are listed.
fn listed(nodes: &[Arc<Node>], job: usize, known: &mut BTreeMap<usize, BTreeSet<String>>) {
    let node = &nodes[job % nodes.len()];
    let position = known.get(&job).map_or(0, BTreeSet::len);
    let first = format!("GET /api/lots/{}?after={position}", job_id(job));
    let Some(answer) = call(node, &first, "", b"") else {
        return;
    };
    let page = Json::parse(&answer.body).unwrap_or(Json::Null);
    for result in page.get("results").list() {
        let id = result.get("id").text().to_owned();
        known.entry(job).or_default().insert(id);
    }
}

/// The machines of the platform: a process over its memory is killed, and one that has ended is
/// started again.
fn watch(record: &Record, node: &Node, is_over: &AtomicBool, kills: &Mutex<Vec<String>>) {
    let mut most = 0;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let memory = node.memory_mb().0;
        most = most.max(memory);
        if memory > MEMORY_MB {
            record.line(&format!("{}: {memory} MB, killed", node.name));
            kills.lock().unwrap().push(node.name.clone());
            node.kill();
        }
        if node.has_ended() && !is_over.load(Ordering::SeqCst) {
            thread::sleep(RESTART_AFTER);
            node.spawn();
            record.line(&format!("{} is started again", node.name));
        }
    }
    record.line(&format!("{}: {most} MB at most", node.name));
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(&path);
    let mut entries = Vec::new();
    for number in 1..=9_usize {
        let id = format!("i-7f3a91c{number}");
        let instance = id.clone();
        let address = serve(move |wire| {
            let _ = sampler(&instance, wire);
        });
        entries.push(Entry {
            id,
            service: "huvo11a".to_owned(),
            address,
            zone: world::ZONES[number % 3].to_owned(),
            slots: 8,
            born: None,
            model: Some("daka510000"),
        });
    }
    let route = format!(
        r#"{{"name":"r-pule252","host":"{HOST}","path_prefix":"/pule252/","kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":3,"run_target_ms":60000,"retain_s":100}}"#
    );
    let service = r#"{"name":"huvo11a","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity_tokens":103490,"models":[{"name":"daka510000"}]}}"#;
    let world = World::start(Arc::clone(&record), &entries, &route, service);
    let nodes: Vec<Arc<Node>> = world.nodes.0.iter().map(Arc::clone).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let kills: Arc<Mutex<Vec<String>>> = Arc::default();
    let watches: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (record, node) = (Arc::clone(&record), Arc::clone(node));
            let (is_over, kills) = (Arc::clone(&is_over), Arc::clone(&kills));
            thread::spawn(move || watch(&record, &node, &is_over, &kills))
        })
        .collect();
    thread::sleep(Duration::from_millis(3_200));
    let accepted = (0..JOBS)
        .filter(|job| submit(&record, &nodes, *job))
        .count();
    thread::sleep(Duration::from_millis(2_000));
    let before = kills.lock().unwrap().len();
    let mut disrupted = String::new();
    if has_trouble() {
        let lease = world.store.read("sloetrail_leases", "lease/huvo11a");
        let lease = Json::parse(lease.unwrap_or_default().as_bytes()).unwrap_or(Json::Null);
        let holder = lease.get("holder").text().to_owned();
        record.line(&format!("SIGKILL to the machine that leads: {holder}"));
        let leader = nodes
            .iter()
            .find(|node| holder.starts_with(&format!("{}/", node.name)));
        if let Some(leader) = leader {
            disrupted = leader.name.clone();
            leader.signal("-KILL");
        }
    }
    let began = Instant::now();
    let mut known = BTreeMap::new();
    while began.elapsed() < WATCHED {
        for job in 0..JOBS {
            listed(&nodes, job, &mut known);
        }
        thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, Ordering::SeqCst);
    for watched in watches {
        let _ = watched.join();
    }
    let kills = kills.lock().unwrap().clone();
    let mut by_node: BTreeMap<&str, usize> = BTreeMap::new();
    for node in &kills {
        *by_node.entry(node).or_default() += 1;
    }
    for job in 0..JOBS {
        let items = known.get(&job).map_or(0, BTreeSet::len);
        record.line(&format!(
            "job {}: {items} of {ITEMS} items listed",
            job_id(job)
        ));
    }
    record.line(&format!(
        "{accepted} jobs accepted; killed for memory: {before} times before, {} in all: {by_node:?}",
        kills.len()
    ));
    // The machine that was killed from outside is left out.
    let others = by_node.iter().filter(|(node, _)| **node != disrupted);
    let nodes_hit = others.filter(|(_, times)| **times >= 3).count();
    let is_broken = nodes_hit >= 2;
    record.line(if is_broken {
        "a fault: two machines ended three times"
    } else {
        "no fault"
    });
    drop(world);
    std::process::exit(if accepted == JOBS {
        i32::from(is_broken)
    } else {
        2
    });
}
