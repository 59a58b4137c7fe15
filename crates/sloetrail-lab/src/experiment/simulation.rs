//! One policy on one seed.

use super::engine_model::{EngineModel, Job, WeightWork};
use super::lengths::length;
use super::report::{ExperimentReport, StalenessSummary};
use super::settings::{ExperimentSettings, Policy};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sloetrail_balance::{
    AttemptOutcome, Balancer, BalancerSettings, EngineReport, EngineRequirements, ListedEngine,
    ReportedState, WorkClass,
};
use sloetrail_ledger::{FinishedSample, HandOver, Ledger, Limits, NewSample, StoredRun};
use sloetrail_rollout::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep};
use sloetrail_types::{
    AllowedRegions, EngineId, Epoch, SampleId, SequenceNumber, StepNumber, Timestamp, Topology,
    WeightVersion, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const TICK_SECONDS: f64 = 0.05;
const TICKS_LIMIT: u64 = 4_000_000;
const PULL_LIMIT: usize = 100_000;

/// Where a sample of the simulation stands in its run.
#[derive(Clone, Copy)]
struct Place {
    step: u64,
    index: usize,
}

enum TrainerState {
    Waiting,
    Training { until: f64 },
}

struct Simulation<'a> {
    settings: &'a ExperimentSettings,
    policy: Policy,
    seed: u64,
    now: f64,
    engines: Vec<EngineModel>,
    ledger: Ledger,
    balancer: Balancer,
    random: StdRng,
    rollout: RolloutPlanner,
    places: BTreeMap<SampleId, Place>,
    missing: BTreeMap<u64, usize>,
    next_engine: usize,
    reported_at: f64,
    submitted_step: u64,
    step: u64,
    version: WeightVersion,
    published_at: f64,
    cursor: SequenceNumber,
    trainer: TrainerState,
    idle: f64,
    staleness: Vec<u64>,
    regenerated: u64,
    tokens_wasted: u64,
    rollout_seconds_max: f64,
    work: f64,
    longest_per_step: BTreeMap<u64, f64>,
}

