//! I4, I5 and I6.

use crate::event::{Event, EventBody, RunClass, SendOutcome};
use crate::verdict::{Invariant, Verdict};
use sloetrail_result::Kind;
use std::collections::{BTreeMap, BTreeSet};

/// I4: an answer is whole and repeats the marker of its own request.
pub(super) fn whole_answers(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I4);
    let mut markers: BTreeMap<&str, &str> = BTreeMap::new();
    for event in history {
        match &event.body {
            EventBody::RequestSent { send, marker, .. } => {
                markers.insert(send, marker);
            }
            EventBody::RequestEnded {
                send,
                outcome: SendOutcome::Answered { marker, whole, .. },
            } => verdict.judge(match markers.get(send.as_str()) {
                None => Some(format!("send {send} was answered but never sent")),
                Some(expected) if *expected != marker => Some(format!(
                    "send {send} received the answer to {marker}, not to {expected}"
                )),
                Some(_) if !whole => Some(format!("send {send} received a part of its answer")),
                Some(_) => None,
            }),
            _ => {}
        }
    }
    verdict
}

/// I5: no back end ever starts a sending that was answered as not run.
pub(super) fn not_run_is_true(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I5);
    let started: BTreeSet<&str> = history
        .iter()
        .filter_map(|event| match &event.body {
            EventBody::RunStarted { send, .. } => Some(send.as_str()),
            _ => None,
        })
        .collect();
    for event in history {
        if let EventBody::RequestEnded {
            send,
            outcome:
                SendOutcome::Refused {
                    kind: Kind::NotRun,
                    code,
                },
        } = &event.body
        {
            let ran = started.contains(send.as_str());
            verdict.judge(ran.then(|| format!("send {send} was called not run ({code}) but ran")));
        }
    }
    verdict
}

/// I6: a request that may not repeat is started at most once, over all the
/// sendings of its key.
pub(super) fn at_most_once(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I6);
    let mut identities: BTreeMap<&str, &str> = BTreeMap::new();
    let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
    for event in history {
        match &event.body {
            EventBody::RequestSent {
                send,
                class: RunClass::AtMostOnce,
                key,
                ..
            } => {
                let identity = key.as_deref().unwrap_or(send);
                identities.insert(send, identity);
                starts.entry(identity).or_default();
            }
            EventBody::RunStarted { send, .. } => {
                if let Some(identity) = identities.get(send.as_str()) {
                    *starts.entry(identity).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    for (identity, count) in starts {
        verdict.judge((count > 1).then(|| format!("request {identity} ran {count} times")));
    }
    verdict
}
