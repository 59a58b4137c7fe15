//! Samplers spoil one byte of one event, of resumable streams and of the items of a batch job.

use crate::Verdict;
use crate::http;
use crate::json::{Json, base64};
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
const ITEMS: usize = 6;
const BATCH: &str = "ba7c000000000003";
/// How long the trainer reads.
const READ_TIME: Duration = Duration::from_secs(10);
/// Between two streams: a sampler that broke off a stream is avoided for a while.
const PAUSE: Duration = Duration::from_millis(1_500);

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-stream","host":"shop.example","path_prefix":"/tell/","kind":"stream","resumable":true,
"timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"tell-lm","max_attempts":3},
{"name":"r-roll","host":"shop.example","path_prefix":"/roll/","kind":"rollout","timeout_ms":10000,
"target_latency_ms":400,"priority":1,"service":"tell-lm","max_attempts":3,"run_target_ms":7500,"retain_s":40},
{"name":"r-score","host":"shop.example","path_prefix":"/score/","kind":"idempotent","timeout_ms":1500,
"target_latency_ms":150,"priority":2,"service":"score-app","max_attempts":4}],
"services":[{"name":"tell-lm","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,
"engine":{"slots":8,"kv_capacity_tokens":100000,"models":[{"name":"m0"}]}},
{"name":"score-app","health_path":"/healthz","max_conns":110}],
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
    let scores = Plan {
        service: "score-app",
        zone: ZONES[0],
        slots: 16,
        model: None,
        events: 0,
        event_gap: Duration::from_millis(20),
    };
    Sampler::start(scores, "i-score-0", &store, &runs, record);
    let mut node = Node::new(scratch, 0, address, record);
    if !node.start_with_free_ports() {
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
    if trouble != "0" {
        samplers
            .iter()
            .for_each(|sampler| sampler.spoil(Spoilt::Number(1)));
    }
    let Some((spoilt, sound)) = play_batch(&node, record) else {
        return Verdict::CouldNotRun("the batch job is not accepted");
    };
    record.note(&format!(
        "{spoilt} of {ITEMS} items are listed as succeeded with an event absent or twice, {sound} \
         with their whole text"
    ));
    match (broken + spoilt, whole + sound) {
        (0, 0) => Verdict::CouldNotRun("nothing was closed as complete or listed"),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn item_id(number: usize) -> String {
    format!("17e30003{number:08x}")
}

fn submission() -> String {
    let items = (0..ITEMS).map(|number| {
        let id = item_id(number);
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/roll/3/{number}\",\"headers\":{{\
             \"X-Model\":\"m0\",\"X-Token-Counts\":\"40,400\",\"X-Prompt-Prefix\":\"9c2e41:40\"}},\
             \"body\":\"{}\",\"tokens\":440,\"group\":\"g{number}\",\"reward\":{{\"id\":\"5c{}\",\
             \"host\":\"shop.example\",\"path\":\"/score/{number}\",\"body\":\"{}\"}}}}",
            base64(format!("prompt {number}").as_bytes()),
            &id[2..],
            base64(b"score")
        )
    });
    let items: Vec<String> = items.collect();
    format!(
        "{{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"desired\":{ITEMS},\"items\":[{}]}}",
        items.join(",")
    )
}

/// Returns how many items are listed as succeeded with a wrong text, and with their whole text.
fn play_batch(node: &Node, record: &Arc<Record>) -> Option<(usize, usize)> {
    thread::sleep(PAUSE);
    let headers = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", BATCH),
        ("X-Deadline-Ms", "12000"),
    ];
    let timeout = Duration::from_secs(5);
    let body = submission();
    let answer = http::call(
        node.callers,
        "POST",
        "/roll/3",
        &headers,
        body.as_bytes(),
        timeout,
    )
    .ok()?;
    record.note(&format!(
        "the batch job {BATCH} of {ITEMS} items is answered {}",
        answer.status
    ));
    if answer.status != 202 {
        return None;
    }
    thread::sleep(READ_TIME);
    let target = format!("/api/lots/{BATCH}?after=0");
    let answer = http::call(node.callers, "GET", &target, &headers[..1], b"", timeout).ok()?;
    let page = Json::parse(&answer.text())?;
    let mut wrong = 0;
    let mut sound = 0;
    for result in page.get("results").list() {
        let (id, state, text) = (
            result.get("id").text(),
            result.get("state").text(),
            result.get("text").text(),
        );
        let expected: Vec<String> = (1..=EVENTS).map(|event| format!("{id}-{event}")).collect();
        record.note(&format!(
            "listed: {id} {state}, text {:?}",
            text.replace('\n', " ")
        ));
        match (state, text == expected.join("\n")) {
            ("succeeded", true) => sound += 1,
            ("succeeded", false) => wrong += 1,
            _ => {}
        }
    }
    Some((wrong, sound))
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
    let answer = http::call(
        node.callers,
        "POST",
        "/tell/a",
        &headers,
        b"prompt",
        timeout,
    );
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record.note(&format!("{id}: no whole answer: {error}"));
            return None;
        }
    };
    let body = answer.text();
    let data: Vec<&str> = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let expected: Vec<String> = (1..=EVENTS).map(|event| format!("{id}-{event}")).collect();
    record.note(&format!(
        "{id}: the client gets {}, stamp {:?}, closed as complete, pieces {data:?}",
        answer.status,
        answer.header("X-Sampler-Stamp")
    ));
    (answer.status == 200).then(|| data != expected)
}
