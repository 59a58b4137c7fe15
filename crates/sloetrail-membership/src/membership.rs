//! Failure detection and dissemination for one node.

use crate::gossip_queue::GossipQueue;
use crate::member::{Member, MemberState, MemberUpdate};
use crate::message::{Body, EngineNews, Envelope, NameDigest, ServiceCapacity, View, ZoneSummary};
use crate::pending_probe::{Probe, RelayedProbe};
use crate::zones::ZoneTable;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sloetrail_types::{NodeId, Revision, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const FORMAT: u8 = 1;
const SUMMARY_SENDERS_PER_ZONE: usize = 2;
/// Time for which the zone's speakers are told again of a new revision.
const ANNOUNCE_FOR: Duration = Duration::from_secs(3);
const RUMOR_FANOUT: usize = 3;

/// The periods of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two probes of a node.
    pub probe_period: Duration,
    /// Time until a probe is repeated through helpers.
    pub direct_timeout: Duration,
    /// Time until a node that did not answer is suspected.
    pub probe_timeout: Duration,
    /// Time that a suspected node has to refute.
    pub suspicion_timeout: Duration,
    /// Time between two summaries to the other zones.
    pub summary_period: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(400),
            suspicion_timeout: Duration::from_millis(1_000),
            summary_period: Duration::from_millis(1_000),
        }
    }
}

/// A node as the machine list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNode {
    /// The node.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneName,
}

/// A datagram to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The datagram.
    pub envelope: Envelope,
}

/// One node's view of its zone and of the other zones.
#[derive(Debug)]
pub struct Membership {
    node: NodeId,
    zone: ZoneName,
    pub(crate) settings: MembershipSettings,
    incarnation: u64,
    leaving: bool,
    pub(crate) members: BTreeMap<NodeId, Member>,
    remote: BTreeMap<ZoneName, Vec<NodeId>>,
    zones: ZoneTable,
    pub(crate) queue: GossipQueue,
    pub(crate) round: Vec<NodeId>,
    pub(crate) probes: BTreeMap<u64, Probe>,
    pub(crate) relayed: BTreeMap<u64, RelayedProbe>,
    pub(crate) next_probe: u64,
    probed_at: Option<Timestamp>,
    summary_at: Option<Timestamp>,
    view: View,
    view_set_at: Timestamp,
    capacity: Vec<ServiceCapacity>,
    vouches: bool,
    /// Until then the zone's speakers are told again of a new revision.
    announce_until: Timestamp,
    /// What the other zones were last told that all members hold.
    told_held_by_all: Revision,
    pub(crate) random: StdRng,
}

impl Membership {
    /// A node that knows nobody yet. `seed` drives its random choices.
    pub fn new(node: NodeId, zone: ZoneName, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            node,
            zone,
            settings,
            incarnation: 1,
            leaving: false,
            members: BTreeMap::new(),
            remote: BTreeMap::new(),
            zones: ZoneTable::default(),
            queue: GossipQueue::default(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            next_probe: 1,
            probed_at: None,
            summary_at: None,
            view: View::default(),
            view_set_at: Timestamp::default(),
            capacity: Vec::new(),
            vouches: false,
            announce_until: Timestamp::default(),
            told_held_by_all: Revision(0),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes in the machine list: new nodes of the zone become candidates, nodes
    /// that it no longer has are dropped.
    pub fn set_candidates(&mut self, now: Timestamp, peers: &[PeerNode]) {
        let mut own_zone = BTreeSet::new();
        self.remote.clear();
        for peer in peers.iter().filter(|peer| peer.id != self.node) {
            if peer.zone == self.zone {
                own_zone.insert(peer.id.clone());
            } else {
                let nodes = self.remote.entry(peer.zone.clone()).or_default();
                nodes.push(peer.id.clone());
            }
        }
        self.members.retain(|id, _| own_zone.contains(id));
        for id in own_zone {
            self.members.entry(id).or_insert(Member {
                incarnation: 0,
                revision: Revision(0),
                state: MemberState::Alive,
                changed_at: now,
            });
        }
    }

    /// Sets what this node tells of itself. News of a new revision goes to some
    /// members at once.
    pub fn set_view(&mut self, now: Timestamp, view: View) -> Vec<Outgoing> {
        let new_revision = view.revision > self.view.revision;
        let news = new_revision || view.list_version > self.view.list_version;
        self.view = view;
        self.view_set_at = now;
        if !news {
            return Vec::new();
        }
        let mut outgoing = self.spread_rumor(now);
        if new_revision {
            self.announce_until = now.after(ANNOUNCE_FOR);
            outgoing.extend(self.tell_speakers(now));
        }
        outgoing.extend(self.tell_zones(now));
        outgoing
    }

    /// Tells the zone's speakers what this node holds.
    fn tell_speakers(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let alive = self.alive();
        let speakers = alive.into_iter().take(SUMMARY_SENDERS_PER_ZONE);
        let others: Vec<NodeId> = speakers.filter(|id| *id != self.node).collect();
        others.into_iter().map(|to| self.news(now, to)).collect()
    }

    /// Tells one node of each other zone of this one, if this node speaks for it.
    fn tell_zones(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if !self.sends_summaries() {
            return Vec::new();
        }
        self.told_held_by_all = self.held_by_all();
        let receivers = self.one_node_of_each_zone();
        let send = |to| self.news(now, to);
        receivers.into_iter().map(send).collect()
    }

    /// Sets whether this node speaks for its zone. It must not before it has held a
    /// revision that was in force, nor after a pause until it does so again.
    pub fn set_vouching(&mut self, vouches: bool) {
        self.vouches = vouches;
    }

    /// Sets what this node tells the other zones of its zone's engines.
    pub fn set_capacity(&mut self, capacity: Vec<ServiceCapacity>) {
        self.capacity = capacity;
    }

    /// The nodes of the zone that may be alive, this one included unless it leaves.
    pub fn alive(&self) -> BTreeSet<NodeId> {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.state <= MemberState::Suspect)
            .map(|(id, _)| id.clone());
        let own = (!self.leaving).then(|| self.node.clone());
        others.chain(own).collect()
    }

    /// The state of a member of the zone.
    pub fn state_of(&self, node: &NodeId) -> Option<MemberState> {
        self.members.get(node).map(|member| member.state)
    }

    /// What is known of the other zones.
    pub fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    /// Marks this node as leaving and tells everybody in the zone.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Outgoing> {
        self.leaving = true;
        self.queue.push(self.own_update());
        let members: Vec<NodeId> = self.members.keys().cloned().collect();
        members.into_iter().map(|to| self.news(now, to)).collect()
    }