/// Runs one policy on one seed.
pub fn simulate(settings: &ExperimentSettings, policy: Policy, seed: u64) -> ExperimentReport {
    let mut simulation = Simulation::new(settings, policy, seed);
    for _ in 0..TICKS_LIMIT {
        if simulation.step > settings.steps {
            break;
        }
        simulation.tick();
    }
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(settings: &'a ExperimentSettings, policy: Policy, seed: u64) -> Self {
        let ids: Vec<EngineId> = (0..settings.engines)
            .map(|index| EngineId::new(format!("engine-{index:03}")))
            .collect();
        let zone = ZoneName::from("zone");
        let mut balancer = Balancer::new(BalancerSettings {
            node: "owner".to_owned(),
            topology: Topology::of_zone(zone.clone()),
            view_freshness: Duration::from_secs(3_600),
            // A quarter of the places is kept for live requests.
            engine_concurrency: settings.engine_capacity * 4 / 3 + 1,
        });
        let listed = |id: &EngineId| ListedEngine::ready(id.clone(), zone.clone());
        balancer.set_engines(Timestamp(0), ids.iter().map(listed).collect());
        let limits = Limits {
            staleness_bound: settings.staleness_bound,
            unfinished_limit: usize::MAX,
        };
        Self {
            settings,
            policy,
            seed,
            now: 0.0,
            engines: ids.into_iter().map(EngineModel::new).collect(),
            ledger: Ledger::recover(limits, Epoch(1), StoredRun::default()),
            balancer,
            random: StdRng::seed_from_u64(seed),
            rollout: RolloutPlanner::new(RolloutLimits {
                store_reads: 2,
                peer_reads: 2,
                capacity_floor_percent: settings.capacity_floor_percent,
            }),
            places: BTreeMap::new(),
            missing: BTreeMap::new(),
            next_engine: 0,
            reported_at: f64::NEG_INFINITY,
            submitted_step: 0,
            step: 1,
            version: WeightVersion(1),
            published_at: 0.0,
            cursor: SequenceNumber(0),
            trainer: TrainerState::Waiting,
            idle: 0.0,
            staleness: Vec::new(),
            regenerated: 0,
            tokens_wasted: 0,
            rollout_seconds_max: 0.0,
            work: 0.0,
            longest_per_step: BTreeMap::new(),
        }
    }

    fn tick(&mut self) {
        self.now += TICK_SECONDS;
        self.submit_due();
        self.report_loads();
        self.dispatch();
        self.advance_engines();
        self.advance_weights();
        self.advance_trainer();
        self.ledger.take_changes();
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp((self.now * 1_000.0) as u64)
    }

    /// The synchronous baseline waits until its weights are on every engine.
    fn must_wait_for_weights(&self) -> bool {
        let behind = |engine: &EngineModel| engine.version != self.version;
        self.policy == Policy::Baseline && self.engines.iter().any(behind)
    }

    fn submit_due(&mut self) {
        if self.must_wait_for_weights() {
            return;
        }
        let ahead = match self.policy.submits_ahead() {
            true => self.settings.steps_ahead,
            false => 0,
        };
        while self.submitted_step < (self.step + ahead).min(self.settings.steps) {
            self.submitted_step += 1;
            self.submit(self.submitted_step);
        }
    }

    fn submit(&mut self, step: u64) {
        let mut samples = Vec::new();
        for index in 0..self.settings.samples_per_step {
            let id = SampleId::new(format!("{step:06}-{index:06}"));
            let tokens = length(self.settings, self.seed, step, index);
            self.work += tokens;
            let longest = self.longest_per_step.entry(step).or_default();
            *longest = longest.max(tokens);
            self.places.insert(id.clone(), Place { step, index });
            samples.push(NewSample {
                id,
                prompt: String::new(),
                group: self.group_of(index),
            });
        }
        self.missing.insert(step, samples.len());
        let submitted = self.ledger.submit(StepNumber(step), samples);
        submitted.expect("steps are submitted in order");
    }

    /// Groups recur from step to step, as prompts do.
    fn group_of(&self, index: usize) -> Option<String> {
        let predicts = self.policy.predicts_lengths();
        predicts.then(|| format!("group-{}", index / self.settings.group_size))
    }

    fn report_loads(&mut self) {
        if self.now - self.reported_at < self.settings.report_lag_seconds {
            return;
        }
        self.reported_at = self.now;
        let observed_at = self.timestamp();
        for engine in &self.engines {
            let report = EngineReport {
                observed_at,
                state: ReportedState::Serving,
                load: engine.load() as u32,
                capacity: self.settings.engine_capacity as u32,
                version: engine.version,
            };
            self.balancer.report(&engine.id, report);
        }
    }

    fn dispatch(&mut self) {
        while self.ledger.queued() > 0 {
            let place = match self.policy.is_baseline() {
                true => {
                    self.next_engine = (self.next_engine + 1) % self.engines.len();
                    Some(self.next_engine)
                }
                false => self.choose_engine(),
            };
            // A sample is only taken once it has a place.
            let Some(place) = place else { return };
            let version = self.version_for_dispatch(place);
            let Some(record) = self.ledger.start_next(version) else {
                self.give_back(place);
                return;
            };
            let id = record.sample.id;
            let of_run = self.places[&id];
            self.engines[place].waiting.push_back(Job {
                length: length(self.settings, self.seed, of_run.step, of_run.index),
                sample: id,
                generation: record.generation,
                done: 0.0,
                segments: Vec::new(),
            });
        }
    }

    /// The engine's weights as reported, for the ledger's choice of step. The
    /// baseline sends samples whatever the engine uses.
    fn version_for_dispatch(&self, place: usize) -> WeightVersion {
        match self.policy.minds_versions() {
            true => self.balancer.version_of(&self.engines[place].id),
            false => WeightVersion(u64::MAX),
        }
    }

    /// Returns a place that no sample was taken for.
    fn give_back(&mut self, place: usize) {
        let now = self.timestamp();
        let id = &self.engines[place].id;
        self.balancer.finish(now, id, AttemptOutcome::Abandoned);
    }

    fn choose_engine(&mut self) -> Option<usize> {
        let now = self.timestamp();
        let nobody = BTreeSet::new();
        let balancer = &mut self.balancer;
        let demand = EngineRequirements {
            class: WorkClass::Sample,
            excluded: &nobody,
            regions: &AllowedRegions::everywhere(),
        };
        let id = balancer.choose(now, &mut self.random, demand)?;
        self.engines.iter().position(|engine| engine.id == id)
    }

    fn advance_engines(&mut self) {
        let mut ended = Vec::new();
        for engine in &mut self.engines {
            let jobs = engine.advance(self.settings, self.now, TICK_SECONDS);
            ended.extend(jobs.into_iter().map(|job| (engine.id.clone(), job)));
        }
        let now = self.timestamp();
        for (engine, job) in ended {
            self.balancer.finish(now, &engine, AttemptOutcome::Answered);
            self.finish(job);
        }
    }

    fn finish(&mut self, job: Job) {
        let result = FinishedSample {
            segments: job.segments,
            token_count: job.length as u32,
            object: String::new(),
            score: 0.0,
        };
        self.ledger.finish(&job.sample, job.generation, result);
    }

    fn advance_weights(&mut self) {
        let now = self.timestamp();
        let settings = self.settings;
        for engine in &mut self.engines {
            match engine.work {
                WeightWork::Loading { version, until } if self.now >= until => {
                    engine.loaded.insert(version);
                    engine.work = WeightWork::Nothing;
                    self.rollout.finish(now, &engine.id, true);
                }
                WeightWork::Emptying { version } if engine.running.is_empty() => {
                    engine.work = WeightWork::Switching {
                        version,
                        until: self.now + settings.switch_seconds,
                    };
                }
                WeightWork::Switching { version, until } if self.now >= until => {
                    engine.version = version;
                    engine.loaded = BTreeSet::from([version]);
                    engine.work = WeightWork::Nothing;
                    self.rollout.finish(now, &engine.id, true);
                }
                _ => {}
            }
        }
        self.start_weight_steps(now);
    }

    fn start_weight_steps(&mut self, now: Timestamp) {
        let weights: BTreeMap<EngineId, EngineWeights> = self
            .engines
            .iter()
            .map(|engine| {
                let weights = EngineWeights {
                    version: engine.version,
                    loaded: engine.loaded.clone(),
                };
                (engine.id.clone(), weights)
            })
            .collect();
        if weights.values().all(|held| held.version == self.version) {
            return;
        }
        let elapsed = self.now - self.published_at;
        self.rollout_seconds_max = self.rollout_seconds_max.max(elapsed);
        for step in self.rollout.next_steps(now, self.version, &weights) {
            let engine = self
                .engines
                .iter_mut()
                .find(|engine| engine.id == *step.engine())
                .expect("the planner knows no others");
            engine.work = match step {
                RolloutStep::Load { version, .. } => WeightWork::Loading {
                    version,
                    until: self.now + self.settings.load_seconds,
                },
                RolloutStep::Switch { version, .. } if self.policy.swaps_mid_sample() => {
                    WeightWork::Switching {
                        version,
                        until: self.now + self.settings.switch_seconds,
                    }
                }
                RolloutStep::Switch { version, .. } => WeightWork::Emptying { version },
            };
        }
    }

    fn advance_trainer(&mut self) {
        match self.trainer {
            TrainerState::Training { until } if self.now >= until => {
                self.version = self.version.next();
                self.published_at = self.now;
                self.step += 1;
                self.trainer = TrainerState::Waiting;
            }
            TrainerState::Training { .. } => {}
            TrainerState::Waiting => {
                self.idle += TICK_SECONDS;
                self.pull();
                if self.missing.get(&self.step) == Some(&0) {
                    self.trainer = TrainerState::Training {
                        until: self.now + self.settings.train_seconds,
                    };
                }
            }
        }
    }

    fn pull(&mut self) {
        let entries = self
            .ledger
            .pull(
                self.cursor,
                PULL_LIMIT,
                self.version,
                Some(StepNumber(self.step)),
            )
            .expect("the trainer keeps to the rules");
        for entry in entries {
            match entry {
                HandOver::Withdrawn { sequence, .. } => self.cursor = sequence,
                HandOver::Sample { sequence, record } => {
                    self.cursor = sequence;
                    if let Some(result) = record.status.result() {
                        self.staleness.push(result.staleness(self.version));
                        self.regenerated += u64::from(record.generation);
                        let again = u64::from(record.generation) * u64::from(result.token_count);
                        self.tokens_wasted += again;
                    }
                    if let Some(missing) = self.missing.get_mut(&record.step.0) {
                        *missing -= 1;
                    }
                }
            }
        }
    }

    fn report(self) -> ExperimentReport {
        let settings = self.settings;
        let capacity = settings.engines as f64
            * settings.engine_capacity as f64
            * settings.tokens_per_second_full;
        let steps = self.longest_per_step.len().max(1) as f64;
        let work_seconds = self.work / steps / capacity;
        let longest: f64 = self.longest_per_step.values().sum::<f64>() / steps;
        let longest_seconds = longest / settings.tokens_per_second_alone;
        let one_step = work_seconds.max(longest_seconds);
        let train = settings.train_seconds;
        ExperimentReport {
            experiment: settings.name.clone(),
            policy: self.policy,
            seed: self.seed,
            idle_share: self.idle / self.now,
            idle_bound_one_step: one_step / (one_step + train),
            idle_bound_overlapping: (work_seconds - train).max(0.0) / work_seconds.max(train),
            staleness: StalenessSummary::of(self.staleness),
            regenerated: self.regenerated,
            tokens_wasted: self.tokens_wasted,
            seconds: self.now,
            rollout_seconds_max: self.rollout_seconds_max,
        }
    }
}
