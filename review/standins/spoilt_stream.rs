//! Samplers spoil one byte of one event of resumable streams.

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::sampler::{Plan, Runs, Sampler, Spoilt};
use crate::store::Store;
use crate::world::{Node, ZONES, put_configuration};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const EVENTS: u64 = 12;
const STREAMS: u64 = 6;
/// The event that is spoilt in each stream.
const SPOILT: u64 = 5;
/// Between two streams: a sampler that broke off a stream is avoided for a while.
const PAUSE: Duration = Duration::from_millis(1_500);

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-stream","host":"shop.example","path_prefix":"/tell/","kind":"stream","resumable":true,
"timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"tell-lm","max_attempts":3}],
"services":[{"name":"tell-lm","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,
"engine":{"slots":8,"kv_capacity_tokens":100000,"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(scratch: &Path, record: &Arc<Record>, trouble: &str) -> Verdict {
    let (store, address) = Store::start();
    put_configuration(&store, record, &CONFIGURATION.replace('\n', ""));
    let runs = Runs::default();
    let samplers: Vec<Arc<Sampler>> = (0..3)
        .map(|number| {
            let plan = Plan {
                service: "tell-lm",
                zone: ZONES[number],
                slots: 8,
                model: Some("m0"),
                events: EVENTS,
                event_gap: Duration::from_millis(40),
            };
            Sampler::start(plan, &format!("i-tell-{number}"), &store, &runs, record)
        })
        .collect();
    let mut node = Node::new(scratch, 0, address, record);
    node.start();
    if !node.wait_ready() {
        return Verdict::CouldNotRun("the node does not start");
    }
    thread::sleep(Duration::from_millis(500));
    let mut broken = 0;
    let mut whole = 0;
    for number in 0..STREAMS {
        thread::sleep(PAUSE);
        let spoilt = match number % 2 {
            0 => Spoilt::Number(SPOILT),
            _ => Spoilt::FieldName(SPOILT),
        };
        if trouble != "0" {
            samplers.iter().for_each(|sampler| sampler.spoil(spoilt));
        }
        match play_stream(&node, record, number) {
            Some(true) => broken += 1,
            Some(false) => whole += 1,
            None => {}
        }
    }
    record.note(&format!(
        "{broken} of {STREAMS} streams were closed as complete with a piece missing or repeated, \
         {whole} were whole"
    ));
    match (broken, whole) {
        (0, 0) => Verdict::CouldNotRun("no stream was closed as complete"),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns whether the answer was closed as complete with other events than 1 to `EVENTS`, each
/// once; None if it was not closed as complete.
fn play_stream(node: &Node, record: &Record, number: u64) -> Option<bool> {
    let id = format!("5eed00000000{number:04x}");
    let headers = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", "8000"),
        ("X-Model", "m0"),
        ("X-Token-Counts", "40,400"),
        ("X-Prompt-Prefix", "9c2e41:40"),
    ];
    record.note(&format!("the client sends {id}"));
    let timeout = Duration::from_secs(9);
    let answer = http::call(node.callers, "POST", "/tell/a", &headers, b"prompt", timeout);
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record.note(&format!("{id}: no whole answer: {error}"));
            return None;
        }
    };
    let body = answer.text();
    let data: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let expected: Vec<String> = (1..=EVENTS).map(|event| format!("{id}-{event}")).collect();
    record.note(&format!(
        "{id}: the client gets {}, stamp {:?}, closed as complete, pieces {data:?}",
        answer.status,
        answer.header("X-Sampler-Stamp")
    ));
    (answer.status == 200).then(|| data != expected)
}
