use crate::{
    Body, ConfigurationFreshness, EngineNews, EngineNewsState, Envelope, MemberState, MemberUpdate,
    Membership, MembershipSettings, NameDigest, Outgoing, PeerNode, View, ZoneSummary, ZoneTable,
    decode, encode,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sloetrail_types::{NodeId, Revision, Timestamp, WeightVersion, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP_MS: u64 = 10;

/// A fleet in virtual time, whose datagrams take one step and may be lost.
struct Fleet {
    now: Timestamp,
    nodes: BTreeMap<NodeId, Membership>,
    silent: BTreeSet<NodeId>,
    loss_percent: u32,
    random: StdRng,
}

impl Fleet {
    fn new(zones: usize, nodes_per_zone: usize, seed: u64) -> Self {
        let mut peers = Vec::new();
        for zone in 0..zones {
            for index in 0..nodes_per_zone {
                peers.push(PeerNode {
                    id: NodeId::new(format!("zone-{zone}-node-{index:02}")),
                    zone: ZoneName::new(format!("zone-{zone}")),
                });
            }
        }
        let mut nodes = BTreeMap::new();
        for (index, peer) in peers.iter().enumerate() {
            let settings = MembershipSettings::default();
            let mut node = Membership::new(
                peer.id.clone(),
                peer.zone.clone(),
                settings,
                seed + index as u64,
            );
            node.set_candidates(Timestamp(0), &peers);
            node.set_vouching(true);
            nodes.insert(peer.id.clone(), node);
        }
        Self {
            now: Timestamp(0),
            nodes,
            silent: BTreeSet::new(),
            loss_percent: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, milliseconds: u64) {
        let end = self.now.0 + milliseconds;
        while self.now.0 < end {
            self.now = Timestamp(self.now.0 + STEP_MS);
            let mut outgoing = Vec::new();
            for (id, node) in &mut self.nodes {
                if !self.silent.contains(id) {
                    outgoing.extend(node.tick(self.now));
                }
            }
            self.deliver(outgoing);
        }
    }

    fn deliver(&mut self, mut outgoing: Vec<Outgoing>) {
        while let Some(message) = outgoing.pop() {
            let lost = self.random.random_range(0..100) < self.loss_percent;
            if lost || self.silent.contains(&message.to) {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&message.to) {
                outgoing.extend(node.receive(self.now, &message.envelope));
            }
        }
    }

    fn states_of(&self, target: &NodeId) -> BTreeSet<MemberState> {
        self.nodes
            .iter()
            .filter(|(id, _)| *id != target && !self.silent.contains(id))
            .filter_map(|(_, node)| node.state_of(target))
            .collect()
    }
}

#[test]
fn a_dead_node_is_dead_everywhere_in_its_zone_within_three_seconds() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(1, 50, seed);
        fleet.run(2_000);
        let target = NodeId::from("zone-0-node-07");
        let alive = BTreeSet::from([MemberState::Alive]);
        assert_eq!(fleet.states_of(&target), alive);
        fleet.silent.insert(target.clone());
        fleet.run(3_000);
        let dead = BTreeSet::from([MemberState::Dead]);
        assert_eq!(fleet.states_of(&target), dead, "seed {seed}");
    }
}

#[test]
fn losing_a_fifth_of_the_datagrams_kills_nobody_for_long() {
    let mut fleet = Fleet::new(1, 12, 2);
    fleet.loss_percent = 20;
    fleet.run(30_000);
    fleet.loss_percent = 0;
    fleet.run(4_000);
    for id in fleet.nodes.keys() {
        assert_eq!(fleet.states_of(id), BTreeSet::from([MemberState::Alive]));
    }
}

#[test]
fn a_node_that_was_frozen_refutes_its_death() {
    let mut fleet = Fleet::new(1, 6, 3);
    fleet.run(1_000);
    let target = NodeId::from("zone-0-node-02");
    fleet.silent.insert(target.clone());
    fleet.run(4_000);
    fleet.silent.clear();
    fleet.run(4_000);
    assert_eq!(
        fleet.states_of(&target),
        BTreeSet::from([MemberState::Alive])
    );
}

#[test]
fn leaving_is_known_at_once_and_final() {
    let mut fleet = Fleet::new(1, 6, 4);
    fleet.run(1_000);
    let target = NodeId::from("zone-0-node-02");
    let now = fleet.now;
    let outgoing = fleet
        .nodes
        .get_mut(&target)
        .expect("there is one")
        .leave(now);
    fleet.deliver(outgoing);
    assert_eq!(
        fleet.states_of(&target),
        BTreeSet::from([MemberState::Left])
    );
    fleet.run(3_000);
    assert_eq!(
        fleet.states_of(&target),
        BTreeSet::from([MemberState::Left])
    );
}

#[test]
fn every_node_hears_of_every_zone_and_its_revision() {
    let mut fleet = Fleet::new(3, 5, 5);
    fleet.run(2_000);
    let now = fleet.now;
    let view = View {
        revision: Revision(7),
        ..View::default()
    };
    let ids: Vec<NodeId> = fleet.nodes.keys().cloned().collect();
    for id in ids.iter().filter(|id| id.as_str().starts_with("zone-1")) {
        let outgoing = fleet
            .nodes
            .get_mut(id)
            .expect("there is one")
            .set_view(now, view);
        fleet.deliver(outgoing);
    }
    fleet.run(3_000);
    let configured = zones_named(&["zone-0", "zone-1", "zone-2"]);
    for node in fleet.nodes.values() {
        for zone in &configured {
            assert!(node.revision_of_zone(zone).is_some());
        }
        let revision = node.revision_of_zone(&ZoneName::from("zone-1"));
        assert_eq!(revision, Some(Revision(7)));
        assert_eq!(
            node.zones()
                .heard_within(fleet.now, Duration::from_millis(2_500), &configured),
            2
        );
    }
}

fn zones_named(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().copied().map(ZoneName::from).collect()
}

fn heard(zones: &mut ZoneTable, now: u64, zone: &str) {
    let summary = ZoneSummary {
        zone: NameDigest::of(zone),
        revision: Revision(1),
        held_by_all: Revision(1),
        capacity: Vec::new(),
        age_ms: 0,
    };
    zones.observe(Timestamp(now), &summary);
}

#[test]
fn a_revision_is_confirmed_by_the_table_or_by_a_majority_of_zones() {
    let bound = Duration::from_millis(1_000);
    let mut zones = ZoneTable::default();
    let three = zones_named(&["hfj", "rvk", "kef"]);
    let five = zones_named(&["hfj", "rvk", "kef", "ak", "is"]);
    let mut freshness = ConfigurationFreshness::default();
    freshness.hold(Revision(1));
    assert!(!freshness.is_fresh(Timestamp(100), &zones, &three, bound));
    freshness.table_read(Timestamp(100), Revision(1));
    assert!(freshness.is_fresh(Timestamp(1_100), &zones, &three, bound));
    assert!(!freshness.is_fresh(Timestamp(1_101), &zones, &three, bound));
    heard(&mut zones, 1_200, "rvk");
    assert!(freshness.is_fresh(Timestamp(2_000), &zones, &three, bound));
    assert!(!freshness.is_fresh(Timestamp(2_000), &zones, &five, bound));
    freshness.hear(Revision(2));
    assert!(!freshness.is_fresh(Timestamp(2_000), &zones, &three, bound));
    freshness.hold(Revision(2));
    assert!(freshness.is_fresh(Timestamp(2_000), &zones, &three, bound));
}

#[test]
fn older_news_of_a_zone_does_not_replace_newer() {
    let mut zones = ZoneTable::default();
    heard(&mut zones, 500, "rvk");
    let old = ZoneSummary {
        zone: NameDigest::of("rvk"),
        revision: Revision(9),
        held_by_all: Revision(9),
        capacity: Vec::new(),
        age_ms: 400,
    };
    assert!(!zones.observe(Timestamp(600), &old));
    assert_eq!(
        zones.heard_within(
            Timestamp(700),
            Duration::from_millis(200),
            &zones_named(&["rvk"])
        ),
        1
    );
}

#[test]
fn a_datagram_of_engine_news_is_small() {
    let news = EngineNews {
        engine: u64::MAX,
        state: EngineNewsState::Serving,
        load: 40,
        capacity: 64,
        version: WeightVersion(1_000),
        age_ms: 20,
    };
    let envelope = Envelope {
        format: 1,
        from: NodeId::from("zone-1-node-17-a4"),
        view: View::default(),
        updates: Vec::new(),
        zones: Vec::new(),
        body: Body::Engines(vec![news; 3]),
    };
    let bytes = encode(&envelope).expect("encodes");
    assert!(bytes.len() < 130, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes).expect("decodes"), envelope);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn updates_in_any_order_end_in_the_same_state(
        mut order in Just(vec![
            (0, MemberState::Suspect), (1, MemberState::Alive), (1, MemberState::Suspect),
            (2, MemberState::Alive), (2, MemberState::Dead),
        ]).prop_shuffle()
    ) {
        let mut fleet = Fleet::new(1, 2, 1);
        let target = NodeId::from("zone-0-node-01");
        let node = fleet.nodes.get_mut(&NodeId::from("zone-0-node-00")).expect("there is one");
        for (incarnation, state) in order.drain(..) {
            let envelope = Envelope {
                format: 1,
                from: NodeId::from("somebody"),
                view: View::default(),
                updates: vec![MemberUpdate { node: target.clone(), incarnation, state }],
                zones: Vec::new(),
                body: Body::News,
            };
            node.receive(Timestamp(0), &envelope);
        }
        prop_assert_eq!(node.state_of(&target), Some(MemberState::Dead));
    }
}

