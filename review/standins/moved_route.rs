//! The configuration moves a rollout route to another service while a batch job is open, and the
//! processes of the nodes are killed and started again, one after the other.

use crate::Verdict;
use crate::http::{self, Answer};
use crate::json::{Json, base64};
use crate::record::Record;
use crate::sampler::{Plan, Runs, Sampler};
use crate::store::Store;
use crate::world::{Node, ZONES, put_configuration};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ITEMS: usize = 40;
const GROUP: usize = 4;
const DESIRED: usize = 9;
const EVENTS: u64 = 15;
/// The trainer's deadline, counted from its submission.
const STEP_MS: u64 = 12_000;
/// How long an item may lie in steady state, and what a machine needs to be in touch.
const LYING_MS: u64 = 5_000;
const CONTACT_MS: u64 = 3_000;
/// Counted from the submission.
const MOVED_AT_MS: u64 = 600;
const FIRST_KILL_AT_MS: u64 = 1_100;
const KILL_GAP_MS: u64 = 900;
/// How long a killed process is down.
const DOWN: Duration = Duration::from_millis(250);

fn configuration(version: u64, service: &str) -> String {
    let engine = r#""engine":{"slots":4,"kv_capacity_tokens":100000,"models":[{"name":"m0"}]}"#;
    let of_models = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":150,{engine}}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-roll\",\"host\":\"train.example\",\"path_prefix\":\"/roll/\",\
         \"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":3,\"run_target_ms\":7500,\"retain_s\":40}},\
         {{\"name\":\"r-score\",\"host\":\"train.example\",\"path_prefix\":\"/score/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
         \"service\":\"score-app\",\"max_attempts\":4}}],\
         \"services\":[{},{},{{\"name\":\"score-app\",\"health_path\":\"/healthz\",\"max_conns\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        of_models("first-lm"),
        of_models("second-lm")
    )
}

fn item_id(batch: usize, number: usize) -> String {
    format!("17e3{batch:04x}{number:08x}")
}

fn submission(batch: usize) -> String {
    let items = (0..ITEMS).map(|number| {
        let id = item_id(batch, number);
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/roll/{batch}/{number}\",\"headers\":{{\
             \"X-Model\":\"m0\",\"X-Token-Counts\":\"40,400\",\"X-Prompt-Prefix\":\"9c2e41:40\"}},\
             \"body\":\"{}\",\"tokens\":440,\"group\":\"g{}\",\"reward\":{{\"id\":\"5c{}\",\
             \"host\":\"train.example\",\"path\":\"/score/{number}\",\"body\":\"{}\"}}}}",
            base64(format!("prompt {number}").as_bytes()),
            number / GROUP,
            &id[2..],
            base64(b"score")
        )
    });
    let items: Vec<String> = items.collect();
    format!(
        "{{\"step\":{batch},\"model\":\"m0\",\"min_version\":1,\"desired\":{DESIRED},\"items\":[{}]}}",
        items.join(",")
    )
}

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    nodes: Vec<Node>,
    runs: Runs,
}

impl World {
    fn start(scratch: &Path, record: &Arc<Record>) -> Self {
        let (store, address) = Store::start();
        put_configuration(&store, record, &configuration(3, "first-lm"));
        let runs = Runs::default();
        for service in ["first-lm", "second-lm", "score-app"] {
            for (number, zone) in ZONES.into_iter().enumerate().take(2) {
                let is_model = service != "score-app";
                let plan = Plan {
                    service,
                    zone,
                    slots: if is_model { 4 } else { 16 },
                    model: is_model.then_some("m0"),
                    events: if is_model { EVENTS } else { 0 },
                    event_gap: Duration::from_millis(if is_model { 80 } else { 20 }),
                };
                let id = format!("i-{service}-{number}");
                Sampler::start(plan, &id, &store, &runs, record);
            }
        }
        let nodes = (0..3).map(|number| Node::new(scratch, number, address, record));
        Self {
            record: Arc::clone(record),
            store,
            nodes: nodes.collect(),
            runs,
        }
    }

    fn start_nodes(&mut self) -> bool {
        self.nodes.iter_mut().all(Node::start_with_free_ports)
    }

    fn call(
        &self,
        node: usize,
        method: &str,
        target: &str,
        id: &str,
        body: &str,
    ) -> Option<Answer> {
        let headers = [
            ("Host", "train.example"),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", "12000"),
            ("Content-Type", "application/json"),
        ];
        let address = self.nodes[node].callers;
        let timeout = Duration::from_secs(5);
        let answer = http::call(address, method, target, &headers, body.as_bytes(), timeout);
        let seen = answer
            .as_ref()
            .map_or_else(ToString::to_string, |answer| answer.status.to_string());
        self.record.note(&format!(
            "{method} {target} at {}: {seen}",
            self.nodes[node].name
        ));
        answer.ok()
    }

