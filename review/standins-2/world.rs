//! The small deployment of the scripts: a store, three serving nodes in three zones and the rows
//! of the operator and of the samplers.

#![allow(dead_code)]

use crate::common::{Node, Nodes, Record, Store, temporary_folder};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const ZONES: [&str; 3] = ["ikeja-hall", "yaba-hall", "lekki-hall"];
pub const HOST: &str = "ficu95.example";
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct World {
    pub store: Arc<Store>,
    pub nodes: Nodes,
    pub record: Arc<Record>,
    states: Arc<Mutex<HashMap<String, State>>>,
    /// Entries of samplers that have started again.
    renewed: Arc<Mutex<HashMap<String, Entry>>>,
}

/// What a sampler says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// A sampler's entry in the store.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: usize,
    /// Unix milliseconds of its start; None on deployments whose entries do not tell it.
    pub born: Option<u64>,
    /// The model of a model sampler, at version 1.
    pub model: Option<&'static str>,
}

impl Entry {
    /// The entry as the sampler writes it, without `born` if that is left out.
    pub fn text(&self, state: &str, seq: u64, with_born: bool) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            ..
        } = self;
        let born = match self.born.filter(|_| with_born) {
            Some(born) => format!(r#","born":{born}"#),
            None => String::new(),
        };
        let models = match self.model {
            Some(model) => {
                format!(
                    r#","stage":"both","models":[{{"name":"{model}","version":1,"adapters":[]}}]"#
                )
            }
            None => String::new(),
        };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_left_ms":0,"seq":{seq}{models}{born}}}"#
        )
    }
}

impl World {
    /// Starts the store and lists the samplers. `routes` and `services` are lists of JSON.
    pub fn start(record: Arc<Record>, entries: &[Entry], routes: &str, services: &str) -> Self {
        let store = Store::start();
        let configuration = format!(
            r#"{{"version":3,"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
        );
        store.put("op", "config", &configuration);
        for entry in entries {
            store.put("servers", &entry.id, &entry.text("ready", 1, true));
        }
        let states: Arc<Mutex<HashMap<String, State>>> = Arc::default();
        let (beating, entries) = (Arc::clone(&store), entries.to_vec());
        let known_states = Arc::clone(&states);
        let renewed: Arc<Mutex<HashMap<String, Entry>>> = Arc::default();
        let known_renewed = Arc::clone(&renewed);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                for entry in &entries {
                    let renewed = known_renewed.lock().unwrap().get(&entry.id).cloned();
                    let entry = &renewed.unwrap_or_else(|| entry.clone());
                    let states = known_states.lock().unwrap();
                    match states.get(&entry.id).copied().unwrap_or(State::Ready) {
                        State::Ready => {
                            beating.put("servers", &entry.id, &entry.text("ready", seq, true))
                        }
                        State::Draining => {
                            beating.put("servers", &entry.id, &entry.text("draining", seq, true));
                        }
                        State::Gone => {}
                    }
                }
            }
        });
        let folder = temporary_folder("review-2");
        let nodes = ZONES.iter().enumerate().map(|(number, zone)| {
            let name = format!("front-{zone}-{}", number + 1);
            Arc::new(Node::start(&folder, &name, zone, store.address()))
        });
        let nodes = Nodes(nodes.collect());
        for node in &nodes.0 {
            if !node.wait_ready() {
                drop(nodes);
                std::process::exit(2);
            }
            record.line(&format!("{} is ready, process {}", node.name, node.pid()));
        }
        Self {
            store,
            nodes,
            record,
            states,
            renewed,
        }
    }

    /// Sets what a sampler says of itself from now on.
    pub fn set_state(&self, entry: &Entry, state: State) {
        self.states.lock().unwrap().insert(entry.id.clone(), state);
        match state {
            State::Ready => self
                .store
                .put("servers", &entry.id, &entry.text("ready", 1_000, true)),
            State::Draining => {
                self.store
                    .put("servers", &entry.id, &entry.text("draining", 1_000, true));
            }
            State::Gone => self.store.remove("servers", &entry.id),
        }
    }
}

impl World {
    /// A crashed sampler says nothing; its entry lapses after three heartbeats.
    pub fn set_silent_entry(&self, entry: &Entry, silent: bool) {
        let mut states = self.states.lock().unwrap();
        let state = if silent { State::Gone } else { State::Ready };
        states.insert(entry.id.clone(), state);
    }

    /// Lists a sampler that has started again.
    pub fn replace_entry(&self, entry: &Entry) {
        self.renewed
            .lock()
            .unwrap()
            .insert(entry.id.clone(), entry.clone());
        self.set_state(entry, State::Ready);
    }
}