#[test]
fn the_age_of_the_table_grows_between_two_announcements() {
    let mut fleet = Fleet::new(1, 2, 1);
    let sender = NodeId::from("zone-0-node-00");
    let node = fleet.nodes.get_mut(&sender).expect("there is one");
    let view = View {
        table_age_ms: Some(10),
        ..View::default()
    };
    node.set_view(Timestamp(1_000), view);
    let outgoing = node.tick(Timestamp(6_000));
    assert!(!outgoing.is_empty());
    for message in outgoing {
        assert_eq!(message.envelope.view.table_age_ms, Some(5_010));
    }
}

#[test]
fn news_of_a_zone_that_is_ahead_confirms_nothing() {
    let bound = Duration::from_millis(1_000);
    let three = zones_named(&["hfj", "rvk", "kef"]);
    let mut zones = ZoneTable::default();
    let mut freshness = ConfigurationFreshness::default();
    freshness.hold(Revision(1));
    let ahead = ZoneSummary {
        zone: NameDigest::of("rvk"),
        revision: Revision(2),
        held_by_all: Revision(2),
        capacity: Vec::new(),
        age_ms: 0,
    };
    zones.observe(Timestamp(100), &ahead);
    assert!(!freshness.is_fresh(Timestamp(110), &zones, &three, bound));
    freshness.hold(Revision(2));
    assert!(freshness.is_fresh(Timestamp(110), &zones, &three, bound));
}

