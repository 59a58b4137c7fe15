//! Continuous batching: each step every running generation gets some tokens.

use super::model;
use super::prefix_cache::{CacheEvent, PrefixCache};
use crate::history_log::HistoryLog;
use serde::{Deserialize, Serialize};
use sloetrail_clients::{Chunk, Priority};
use sloetrail_history::EventBody;
use sloetrail_types::{EngineId, RequestId, WeightVersion, digest};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Places beyond the capacity that only live requests may take.
const LIVE_RESERVE: usize = 4;
/// Imported states that wait for their generation.
const IMPORTS_LIMIT: usize = 64;
const PREFILL_STEPS: u32 = 2;

/// How a model engine works.
#[derive(Clone, Copy, Debug)]
pub struct BatchSettings {
    /// Generations at a time.
    pub capacity: usize,
    /// Time of one step.
    pub step: Duration,
    /// Tokens of each generation a step.
    pub tokens_per_step: u32,
    /// Median length of an answer.
    pub median_tokens: u32,
}

/// A generation that was asked for.
pub(super) struct Generation {
    pub(super) request: RequestId,
    pub(super) prompt: String,
    pub(super) next_token: u32,
    pub(super) length: u32,
    pub(super) priority: Priority,
    pub(super) chunks: mpsc::UnboundedSender<Chunk>,
}

struct Running {
    generation: Generation,
    prefill_left: u32,
}

struct Queues {
    prefixes: PrefixCache,
    waiting: BTreeMap<Priority, VecDeque<Generation>>,
    running: Vec<Running>,
    imported: VecDeque<String>,
    version: WeightVersion,
}

impl Queues {
    /// Steps until the first token: none if the generation's state was imported or
    /// its prompt's prefix is cached.
    fn prefill_steps(&mut self, prompt: &str) -> u32 {
        if let Some(place) = self.imported.iter().position(|known| known == prompt) {
            self.imported.remove(place);
            return 0;
        }
        match self.prefixes.use_prefix(prompt) {
            true => 0,
            false => PREFILL_STEPS,
        }
    }
}

/// A running generation's state, as it moves between engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvState {
    /// The prompt.
    pub prompt: String,
    /// The place of the next token.
    pub next_token: u32,
    /// The weights that computed it; others cannot use it.
    pub version: WeightVersion,
}

/// The batch of one engine.
pub(super) struct Batch {
    engine: EngineId,
    settings: BatchSettings,
    history: HistoryLog,
    queues: Mutex<Queues>,
    paused: AtomicBool,
}

impl Batch {
    pub(super) fn new(engine: EngineId, settings: BatchSettings, history: HistoryLog) -> Self {
        let queues = Queues {
            prefixes: PrefixCache::new(digest(engine.as_str().as_bytes())),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            imported: VecDeque::new(),
            version: WeightVersion(1),
        };
        Self {
            engine,
            settings,
            history,
            queues: Mutex::new(queues),
            paused: AtomicBool::new(false),
        }
    }

    pub(super) fn settings(&self) -> BatchSettings {
        self.settings
    }

    pub(super) fn submit(&self, generation: Generation) {
        let mut queues = self.queues.lock().expect("not poisoned");
        let waiting = queues.waiting.entry(generation.priority).or_default();
        waiting.push_back(generation);
    }

    /// Generations running and waiting.
    pub(super) fn load(&self) -> (usize, usize) {
        let queues = self.queues.lock().expect("not poisoned");
        let waiting = queues.waiting.values().map(VecDeque::len).sum();
        (queues.running.len(), waiting)
    }

    /// The state of a running generation.
    pub(super) fn export(&self, request: &RequestId) -> Option<KvState> {
        let queues = self.queues.lock().expect("not poisoned");
        let mut running = queues.running.iter();
        let found = running.find(|running| running.generation.request == *request)?;
        Some(KvState {
            prompt: found.generation.prompt.clone(),
            next_token: found.generation.next_token,
            version: queues.version,
        })
    }

    /// Takes a state in; false if other weights computed it.
    pub(super) fn import(&self, state: KvState) -> bool {
        let mut queues = self.queues.lock().expect("not poisoned");
        if state.version != queues.version {
            return false;
        }
        queues.imported.push_back(state.prompt);
        if queues.imported.len() > IMPORTS_LIMIT {
            queues.imported.pop_front();
        }
        true
    }

    /// Events of the prefix cache after a number, late and with gaps.
    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let queues = self.queues.lock().expect("not poisoned");
        queues.prefixes.events_after(after)
    }

    pub(super) fn version(&self) -> WeightVersion {
        self.queues.lock().expect("not poisoned").version
    }

    /// Uses other weights from the next step on, in the middle of what runs.
    pub(super) fn switch(&self, version: WeightVersion) {
        let mut queues = self.queues.lock().expect("not poisoned");
        queues.version = version;
        // A prefix that was computed with other weights is of no use.
        queues.prefixes.clear();
        queues.imported.clear();
    }

    pub(super) fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }

    /// Steps for as long as the engine lives.
    pub(super) async fn run(&self) {
        let mut ticker = tokio::time::interval(self.settings.step);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticker.tick().await;
            if !self.paused.load(Ordering::SeqCst) {
                self.step();
            }
        }
    }

    fn step(&self) {
        let mut queues = self.queues.lock().expect("not poisoned");
        self.admit(&mut queues);
        let version = queues.version;
        let mut still_running = Vec::with_capacity(queues.running.len());
        for mut running in std::mem::take(&mut queues.running) {
            if running.prefill_left > 0 {
                running.prefill_left -= 1;
                still_running.push(running);
            } else if self.produce(&mut running.generation, version) {
                still_running.push(running);
            }
        }
        queues.running = still_running;
    }

    fn admit(&self, queues: &mut Queues) {
        let capacity = self.settings.capacity;
        for (priority, places) in [
            (Priority::Live, capacity + LIVE_RESERVE),
            (Priority::Sample, capacity),
        ] {
            while queues.running.len() < places {
                let waiting = queues.waiting.entry(priority).or_default();
                let Some(generation) = waiting.pop_front() else {
                    break;
                };
                let prefill_left = queues.prefill_steps(&generation.prompt);
                queues.running.push(Running {
                    generation,
                    prefill_left,
                });
            }
        }
    }

    /// Produces a step's tokens. The history knows them before anybody else.
    /// False once the generation has ended or its caller has gone.
    fn produce(&self, generation: &mut Generation, version: WeightVersion) -> bool {
        if generation.chunks.is_closed() {
            return false;
        }
        let first_token = generation.next_token;
        let end = (first_token + self.settings.tokens_per_step).min(generation.length);
        let tokens: Vec<u32> = (first_token..end)
            .map(|index| model::token(&self.engine, &generation.prompt, version, index))
            .collect();
        generation.next_token = end;
        let has_ended = end >= generation.length;
        self.history.record(EventBody::TokensProduced {
            engine: self.engine.clone(),
            prompt: generation.prompt.clone(),
            version,
            first_token,
            tokens: tokens.clone(),
        });
        if has_ended {
            self.history.record(EventBody::TextEnded {
                engine: self.engine.clone(),
                prompt: generation.prompt.clone(),
                tokens: end,
            });
        }
        let chunk = Chunk {
            request: generation.request.clone(),
            first_token,
            tokens,
            version,
            end: has_ended,
        };
        // A caller that has gone is noticed at the next step.
        let _ = generation.chunks.send(chunk);
        !has_ended
    }
}
