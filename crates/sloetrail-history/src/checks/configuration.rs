//! I9.
//!
//! Every accepted apply carries its revision, so the revisions order the applies
//! in one way only, and a linearizability check needs no search: revisions are
//! unique, they follow real time, and no read that starts after a write or
//! another read has ended shows less. That is why no general checker is used.

use super::CheckBounds;
use crate::event::{ApplyOutcome, Event, EventBody, SendOutcome};
use crate::verdict::{Invariant, Verdict};
use sloetrail_types::{ApplyId, NodeId, Revision};
use std::collections::BTreeMap;

#[derive(Default)]
struct Register<'a> {
    /// The highest revision accepted up to each time.
    accepted: Vec<(u64, Revision)>,
    applies: BTreeMap<&'a ApplyId, ApplyOutcome>,
    by_revision: BTreeMap<Revision, &'a ApplyId>,
    sent: BTreeMap<&'a ApplyId, Revision>,
}

impl<'a> Register<'a> {
    fn highest_accepted_by(&self, at_us: u64) -> Revision {
        let accepted = self.accepted.iter().filter(|(at, _)| *at <= at_us);
        accepted
            .map(|(_, revision)| *revision)
            .max()
            .unwrap_or_default()
    }

    fn answered(
        &mut self,
        at_us: u64,
        apply: &'a ApplyId,
        outcome: ApplyOutcome,
    ) -> Option<String> {
        let before = self.applies.insert(apply, outcome);
        match (before, outcome) {
            (Some(ApplyOutcome::Accepted(was)), ApplyOutcome::Accepted(now)) if was != now => {
                return Some(format!("apply {apply} was revision {was}, then {now}"));
            }
            (Some(ApplyOutcome::Accepted(was)), ApplyOutcome::Refused) => {
                return Some(format!("apply {apply} was revision {was}, then refused"));
            }
            (Some(ApplyOutcome::Refused), ApplyOutcome::Accepted(now)) => {
                return Some(format!("apply {apply} was refused, then revision {now}"));
            }
            _ => {}
        }
        let ApplyOutcome::Accepted(revision) = outcome else {
            return None;
        };
        let owner = self.by_revision.insert(revision, apply);
        if let Some(other) = owner.filter(|other| *other != apply) {
            return Some(format!("revision {revision} is both {other} and {apply}"));
        }
        let at_send = self.sent.get(apply).copied().unwrap_or_default();
        if revision <= at_send {
            return Some(format!(
                "apply {apply} became revision {revision}, but {at_send} was accepted before it was sent"
            ));
        }
        self.accepted.push((at_us, revision));
        None
    }
}

/// I9: applies form one order, and no request or read that starts later than the
/// bound after an acceptance sees an older revision; no node ever goes back.
pub(super) fn in_force_and_never_reverts(history: &[Event], bounds: CheckBounds) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I9);
    let bound = CheckBounds::microseconds(bounds.in_force);
    let mut register = Register::default();
    let mut seen_by_node: BTreeMap<&NodeId, Revision> = BTreeMap::new();
    let mut sends: BTreeMap<&str, u64> = BTreeMap::new();
    for event in history {
        match &event.body {
            EventBody::ApplySent { apply } => {
                let highest = register.highest_accepted_by(event.at_us);
                register.sent.insert(apply, highest);
            }
            EventBody::ApplyAnswered { apply, outcome } => {
                verdict.judge(register.answered(event.at_us, apply, *outcome));
            }
            EventBody::RevisionRead { node, revision, .. } => {
                let seen = seen_by_node.entry(node).or_default();
                verdict.judge(
                    (*revision < *seen).then(|| {
                        format!("node {node} went back from revision {seen} to {revision}")
                    }),
                );
                *seen = (*seen).max(*revision);
            }
            EventBody::RequestSent { send, .. } => {
                sends.insert(send, event.at_us);
            }
            EventBody::RequestEnded {
                send,
                outcome: SendOutcome::Answered { revision, .. },
            } => {
                let Some(sent_at) = sends.get(send.as_str()) else {
                    continue;
                };
                let due = register.highest_accepted_by(sent_at.saturating_sub(bound));
                verdict.judge((*revision < due).then(|| {
                    format!("send {send} was served by revision {revision} when {due} was due")
                }));
            }
            _ => {}
        }
    }
    verdict
}
