//! I1, I2 and I3.

use crate::event::{Event, EventBody, HandedSegment};
use crate::verdict::{Invariant, Verdict};
use sloetrail_types::{EngineId, RunName, SampleId, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};

/// A token as an engine produced it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ProducedToken<'a> {
    engine: &'a EngineId,
    prompt: &'a str,
    version: WeightVersion,
    index: u32,
    token: u32,
}

/// I1: each token of a sample was produced at its place by the engine and the
/// version that the record names for it, and the record leaves no token out.
pub(super) fn exact_versions(history: &[Event]) -> Verdict {
    let produced = produced_tokens(history);
    let mut verdict = Verdict::new(Invariant::I1);
    for event in history {
        if let EventBody::SampleTaken {
            sample,
            prompt,
            segments,
            ..
        } = &event.body
        {
            verdict.judge(wrong_segment(&produced, sample, prompt, segments));
        }
    }
    verdict
}

fn produced_tokens(history: &[Event]) -> BTreeSet<ProducedToken<'_>> {
    let mut produced = BTreeSet::new();
    for event in history {
        if let EventBody::TokensProduced {
            engine,
            prompt,
            version,
            first_token,
            tokens,
        } = &event.body
        {
            for (index, token) in (*first_token..).zip(tokens) {
                produced.insert(ProducedToken {
                    engine,
                    prompt,
                    version: *version,
                    index,
                    token: *token,
                });
            }
        }
    }
    produced
}

fn wrong_segment(
    produced: &BTreeSet<ProducedToken<'_>>,
    sample: &SampleId,
    prompt: &str,
    segments: &[HandedSegment],
) -> Option<String> {
    if segments.is_empty() {
        return Some(format!("sample {sample} names no version"));
    }
    let mut next_token = 0;
    for segment in segments {
        if segment.first_token != next_token || segment.tokens.is_empty() {
            let first = segment.first_token;
            return Some(format!(
                "sample {sample}: a segment starts at token {first}, not {next_token}"
            ));
        }
        for token in &segment.tokens {
            let claimed = ProducedToken {
                engine: &segment.engine,
                prompt,
                version: segment.version,
                index: next_token,
                token: *token,
            };
            if !produced.contains(&claimed) {
                return Some(format!(
                    "sample {sample}: token {next_token} was not produced by {} with version {}",
                    segment.engine, segment.version
                ));
            }
            next_token += 1;
        }
    }
    None
}

/// I2: the oldest token of a sample is within the bound of the trainer's version.
pub(super) fn staleness(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I2);
    for event in history {
        if let EventBody::SampleTaken {
            sample,
            trainer_version,
            staleness_bound,
            segments,
            ..
        } = &event.body
        {
            let oldest = segments.iter().map(|segment| segment.version).min();
            let oldest = oldest.unwrap_or_default();
            let behind = trainer_version.0.saturating_sub(oldest.0);
            verdict.judge((behind > *staleness_bound).then(|| {
                format!("sample {sample} is {behind} versions behind version {trainer_version}")
            }));
        }
    }
    verdict
}

/// I3: a sample whose submission was acknowledged is taken once, and nothing
/// else is taken.
pub(super) fn exactly_once(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I3);
    let mut submitted: BTreeSet<(&RunName, &SampleId)> = BTreeSet::new();
    let mut taken: BTreeMap<(&RunName, &SampleId), u64> = BTreeMap::new();
    let mut ended: BTreeSet<&RunName> = BTreeSet::new();
    for event in history {
        match &event.body {
            EventBody::SampleSubmitted { run, sample } => {
                submitted.insert((run, sample));
            }
            EventBody::SampleTaken { run, sample, .. } => {
                *taken.entry((run, sample)).or_default() += 1;
            }
            EventBody::TrainerEnded { run } => {
                ended.insert(run);
            }
            _ => {}
        }
    }
    for key in submitted.iter().filter(|key| ended.contains(key.0)) {
        let (run, sample) = key;
        let lost = !taken.contains_key(key);
        verdict.judge(lost.then(|| format!("sample {sample} of run {run} was lost")));
    }
    for ((run, sample), count) in &taken {
        let doubled = *count > 1;
        verdict.judge(doubled.then(|| format!("sample {sample} of run {run} came {count} times")));
        if !submitted.contains(&(*run, *sample)) {
            verdict.judge(Some(format!(
                "sample {sample} of run {run} was never submitted"
            )));
        }
    }
    verdict
}