    fn submit(&self, batch: usize, id: &str) -> bool {
        let body = submission(batch);
        let answer = self.call(batch % self.nodes.len(), "POST", "/roll/submit", id, &body);
        answer.is_some_and(|answer| answer.status == 202)
    }

    /// The items that a read of a batch job lists.
    fn listed(&self, node: usize, id: &str) -> Option<BTreeMap<String, String>> {
        let target = format!("/api/lots/{id}?after=0");
        let answer = self.call(node, "GET", &target, "", "")?;
        let page = Json::parse(&answer.text()).filter(|_| answer.status == 200)?;
        let results = page.get("results").list().iter().map(|result| {
            let text = |name: &str| result.get(name).text().to_owned();
            (text("id"), text("state"))
        });
        Some(results.collect())
    }

    fn sleep_until(&self, ms: u64) {
        let left = ms.saturating_sub(self.record.now_ms());
        thread::sleep(Duration::from_millis(left));
    }
}

pub fn play(scratch: &Path, record: &Arc<Record>, trouble: &str) -> Verdict {
    let mut world = World::start(scratch, record);
    if !world.start_nodes() {
        return Verdict::CouldNotRun("the nodes do not start");
    }
    // Traffic starts some seconds after the machines.
    thread::sleep(Duration::from_secs(6));
    let batch = "ba7c000000000001";
    let sent_ms = record.now_ms();
    if !world.submit(1, batch) {
        return Verdict::CouldNotRun("the batch job is not accepted");
    }
    world.sleep_until(sent_ms + MOVED_AT_MS);
    if ["1", "config"].contains(&trouble) {
        put_configuration(&world.store, record, &configuration(5, "second-lm"));
    }
    if ["1", "kill"].contains(&trouble) {
        for node in 0..world.nodes.len() {
            world.sleep_until(sent_ms + FIRST_KILL_AT_MS + KILL_GAP_MS * node as u64);
            let node = &mut world.nodes[node];
            node.kill();
            thread::sleep(DOWN);
            node.start();
            if !node.wait_ready() {
                return Verdict::CouldNotRun("a node does not start again");
            }
        }
    }
    let calm_ms = record.now_ms() + CONTACT_MS;
    if calm_ms + LYING_MS > sent_ms + STEP_MS {
        return Verdict::CouldNotRun("the machine is too slow: no time in steady state is left");
    }
    world.sleep_until(sent_ms + STEP_MS);
    let due_ms = record.now_ms();
    let lying = lying_items(&world, due_ms);
    for node in 0..world.nodes.len() {
        let listed = world.listed(node, batch);
        let count = listed.map_or_else(|| "nothing".to_owned(), |listed| listed.len().to_string());
        record.note(&format!(
            "{} lists {count} of {ITEMS} items",
            world.nodes[node].name
        ));
    }
    record.note(&format!(
        "the step is out of time: {} items, finished or failed by no sampler, have been at no \
         sampler for {LYING_MS} ms of steady state: {lying:?}",
        lying.len()
    ));
    show_what_follows(&world, batch);
    match lying.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// The items of the step that the rule calls lost. Others have begun, and no sampler runs any.
fn lying_items(world: &World, due_ms: u64) -> Vec<String> {
    let runs = world.runs.lock().expect("sound");
    let is_item = |id: &str| id.starts_with("17e30001");
    let begun: BTreeSet<&str> = runs
        .iter()
        .map(|run| run.id.as_str())
        .filter(|id| is_item(id))
        .collect();
    let running = runs
        .iter()
        .filter(|run| is_item(&run.id) && run.ended_ms.is_none())
        .count();
    world.record.note(&format!(
        "{} of {ITEMS} items had begun, {running} run now at 2 samplers of 4 places",
        begun.len()
    ));
    if begun.is_empty() || running >= 4 {
        return Vec::new();
    }
    let is_lying = |id: &String| {
        runs.iter().filter(|run| run.id == *id).all(|run| {
            let ended_ms = run.ended_ms.unwrap_or(u64::MAX);
            !run.is_whole && ended_ms.saturating_add(LYING_MS) < due_ms
        })
    };
    (0..ITEMS)
        .map(|number| item_id(1, number))
        .filter(is_lying)
        .collect()
}

/// Not part of the check: a later batch job runs, and the first one is still not worked on.
fn show_what_follows(world: &World, batch: &str) {
    let later = "ba7c000000000002";
    let is_accepted = world.submit(2, later);
    thread::sleep(Duration::from_secs(15));
    let listed = |id: &str| world.listed(0, id).map_or(0, |listed| listed.len());
    world.record.note(&format!(
        "15 s later: a later batch job (accepted: {is_accepted}) lists {} items, the first one {}",
        listed(later),
        listed(batch)
    ));
}
