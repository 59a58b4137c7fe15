//! Probes: who is asked next, and what follows when no answer comes.

use crate::member::{MemberState, MemberUpdate};
use crate::membership::{Membership, Outgoing};
use crate::message::Body;
use crate::pending_probe::Probe;
use rand::seq::SliceRandom;
use sloetrail_types::{NodeId, Timestamp};
use std::collections::BTreeSet;

const PROBE_HELPERS: usize = 2;
/// Probes for other nodes that are remembered.
const RELAYED_KEPT: u64 = 64;

impl Membership {
    pub(crate) fn probe_next(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let number = self.number();
        self.probes.insert(
            number,
            Probe {
                target: target.clone(),
                sent_at: now,
                helped: false,
            },
        );
        outgoing.push(self.outgoing(now, target, Body::Ping(number)));
    }

    fn next_target(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(target) = self.round.pop() {
                let state = self.state_of(&target);
                if state.is_some_and(|state| state <= MemberState::Suspect) {
                    return Some(target);
                }
            }
            self.round = self.members.keys().cloned().collect();
            self.round.shuffle(&mut self.random);
        }
        None
    }

    pub(crate) fn follow_probes(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let mut need_help = Vec::new();
        let mut failed = Vec::new();
        for (number, probe) in &mut self.probes {
            let age = now.since(probe.sent_at);
            if age >= self.settings.probe_timeout {
                failed.push(*number);
            } else if age >= self.settings.direct_timeout && !probe.helped {
                probe.helped = true;
                need_help.push((*number, probe.target.clone()));
            }
        }
        for (number, target) in need_help {
            let excluded = BTreeSet::from([target.clone()]);
            for helper in self.random_members(PROBE_HELPERS, &excluded) {
                let body = Body::PingRequest(number, target.clone());
                outgoing.push(self.outgoing(now, helper, body));
            }
        }
        for number in failed {
            if let Some(probe) = self.probes.remove(&number) {
                self.suspect(now, &probe.target);
            }
        }
    }

    pub(crate) fn suspect(&mut self, now: Timestamp, node: &NodeId) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        if member.state != MemberState::Alive {
            return;
        }
        member.state = MemberState::Suspect;
        member.changed_at = now;
        self.queue.push(MemberUpdate {
            node: node.clone(),
            incarnation: member.incarnation,
            state: MemberState::Suspect,
        });
    }

    /// Calls suspects dead whose time is over; true if there was one.
    pub(crate) fn expire_suspects(&mut self, now: Timestamp) -> bool {
        let mut expired = false;
        for (id, member) in &mut self.members {
            let age = now.since(member.changed_at);
            if member.state == MemberState::Suspect && age >= self.settings.suspicion_timeout {
                member.state = MemberState::Dead;
                member.changed_at = now;
                expired = true;
                self.queue.push(MemberUpdate {
                    node: id.clone(),
                    incarnation: member.incarnation,
                    state: MemberState::Dead,
                });
            }
        }
        self.relayed
            .retain(|number, _| number + RELAYED_KEPT > self.next_probe);
        expired
    }

    pub(crate) fn acknowledged(
        &mut self,
        now: Timestamp,
        number: u64,
        outgoing: &mut Vec<Outgoing>,
    ) {
        self.probes.remove(&number);
        if let Some(relayed) = self.relayed.remove(&number) {
            let body = Body::Ack(relayed.asker_probe);
            outgoing.push(self.outgoing(now, relayed.asker, body));
        }
    }
}
