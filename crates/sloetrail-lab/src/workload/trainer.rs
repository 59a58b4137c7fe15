//! A trainer: submits a step's samples, pulls them, trains, publishes weights.

use super::http_json::{JsonAnswer, send_json};
use super::node_book::NodeBook;
use crate::history_log::HistoryLog;
use http::Method;
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sloetrail_clients::HttpClient;
use sloetrail_history::{EventBody, HandedSegment};
use sloetrail_ledger::NewSample;
use sloetrail_node::messages::{
    PublishRequest, PublishResponse, PullEntry, PullResponse, SampleEntry, SubmitRequest,
    SubmitResponse,
};
use sloetrail_types::{RunName, SampleId, SequenceNumber, ServiceName, StepNumber, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PULL_PAUSE: Duration = Duration::from_millis(50);
const PULL_LIMIT: usize = 256;
const GROUP_SIZE: usize = 4;

/// What a trainer does.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// Its run.
    pub run: RunName,
    /// The service whose weights it trains.
    pub service: ServiceName,
    /// The run's staleness bound, for the history.
    pub staleness_bound: u64,
    /// Samples a step.
    pub samples_per_step: usize,
    /// Time that it trains on a step.
    pub train_time: Duration,
    /// Steps that are submitted ahead of the one being pulled.
    pub steps_ahead: u64,
    /// Makes its sample ids unique.
    pub seed: u64,
}

/// What a trainer saw.
#[derive(Clone, Debug, Default)]
pub struct TrainerReport {
    /// Samples whose submission was acknowledged.
    pub submitted: u64,
    /// Samples taken in.
    pub taken: u64,
    /// Places that were withdrawn.
    pub withdrawn: u64,
    /// Steps trained.
    pub steps: u64,
    /// Time not spent training: waiting for samples, or for a call to be taken.
    pub idle: Duration,
    /// The whole time.
    pub total: Duration,
    /// The sum of the staleness of the samples taken, in versions.
    pub staleness_sum: u64,
    /// The highest staleness, in versions.
    pub staleness_max: u64,
    /// True if every submitted sample was taken before the end.
    pub complete: bool,
}

struct Trainer {
    settings: TrainerSettings,
    book: NodeBook,
    history: HistoryLog,
    http: HttpClient,
    random: StdRng,
    cursor: SequenceNumber,
    version: WeightVersion,
    prompts: BTreeMap<SampleId, String>,
    open: BTreeMap<StepNumber, BTreeSet<SampleId>>,
    trained: Duration,
    report: TrainerReport,
}

/// Trains until cancelled, then takes in what was submitted, within `last_wait`.
pub async fn run_trainer(
    settings: TrainerSettings,
    book: NodeBook,
    history: HistoryLog,
    cancel: CancellationToken,
    last_wait: Duration,
) -> TrainerReport {
    let random = StdRng::seed_from_u64(settings.seed);
    let mut trainer = Trainer {
        settings,
        book,
        history,
        http: HttpClient::new(),
        random,
        cursor: SequenceNumber(0),
        version: WeightVersion(1),
        prompts: BTreeMap::new(),
        open: BTreeMap::new(),
        trained: Duration::ZERO,
        report: TrainerReport::default(),
    };
    let started = Instant::now();
    trainer.train(&cancel).await;
    trainer.report.total = started.elapsed();
    trainer.report.idle = trainer.report.total.saturating_sub(trainer.trained);
    trainer.finish(last_wait).await;
    trainer.report
}

impl Trainer {
    async fn train(&mut self, cancel: &CancellationToken) {
        let mut next_step = StepNumber(1);
        let mut step = StepNumber(1);
        while !cancel.is_cancelled() {
            while next_step.0 <= step.0 + self.settings.steps_ahead {
                if !self.submit(next_step, cancel).await {
                    return;
                }
                next_step = next_step.next();
            }
            if !self.pull_step(step, cancel).await {
                return;
            }
            tokio::time::sleep(self.settings.train_time).await;
            self.trained += self.settings.train_time;
            self.version = self.version.next();
            self.publish(cancel).await;
            self.report.steps += 1;
            step = step.next();
        }
    }

    /// Takes in all that was submitted and acknowledges it.
    async fn finish(&mut self, last_wait: Duration) {
        let deadline = Instant::now() + last_wait;
        while !self.open.is_empty() && Instant::now() < deadline {
            self.pull_once(None).await;
        }
        self.report.complete = self.open.is_empty();
        if self.report.complete {
            self.pull_once(None).await;
        }
        self.history.record(EventBody::TrainerEnded {
            run: self.settings.run.clone(),
        });
    }