/// Sets the revision of some nodes and lets the fleet talk.
fn hold(fleet: &mut Fleet, nodes: &[&str], revision: u64) {
    for node in nodes {
        let view = View {
            revision: Revision(revision),
            ..View::default()
        };
        let now = fleet.now;
        let id = NodeId::from(*node);
        let outgoing = fleet
            .nodes
            .get_mut(&id)
            .expect("there is one")
            .set_view(now, view);
        fleet.deliver(outgoing);
    }
    fleet.run(3_000);
}

fn zone_0_seen_from_zone_1(fleet: &Fleet) -> Option<Revision> {
    let node = &fleet.nodes[&NodeId::from("zone-1-node-00")];
    node.revision_of_zone(&ZoneName::from("zone-0"))
}

#[test]
fn a_zone_holds_a_revision_once_all_of_its_members_do() {
    let mut fleet = Fleet::new(2, 3, 9);
    fleet.run(2_000);
    hold(&mut fleet, &["zone-0-node-00", "zone-0-node-01"], 5);
    assert_eq!(zone_0_seen_from_zone_1(&fleet), Some(Revision(0)));
    hold(&mut fleet, &["zone-0-node-02"], 5);
    assert_eq!(zone_0_seen_from_zone_1(&fleet), Some(Revision(5)));
}

#[test]
fn a_node_that_must_not_vouch_does_not_speak_for_its_zone() {
    let mut fleet = Fleet::new(2, 1, 10);
    let newcomer = NodeId::from("zone-0-node-00");
    let node = fleet.nodes.get_mut(&newcomer).expect("there is one");
    node.set_vouching(false);
    fleet.run(5_000);
    assert_eq!(zone_0_seen_from_zone_1(&fleet), None);
    let node = fleet.nodes.get_mut(&newcomer).expect("there is one");
    node.set_vouching(true);
    fleet.run(2_000);
    assert_eq!(zone_0_seen_from_zone_1(&fleet), Some(Revision(0)));
}
