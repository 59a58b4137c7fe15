//! What a pull hands over: the ledger's entries with their bodies.

use super::body_cache::BodyCache;
use crate::api::messages::{PullEntry, PullResponse, SampleBody, SampleEntry, WithdrawnEntry};
use crate::state::NodeState;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use sloetrail_ledger::{FinishedSample, HandOver, SampleRecord};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::SequenceNumber;

const OBJECT_READS_AT_A_TIME: usize = 16;

/// Reads the body of each entry. The answer ends before the first body that
/// cannot be read; the next pull goes on there.
pub(crate) async fn with_bodies(
    state: &NodeState,
    cache: &BodyCache,
    cursor: SequenceNumber,
    entries: Vec<HandOver>,
) -> Result<PullResponse, Problem> {
    let wanted = !entries.is_empty();
    let mut filled = stream::iter(entries)
        .map(|entry| fill(state, cache, entry))
        .buffered(OBJECT_READS_AT_A_TIME);
    let mut response = PullResponse {
        entries: Vec::new(),
        cursor,
    };
    while let Some(Some(entry)) = filled.next().await {
        response.cursor = entry.sequence();
        response.entries.push(entry);
    }
    if wanted && response.entries.is_empty() {
        let detail = "the object store does not answer";
        return Err(Problem::new(ResultCode::TableUnavailable, detail));
    }
    Ok(response)
}

async fn fill(state: &NodeState, cache: &BodyCache, entry: HandOver) -> Option<PullEntry> {
    match entry {
        HandOver::Withdrawn { sequence, id } => Some(PullEntry::Withdrawn(WithdrawnEntry {
            sequence,
            sample: id,
        })),
        HandOver::Sample { sequence, record } => {
            let result = record.status.result()?;
            let body = read_body(state, cache, &result.object).await?;
            let body: SampleBody = serde_json::from_slice(&body).ok()?;
            let entry = sample_entry(sequence, &record, result, body);
            Some(PullEntry::Sample(entry))
        }
    }
}

async fn read_body(state: &NodeState, cache: &BodyCache, key: &str) -> Option<Bytes> {
    if let Some(body) = cache.get(key) {
        return Some(body);
    }
    state.clients.objects.get(key).await.ok()?
}

fn sample_entry(
    sequence: SequenceNumber,
    record: &SampleRecord,
    result: &FinishedSample,
    body: SampleBody,
) -> SampleEntry {
    SampleEntry {
        sequence,
        sample: record.sample.id.clone(),
        step: record.step,
        segments: result.segments.clone(),
        score: result.score,
        tokens: body.tokens,
    }
}