    async fn submit(&mut self, step: StepNumber, cancel: &CancellationToken) -> bool {
        let samples: Vec<NewSample> = (0..self.settings.samples_per_step)
            .map(|index| self.new_sample(step, index))
            .collect();
        let request = SubmitRequest {
            step,
            samples: samples.clone(),
        };
        let path = format!("/v1/runs/{}/samples", self.settings.run);
        let acknowledged: Option<SubmitResponse> =
            self.call_until(Method::POST, &path, &request, cancel).await;
        if acknowledged.is_none() {
            // Whether it took effect is not known, so nothing is expected of it.
            return false;
        }
        for sample in samples {
            self.history.record(EventBody::SampleSubmitted {
                run: self.settings.run.clone(),
                sample: sample.id.clone(),
            });
            self.open.entry(step).or_default().insert(sample.id.clone());
            self.prompts.insert(sample.id, sample.prompt);
            self.report.submitted += 1;
        }
        true
    }

    fn new_sample(&self, step: StepNumber, index: usize) -> NewSample {
        let id = format!(
            "{}-{}-{step}-{index}",
            self.settings.run, self.settings.seed
        );
        NewSample {
            prompt: format!("{id}: read the dial"),
            id: SampleId::new(id),
            group: Some(format!("{step}-{}", index / GROUP_SIZE)),
        }
    }

    async fn pull_step(&mut self, step: StepNumber, cancel: &CancellationToken) -> bool {
        while self.open.contains_key(&step) {
            if cancel.is_cancelled() {
                return false;
            }
            self.pull_once(Some(step)).await;
        }
        true
    }

    async fn pull_once(&mut self, through_step: Option<StepNumber>) {
        let through = through_step.map(|step| format!("&through_step={step}"));
        let path = format!(
            "/v1/runs/{}/samples?after={}&trainer_version={}&limit={PULL_LIMIT}{}",
            self.settings.run,
            self.cursor,
            self.version,
            through.unwrap_or_default()
        );
        let answer: Option<PullResponse> = self.call::<(), _>(Method::GET, &path, None).await;
        let Some(response) = answer else {
            tokio::time::sleep(RETRY_PAUSE).await;
            return;
        };
        if response.entries.is_empty() {
            tokio::time::sleep(PULL_PAUSE).await;
        }
        for entry in response.entries {
            self.cursor = entry.sequence();
            match entry {
                PullEntry::Sample(entry) => self.take(entry),
                PullEntry::Withdrawn(_) => self.report.withdrawn += 1,
            }
        }
    }

    fn take(&mut self, entry: SampleEntry) {
        let segments: Vec<HandedSegment> = entry
            .segments
            .iter()
            .map(|segment| HandedSegment {
                engine: segment.engine.clone(),
                version: segment.version,
                first_token: segment.first_token,
                tokens: tokens_of(&entry, segment.first_token, segment.last_token),
            })
            .collect();
        let covered: usize = segments.iter().map(|segment| segment.tokens.len()).sum();
        let oldest = segments.iter().map(|segment| segment.version).min();
        let staleness = self.version.0.saturating_sub(oldest.unwrap_or_default().0);
        self.report.staleness_sum += staleness;
        self.report.staleness_max = self.report.staleness_max.max(staleness);
        self.report.taken += 1;
        // A record that leaves tokens out names no version for them.
        let segments = if covered == entry.tokens.len() {
            segments
        } else {
            Vec::new()
        };
        self.history.record(EventBody::SampleTaken {
            run: self.settings.run.clone(),
            sample: entry.sample.clone(),
            sequence: entry.sequence,
            prompt: self.prompts.remove(&entry.sample).unwrap_or_default(),
            trainer_version: self.version,
            staleness_bound: self.settings.staleness_bound,
            segments,
        });
        if let Some(step) = self.open.get_mut(&entry.step) {
            step.remove(&entry.sample);
            if step.is_empty() {
                self.open.remove(&entry.step);
            }
        }
    }

    async fn publish(&mut self, cancel: &CancellationToken) {
        let path = format!("/v1/services/{}/weights", self.settings.service);
        let request = PublishRequest {
            version: self.version,
        };
        let _: Option<PublishResponse> =
            self.call_until(Method::POST, &path, &request, cancel).await;
    }

    /// Calls, on any node, until a node has answered or the run is cancelled.
    async fn call_until<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: &Q,
        cancel: &CancellationToken,
    ) -> Option<A> {
        loop {
            if let Some(answer) = self.call(method.clone(), path, Some(body)).await {
                return Some(answer);
            }
            if cancel.is_cancelled() {
                return None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Option<A> {
        let entry = self.book.any(&mut self.random)?;
        let answer: JsonAnswer<A> =
            send_json(&self.http, method, entry.address, path, body, CALL_TIMEOUT).await;
        answer.value()
    }
}

/// The tokens of a stretch; fewer if the record claims more than there are.
fn tokens_of(entry: &SampleEntry, first_token: u32, last_token: u32) -> Vec<u32> {
    let end = (last_token as usize + 1).min(entry.tokens.len());
    let start = (first_token as usize).min(end);
    entry.tokens[start..end].to_vec()
}
