use crate::{LeaseAction, LeaseRecord, LeaseWatcher, ObservedLease};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sloetrail_types::{Epoch, NodeId, RowVersion, Timestamp};
use std::time::Duration;

const DURATION: Duration = Duration::from_millis(300);
const NODES: usize = 3;

/// A lease row with the table's conditional write.
#[derive(Clone, Debug, Default)]
struct LeaseRow {
    version: u64,
    record: Option<LeaseRecord>,
    /// The version of the last deletion, which no epoch of a deleted record exceeds.
    epoch_floor: Epoch,
}

impl LeaseRow {
    fn read(&self) -> Option<ObservedLease> {
        self.record.clone().map(|record| ObservedLease {
            version: RowVersion(self.version),
            record,
        })
    }

    fn write(&mut self, action: &LeaseAction) -> bool {
        let present = self.record.as_ref().map(|_| RowVersion(self.version));
        if present != action.expected {
            return false;
        }
        self.version += 1;
        self.record = Some(action.record.clone());
        true
    }

    fn delete(&mut self) {
        if let Some(record) = self.record.take() {
            self.version += 1;
            self.epoch_floor = Epoch(self.version);
            assert!(record.epoch <= self.epoch_floor);
        }
    }
}

#[test]
fn released_lease_is_acquired_at_once_and_expired_one_after_its_duration() {
    let mut row = LeaseRow::default();
    let mut first = LeaseWatcher::new(NodeId::from("a"), DURATION);
    let mut second = LeaseWatcher::new(NodeId::from("b"), DURATION);
    first.observe(Timestamp(1_000), row.read());
    let action = first
        .next_action(Timestamp(1_000), 0)
        .expect("absent row is acquired");
    assert!(row.write(&action));
    first.observe(Timestamp(1_000), row.read());
    assert_eq!(first.held_epoch(), Some(Epoch(1)));

    second.observe(Timestamp(1_000), row.read());
    assert_eq!(second.next_action(Timestamp(1_299), 0), None);
    let action = second.next_action(Timestamp(1_300), 0).expect("expired");
    assert!(row.write(&action));
    second.observe(Timestamp(1_300), row.read());
    assert_eq!(second.held_epoch(), Some(Epoch(2)));

    let late_renewal = first.next_action(Timestamp(5_000), 0).expect("unaware");
    assert!(
        !row.write(&late_renewal),
        "renewal by a replaced holder is refused"
    );

    let release = second.release().expect("held");
    assert!(row.write(&release));
    first.observe(Timestamp(5_000), row.read());
    let action = first.next_action(Timestamp(5_000), 0).expect("released");
    assert!(row.write(&action));
    first.observe(Timestamp(5_000), row.read());
    assert_eq!(first.held_epoch(), Some(Epoch(3)));
}

#[derive(Clone, Debug)]
enum Step {
    Read(usize),
    Act(usize),
    Release(usize),
    /// The holder deletes the record.
    Delete(usize),
    Advance(u64),
}

#[derive(Clone, Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..NODES).prop_map(Step::Read),
            4 => (0..NODES).prop_map(Step::Act),
            1 => (0..NODES).prop_map(Step::Release),
            1 => (0..NODES).prop_map(Step::Delete),
            3 => (1u64..400).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Leases {
    now: u64,
    row: LeaseRow,
    watchers: Vec<LeaseWatcher>,
    /// The epoch floor that each node has read.
    known_floors: Vec<Epoch>,
    terms: Vec<(Epoch, NodeId)>,
}

impl StateMachineTest for Leases {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test((): &()) -> Self {
        let watchers = (0..NODES)
            .map(|index| LeaseWatcher::new(NodeId::new(format!("node-{index}")), DURATION))
            .collect();
        Self {
            now: 1_000,
            row: LeaseRow::default(),
            watchers,
            known_floors: vec![Epoch(0); NODES],
            terms: Vec::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        let now = Timestamp(state.now);
        match step {
            Step::Advance(milliseconds) => state.now += milliseconds,
            Step::Read(index) => {
                state.known_floors[index] = state.row.epoch_floor;
                state.watchers[index].set_epoch_floor(state.row.epoch_floor);
                state.watchers[index].observe(now, state.row.read());
            }
            Step::Act(index) => {
                if let Some(action) = state.watchers[index].next_action(now, 0) {
                    state.write(index, &action);
                }
            }
            Step::Delete(index) => {
                let held = state.watchers[index].held_epoch();
                let current = state.row.record.as_ref().map(|record| record.epoch);
                if held.is_some() && held == current {
                    state.row.delete();
                }
            }
            Step::Release(index) => {
                if let Some(action) = state.watchers[index].release() {
                    state.write(index, &action);
                }
            }
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        for pair in state.terms.windows(2) {
            assert!(pair[0].0 < pair[1].0, "epochs increase with each holder");
        }
    }
}

impl Leases {
    fn write(&mut self, index: usize, action: &LeaseAction) {
        let record_before = self.row.record.clone();
        let is_floor_known = self.known_floors[index] == self.row.epoch_floor;
        if action.expected.is_none() && !is_floor_known {
            return;
        }
        if !self.row.write(action) {
            return;
        }
        self.watchers[index].observe(Timestamp(self.now), self.row.read());
        let record = &action.record;
        let is_new_term = record_before.is_none_or(|before| before.epoch != record.epoch);
        if let (true, Some(holder)) = (is_new_term, &record.holder) {
            self.terms.push((record.epoch, holder.clone()));
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]
    #[test]
    fn epochs_increase_for_any_order_of_steps(sequential 1..60 => Leases);
}
