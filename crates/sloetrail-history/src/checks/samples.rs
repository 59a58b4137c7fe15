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

/// What a recording without any engine's word on ends cannot show.
const LAST_EVENT: &str =
    "a sample's last event: the recording holds no engine's word where texts ended";

/// Where the engines said that texts ended.
struct TextEnds<'a> {
    /// By prompt, the numbers of tokens at which an engine ended the text.
    lengths: BTreeMap<&'a str, BTreeSet<u32>>,
}

impl<'a> TextEnds<'a> {
    fn of(history: &'a [Event]) -> Self {
        let mut lengths: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        for event in history {
            if let EventBody::TextEnded { prompt, tokens, .. } = &event.body {
                lengths.entry(prompt).or_default().insert(*tokens);
            }
        }
        Self { lengths }
    }

    /// True if the recording is of engines that did not write ends.
    fn are_unknown(&self) -> bool {
        self.lengths.is_empty()
    }

    /// Why a record that ends after so many tokens is not the whole text.
    fn missing_end(&self, sample: &SampleId, prompt: &str, tokens: u32) -> Option<String> {
        if self.are_unknown() {
            return None;
        }
        let Some(lengths) = self.lengths.get(prompt) else {
            return Some(format!("sample {sample}: no engine ended its text"));
        };
        (!lengths.contains(&tokens)).then(|| {
            format!("sample {sample} ends after {tokens} tokens, by the engines after {lengths:?}")
        })
    }
}

/// I1: each token of a sample was produced at its place by the engine and the
/// version that the record names for it, and the record leaves no token out: it ends where
/// an engine said that the text ended.
pub(super) fn exact_versions(history: &[Event]) -> Verdict {
    let produced = produced_tokens(history);
    let ends = TextEnds::of(history);
    let mut verdict = Verdict::new(Invariant::I1);
    for event in history {
        if let EventBody::SampleTaken {
            sample,
            prompt,
            segments,
            ..
        } = &event.body
        {
            let wrong = wrong_segment(&produced, sample, prompt, segments);
            let tokens: usize = segments.iter().map(|segment| segment.tokens.len()).sum();
            verdict.judge(wrong.or_else(|| ends.missing_end(sample, prompt, tokens as u32)));
        }
    }
    if verdict.checked > 0 && ends.are_unknown() {
        verdict.leave_unchecked(LAST_EVENT);
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
