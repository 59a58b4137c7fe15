//! Generating, scoring and storing one sample.
//!
//! Tokens come as a stream of stamped chunks. When an engine is lost, the tokens
//! received so far stay, and another engine goes on after them; the sample's
//! segments name every engine and version that produced a part.

use super::body_cache::BodyCache;
use crate::api::messages::SampleBody;
use crate::gateway::{ServicePool, Slot};
use crate::state::NodeState;
use bytes::Bytes;
use sloetrail_balance::{AttemptOutcome, WorkClass};
use sloetrail_clients::{CallError, Chunk, ChunkStream, GenerateRequest, Priority, ScoreRequest};
use sloetrail_config::Run;
use sloetrail_ledger::{FinishedSample, SampleRecord};
use sloetrail_types::{EngineId, Epoch, RequestId, Segment};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const CHUNK_TIMEOUT: Duration = Duration::from_millis(3_000);
const ENGINE_WAIT: Duration = Duration::from_secs(30);
const STORE_RETRY_FIRST: Duration = Duration::from_millis(100);
const STORE_RETRY_LIMIT: Duration = Duration::from_millis(2_000);
const ENGINES_PER_ATTEMPT: usize = 8;

/// A sample to run.
pub(crate) struct SampleJob {
    pub(crate) run: Run,
    pub(crate) epoch: Epoch,
    pub(crate) record: SampleRecord,
}

#[derive(Default)]
struct Generated {
    tokens: Vec<u32>,
    segments: Vec<Segment>,
}

impl Generated {
    /// Takes in a chunk that follows what is there.
    fn append(&mut self, engine: &EngineId, chunk: &Chunk) {
        if chunk.tokens.is_empty() {
            return;
        }
        let first_token = self.tokens.len() as u32;
        self.tokens.extend_from_slice(&chunk.tokens);
        let last_token = self.tokens.len() as u32 - 1;
        match self.segments.last_mut() {
            Some(last) if last.engine == *engine && last.version == chunk.version => {
                last.last_token = last_token;
            }
            _ => self.segments.push(Segment {
                engine: engine.clone(),
                version: chunk.version,
                first_token,
                last_token,
            }),
        }
    }
}

/// Runs a sample to its stored result; nothing if it must be run again.
pub(crate) async fn run_sample(
    state: &Arc<NodeState>,
    pool: &Arc<ServicePool>,
    bodies: &BodyCache,
    first_slot: Slot,
    job: SampleJob,
) -> Option<FinishedSample> {
    let generated = generate(state, pool, first_slot, &job).await?;
    let score = score(state, &job, &generated).await;
    let object = format!(
        "runs/{}/samples/{}/{}/{}/{}",
        job.run.name,
        job.record.sample.id,
        job.record.generation,
        job.epoch,
        state.unique_number()
    );
    let token_count = generated.tokens.len() as u32;
    let body = SampleBody {
        tokens: generated.tokens,
    };
    let body = Bytes::from(serde_json::to_vec(&body).ok()?);
    store(state, &object, &body).await;
    bodies.insert(object.clone(), body);
    Some(FinishedSample {
        segments: generated.segments,
        token_count,
        object,
        score,
    })
}

async fn generate(
    state: &Arc<NodeState>,
    pool: &Arc<ServicePool>,
    first_slot: Slot,
    job: &SampleJob,
) -> Option<Generated> {
    let mut generated = Generated::default();
    let mut slot = first_slot;
    for _ in 0..ENGINES_PER_ATTEMPT {
        let engine = slot.engine().clone();
        let outcome = generate_on(state, pool, &engine, job, &mut generated).await;
        match outcome {
            Ok(()) => {
                slot.end(AttemptOutcome::Answered);
                return Some(generated);
            }
            Err(CallError::NotExecuted { .. }) => slot.end(AttemptOutcome::Refused),
            Err(CallError::Unknown { reason }) => {
                log::debug!(target: "ledger", "Engine {engine} was lost: {reason}.");
                slot.end(AttemptOutcome::Lost);
            }
        }
        let deadline = Instant::now() + ENGINE_WAIT;
        let nobody = BTreeSet::new();
        let acquired = pool.acquire(WorkClass::Sample, &nobody, deadline).await;
        slot = acquired.ok()?;
    }
    None
}

async fn generate_on(
    state: &NodeState,
    pool: &ServicePool,
    engine: &EngineId,
    job: &SampleJob,
    generated: &mut Generated,
) -> Result<(), CallError> {
    let directory = state.directory();
    let machine = directory.engine(engine.as_str());
    let Some(address) = machine.map(|machine| machine.address) else {
        return Err(CallError::NotExecuted {
            reason: "the engine is not on the machine list".to_owned(),
        });
    };
    let request = GenerateRequest {
        request: RequestId::new(format!("{}/{}", state.settings.node, state.unique_number())),
        prompt: job.record.sample.prompt.clone(),
        token_limit: job.run.sample_token_limit,
        priority: Priority::Sample,
        resume_tokens: generated.tokens.clone(),
    };
    let engines = &state.clients.engines;
    let started = tokio::time::timeout(CHUNK_TIMEOUT, engines.generate(address, &request));
    let mut stream = started.await.map_err(|_| silent())??;
    loop {
        let chunk = next_chunk(&mut stream).await?;
        let in_place = chunk.first_token as usize == generated.tokens.len();
        if chunk.request != request.request || !in_place {
            return Err(CallError::Unknown {
                reason: "a chunk is out of place or of another request".to_owned(),
            });
        }
        pool.confirm(engine, chunk.version);
        generated.append(engine, &chunk);
        if chunk.end {
            return Ok(());
        }
    }
}

async fn next_chunk(stream: &mut ChunkStream) -> Result<Chunk, CallError> {
    let next = tokio::time::timeout(CHUNK_TIMEOUT, stream.next());
    next.await
        .map_err(|_| silent())??
        .ok_or_else(|| CallError::Unknown {
            reason: "the stream ended without its end marker".to_owned(),
        })
}

fn silent() -> CallError {
    CallError::Unknown {
        reason: "the engine fell silent".to_owned(),
    }
}

/// Scores until the scoring service answers.
async fn score(state: &NodeState, job: &SampleJob, generated: &Generated) -> f64 {
    let request = ScoreRequest {
        sample: job.record.sample.id.clone(),
        prompt: job.record.sample.prompt.clone(),
        tokens: generated.tokens.clone(),
    };
    let mut pause = STORE_RETRY_FIRST;
    loop {
        if let Ok(response) = state.clients.scoring.score(&request).await {
            return response.score;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(STORE_RETRY_LIMIT);
    }
}

/// Stores a body until the object store has taken it.
async fn store(state: &NodeState, key: &str, body: &Bytes) {
    let mut pause = STORE_RETRY_FIRST;
    while let Err(error) = state.clients.objects.put(key, body.to_vec()).await {
        log::debug!(target: "ledger", "Object {key} was not stored: {error}.");
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(STORE_RETRY_LIMIT);
    }
}