    /// Datagrams that carry news of engines to every member.
    pub fn engine_news(&mut self, now: Timestamp, news: &[EngineNews]) -> Vec<Outgoing> {
        let receivers: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.state <= MemberState::Suspect)
            .map(|(id, _)| id.clone())
            .collect();
        let send = |to| Outgoing {
            to,
            envelope: Envelope {
                format: FORMAT,
                from: self.node.clone(),
                view: self.view_at(now),
                updates: Vec::new(),
                zones: Vec::new(),
                body: Body::Engines(news.to_vec()),
            },
        };
        receivers.into_iter().map(send).collect()
    }

    /// Does what is due: probes, helpers, suspicions, summaries.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.expire_suspects(now) {
            outgoing.extend(self.spread_rumor(now));
        }
        self.follow_probes(now, &mut outgoing);
        if self.is_due(self.probed_at, self.settings.probe_period, now) {
            self.probed_at = Some(now);
            self.probe_next(now, &mut outgoing);
            if now < self.announce_until {
                outgoing.extend(self.tell_speakers(now));
            }
        }
        if self.is_due(self.summary_at, self.settings.summary_period, now) {
            self.summary_at = Some(now);
            outgoing.extend(self.tell_zones(now));
        }
        outgoing
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Timestamp, envelope: &Envelope) -> Vec<Outgoing> {
        if envelope.format != FORMAT {
            return Vec::new();
        }
        self.hear_from(now, &envelope.from);
        self.hear_revision(&envelope.from, envelope.view.revision);
        let mut departure = false;
        for update in &envelope.updates {
            let news = self.take_update(now, update);
            departure |= news && update.state >= MemberState::Dead;
        }
        for summary in &envelope.zones {
            if summary.zone != NameDigest::of(self.zone.as_str()) {
                self.zones.observe(now, summary);
            }
        }
        let mut outgoing = match departure {
            true => self.spread_rumor(now),
            false => Vec::new(),
        };
        match &envelope.body {
            Body::Ping(probe) => {
                let body = Body::Ack(*probe);
                outgoing.push(self.outgoing(now, envelope.from.clone(), body));
            }
            Body::Ack(probe) => self.acknowledged(now, *probe, &mut outgoing),
            Body::PingRequest(probe, target) => {
                let relayed = RelayedProbe {
                    asker: envelope.from.clone(),
                    asker_probe: *probe,
                };
                let number = self.number();
                self.relayed.insert(number, relayed);
                outgoing.push(self.outgoing(now, target.clone(), Body::Ping(number)));
            }
            Body::Engines(_) | Body::News => {}
        }
        if self.held_by_all() > self.told_held_by_all {
            outgoing.extend(self.tell_zones(now));
        }
        outgoing
    }

    fn is_due(&self, last: Option<Timestamp>, period: Duration, now: Timestamp) -> bool {
        last.is_none_or(|at| now.since(at) >= period)
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }

    /// What this node tells of itself now: the table's age has grown since the
    /// view was set.
    fn view_at(&self, now: Timestamp) -> View {
        let since = now.since(self.view_set_at).as_millis() as u64;
        View {
            table_age_ms: self.view.table_age_ms.map(|age| age + since),
            ..self.view
        }
    }

    /// A datagram with as much news as it may carry.
    pub(crate) fn outgoing(&mut self, now: Timestamp, to: NodeId, body: Body) -> Outgoing {
        let updates = self.queue.take(self.members.len());
        // Within the zone, what is known of the others; across zones, of the own one.
        let zones = match self.members.contains_key(&to) {
            true => self.zones.summaries(now),
            false if self.vouches => vec![self.own_summary()],
            false => Vec::new(),
        };
        Outgoing {
            to,
            envelope: Envelope {
                format: FORMAT,
                from: self.node.clone(),
                view: self.view_at(now),
                updates,
                zones,
                body,
            },
        }
    }

    fn news(&mut self, now: Timestamp, to: NodeId) -> Outgoing {
        self.outgoing(now, to, Body::News)
    }

    /// The revision that this node and every member that it takes for alive hold.
    fn held_by_all(&self) -> Revision {
        let alive = self
            .members
            .values()
            .filter(|member| member.state <= MemberState::Suspect);
        let lowest = alive.map(|member| member.revision).min();
        lowest.map_or(self.view.revision, |lowest| lowest.min(self.view.revision))
    }

    fn own_summary(&self) -> ZoneSummary {
        ZoneSummary {
            zone: NameDigest::of(self.zone.as_str()),
            revision: self.view.revision,
            held_by_all: self.held_by_all(),
            capacity: self.capacity.clone(),
            age_ms: 0,
        }
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.node.clone(),
            incarnation: self.incarnation,
            state: match self.leaving {
                true => MemberState::Left,
                false => MemberState::Alive,
            },
        }
    }

    /// The nodes with the lowest ids alive speak for the zone.
    fn sends_summaries(&self) -> bool {
        let alive = self.alive();
        alive
            .iter()
            .take(SUMMARY_SENDERS_PER_ZONE)
            .any(|id| *id == self.node)
    }

    fn one_node_of_each_zone(&mut self) -> Vec<NodeId> {
        let random = &mut self.random;
        self.remote
            .values()
            .filter(|nodes| !nodes.is_empty())
            .map(|nodes| nodes[random.random_range(0..nodes.len())].clone())
            .collect()
    }

    /// Tells some members at once, each of whom does the same.
    fn spread_rumor(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let receivers = self.random_members(RUMOR_FANOUT, &BTreeSet::new());
        let send = |to| self.news(now, to);
        receivers.into_iter().map(send).collect()
    }

    pub(crate) fn random_members(
        &mut self,
        count: usize,
        excluded: &BTreeSet<NodeId>,
    ) -> Vec<NodeId> {
        let mut members: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(id, member)| member.state <= MemberState::Suspect && !excluded.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        members.shuffle(&mut self.random);
        members.truncate(count);
        members
    }

    /// A datagram from a suspected node clears it. A node that was called dead
    /// is told so, and refutes with a higher incarnation.
    fn hear_from(&mut self, now: Timestamp, node: &NodeId) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        match member.state {
            MemberState::Suspect => {
                member.state = MemberState::Alive;
                member.changed_at = now;
            }
            MemberState::Dead => self.queue.push(MemberUpdate {
                node: node.clone(),
                incarnation: member.incarnation,
                state: MemberState::Dead,
            }),
            MemberState::Alive | MemberState::Left => {}
        }
    }

    fn hear_revision(&mut self, node: &NodeId, revision: Revision) {
        if let Some(member) = self.members.get_mut(node) {
            member.revision = member.revision.max(revision);
        }
    }

    /// Takes in news of a member; true if it is news.
    fn take_update(&mut self, now: Timestamp, update: &MemberUpdate) -> bool {
        if update.node == self.node {
            self.refute(update);
            return false;
        }
        let Some(member) = self.members.get_mut(&update.node) else {
            return false;
        };
        if !member.is_overruled_by(update) {
            return false;
        }
        member.incarnation = update.incarnation;
        member.state = update.state;
        member.changed_at = now;
        self.queue.push(update.clone());
        true
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let accused = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if accused && !self.leaving {
            self.incarnation = self.incarnation.max(update.incarnation + 1);
            self.queue.push(self.own_update());
        }
    }

    /// The revision that all members of a zone were heard to hold.
    pub fn revision_of_zone(&self, zone: &ZoneName) -> Option<Revision> {
        if *zone == self.zone {
            return Some(self.held_by_all());
        }
        self.zones.news_of(zone).map(|news| news.held_by_all)
    }
}
