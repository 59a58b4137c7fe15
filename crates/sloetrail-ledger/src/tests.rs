use crate::{
    FinishOutcome, FinishedSample, HandOver, Ledger, Limits, NewSample, Refusal, RowChange,
    SampleStatus, StoredRun,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sloetrail_types::{
    EngineId, Epoch, SampleId, Segment, SequenceNumber, StepNumber, WeightVersion,
};
use std::collections::{BTreeMap, BTreeSet};

const LIMITS: Limits = Limits {
    staleness_bound: 1,
    unfinished_limit: 100,
};

fn sample(name: &str) -> NewSample {
    NewSample {
        id: SampleId::from(name),
        prompt: "read the dial".to_owned(),
        group: None,
    }
}

fn result(version: u64) -> FinishedSample {
    FinishedSample {
        segments: vec![Segment {
            engine: EngineId::from("engine-1"),
            version: WeightVersion(version),
            first_token: 0,
            last_token: 9,
        }],
        token_count: 10,
        object: "object".to_owned(),
        score: 0.5,
    }
}

fn ledger() -> Ledger {
    Ledger::recover(LIMITS, Epoch(1), StoredRun::default())
}

fn sequences(entries: &[HandOver]) -> Vec<u64> {
    entries
        .iter()
        .map(|entry| match entry {
            HandOver::Sample { sequence, .. } | HandOver::Withdrawn { sequence, .. } => sequence.0,
        })
        .collect()
}

#[test]
fn the_same_cursor_gives_the_same_samples() {
    let mut ledger = ledger();
    ledger
        .submit(StepNumber(1), vec![sample("a"), sample("b")])
        .expect("open step");
    ledger.finish(&SampleId::from("b"), 0, result(5));
    let first = ledger
        .pull(SequenceNumber(0), 10, WeightVersion(5), None)
        .expect("valid");
    ledger.finish(&SampleId::from("a"), 0, result(5));
    let second = ledger
        .pull(SequenceNumber(0), 10, WeightVersion(5), None)
        .expect("valid");
    assert_eq!(sequences(&first), vec![1]);
    assert_eq!(sequences(&second), vec![1, 2]);
    assert_eq!(first[0], second[0]);
}

#[test]
fn a_sample_that_became_too_old_is_withdrawn_and_comes_again() {
    let mut ledger = ledger();
    ledger
        .submit(StepNumber(1), vec![sample("a")])
        .expect("open step");
    ledger.finish(&SampleId::from("a"), 0, result(5));
    let first = ledger.pull(SequenceNumber(0), 10, WeightVersion(5), None);
    assert!(matches!(first.expect("valid")[0], HandOver::Sample { .. }));
    let second = ledger
        .pull(SequenceNumber(0), 10, WeightVersion(7), None)
        .expect("valid");
    assert!(matches!(second[0], HandOver::Withdrawn { .. }));
    assert_eq!(
        ledger.finish(&SampleId::from("a"), 0, result(7)),
        FinishOutcome::Ignored
    );
    assert_eq!(
        ledger.finish(&SampleId::from("a"), 1, result(7)),
        FinishOutcome::Recorded
    );
    let third = ledger
        .pull(SequenceNumber(1), 10, WeightVersion(7), None)
        .expect("valid");
    assert_eq!(sequences(&third), vec![2]);
}

#[test]
fn a_pull_through_a_step_leaves_later_steps_for_later() {
    let mut ledger = ledger();
    for (step, name) in [(1, "a"), (2, "b")] {
        ledger
            .submit(StepNumber(step), vec![sample(name)])
            .expect("open step");
    }
    ledger.finish(&SampleId::from("b"), 0, result(1));
    let through_first = Some(StepNumber(1));
    let first = ledger.pull(SequenceNumber(0), 10, WeightVersion(1), through_first);
    assert_eq!(first, Ok(Vec::new()));
    ledger.finish(&SampleId::from("a"), 0, result(1));
    let second = ledger
        .pull(SequenceNumber(0), 10, WeightVersion(1), through_first)
        .expect("valid");
    assert_eq!(sequences(&second), vec![1]);
    let all = ledger
        .pull(SequenceNumber(1), 10, WeightVersion(1), None)
        .expect("valid");
    assert_eq!(sequences(&all), vec![2]);
}

#[test]
fn a_later_step_waits_for_engines_whose_weights_will_not_be_too_old() {
    let mut ledger = ledger();
    for (step, name) in [(5, "a"), (6, "b"), (7, "c")] {
        ledger
            .submit(StepNumber(step), vec![sample(name)])
            .expect("open step");
    }
    ledger
        .pull(SequenceNumber(0), 10, WeightVersion(5), None)
        .expect("valid");
    let old = WeightVersion(4);
    let first = ledger.start_next(old).expect("the first open step goes on");
    assert_eq!(first.sample.id, SampleId::from("a"));
    assert_eq!(ledger.start_next(old), None, "b would be two versions old");
    let second = ledger
        .start_next(WeightVersion(5))
        .expect("one version old");
    assert_eq!(second.sample.id, SampleId::from("b"));
    assert_eq!(ledger.start_next(WeightVersion(5)), None);
}

#[test]
fn refusals_change_nothing() {
    let mut ledger = ledger();
    ledger
        .submit(StepNumber(1), vec![sample("a")])
        .expect("open step");
    ledger.take_changes();
    let too_far = ledger.pull(SequenceNumber(1), 10, WeightVersion(1), None);
    assert_eq!(too_far, Err(Refusal::CursorInvalid));
    ledger
        .pull(SequenceNumber(0), 10, WeightVersion(3), None)
        .expect("valid");
    let back = ledger.pull(SequenceNumber(0), 10, WeightVersion(2), None);
    assert_eq!(back, Err(Refusal::VersionWentBack));
    let many = (0..100).map(|index| sample(&format!("s{index}"))).collect();
    assert_eq!(ledger.submit(StepNumber(1), many), Err(Refusal::LedgerFull));
    assert!(ledger.take_changes().is_empty());
}

#[test]
fn a_complete_step_is_closed_once_a_newer_one_is_open() {
    let mut ledger = ledger();
    ledger
        .submit(StepNumber(1), vec![sample("a")])
        .expect("open step");
    ledger
        .submit(StepNumber(2), vec![sample("b")])
        .expect("open step");
    ledger.finish(&SampleId::from("a"), 0, result(1));
    ledger
        .pull(SequenceNumber(0), 10, WeightVersion(1), None)
        .expect("valid");
    ledger
        .pull(SequenceNumber(1), 10, WeightVersion(1), None)
        .expect("valid");
    assert_eq!(ledger.held(), 1);
    let deletion = RowChange::DeleteSample {
        step: StepNumber(1),
        id: SampleId::from("a"),
        object: Some("object".to_owned()),
    };
    assert!(ledger.take_changes().contains(&deletion));
    assert_eq!(
        ledger.submit(StepNumber(1), vec![sample("a")]),
        Err(Refusal::StepClosed)
    );
}

#[test]
fn the_longest_predicted_samples_go_first_within_a_step() {
    let mut ledger = ledger();
    let grouped = |name: &str, group: &str| NewSample {
        group: Some(group.to_owned()),
        ..sample(name)
    };
    ledger
        .submit(
            StepNumber(1),
            vec![grouped("a", "short"), grouped("b", "long")],
        )
        .expect("open step");
    let mut long = result(1);
    long.token_count = 900;
    ledger.finish(&SampleId::from("a"), 0, result(1));
    ledger.finish(&SampleId::from("b"), 0, long);
    ledger
        .submit(
            StepNumber(2),
            vec![grouped("c", "short"), grouped("d", "long")],
        )
        .expect("open step");
    let first = ledger.start_next(WeightVersion(1)).expect("queued");
    assert_eq!(first.sample.id, SampleId::from("d"));
}

#[derive(Clone, Debug)]
enum Call {
    Submit {
        step: u64,
        name: u8,
    },
    Start,
    Abandon(u8),
    Finish {
        name: u8,
        version_lag: u64,
    },
    Pull {
        limit: usize,
        new_version: bool,
        answer_lost: bool,
    },
    OwnerLost {
        before_commit: bool,
    },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Call;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Call> {
        prop_oneof![
            4 => (1u64..5, any::<u8>()).prop_map(|(step, name)| Call::Submit { step, name }),
            2 => Just(Call::Start),
            1 => any::<u8>().prop_map(Call::Abandon),
            6 => (any::<u8>(), 0u64..4)
                .prop_map(|(name, version_lag)| Call::Finish { name, version_lag }),
            4 => (1usize..6, any::<bool>(), any::<bool>()).prop_map(
                |(limit, new_version, answer_lost)| Call::Pull { limit, new_version, answer_lost }
            ),
            1 => any::<bool>().prop_map(|before_commit| Call::OwnerLost { before_commit }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Call) {}
}

/// A ledger, its table and a trainer that loses some answers.
struct Run {
    ledger: Ledger,
    stored: StoredRun,
    epoch: Epoch,
    version: WeightVersion,
    cursor: SequenceNumber,
    consumed: Vec<SampleId>,
    submitted: BTreeMap<SampleId, StepNumber>,
    shown: BTreeMap<SequenceNumber, HandOver>,
}

impl Run {
    fn commit(&mut self) {
        self.stored.journal = self.ledger.journal().clone();
        for change in self.ledger.take_changes() {
            self.stored.apply(change);
        }
    }

    fn nth_name(&self, index: u8) -> Option<SampleId> {
        let count = self.submitted.len();
        (count > 0).then(|| {
            let nth = usize::from(index) % count;
            self.submitted.keys().nth(nth).cloned().expect("in range")
        })
    }

    fn take_in(&mut self, entries: Vec<HandOver>) {
        for entry in entries {
            match entry {
                HandOver::Sample { sequence, record } => {
                    self.cursor = sequence;
                    self.consumed.push(record.sample.id);
                }
                HandOver::Withdrawn { sequence, .. } => self.cursor = sequence,
            }
        }
    }
}

struct LedgerRuns;

impl StateMachineTest for LedgerRuns {
    type SystemUnderTest = Run;
    type Reference = Reference;

    fn init_test((): &()) -> Run {
        Run {
            ledger: ledger(),
            stored: StoredRun::default(),
            epoch: Epoch(1),
            version: WeightVersion(1),
            cursor: SequenceNumber(0),
            consumed: Vec::new(),
            submitted: BTreeMap::new(),
            shown: BTreeMap::new(),
        }
    }

    fn apply(mut run: Run, (): &(), call: Call) -> Run {
        match call {
            Call::Submit { step, name } => {
                let id = SampleId::new(format!("{step}-{name}"));
                let accepted = run
                    .ledger
                    .submit(StepNumber(step), vec![sample(id.as_str())]);
                run.commit();
                if accepted.is_ok() {
                    run.submitted.insert(id, StepNumber(step));
                }
            }
            Call::Start => {
                run.ledger.start_next(run.version);
            }
            Call::Abandon(name) => {
                if let Some(id) = run.nth_name(name) {
                    run.ledger.abandon(&id);
                }
            }
            Call::Finish { name, version_lag } => {
                if let Some(id) = run.nth_name(name) {
                    let generation = run.ledger.sample(&id).map_or(0, |record| record.generation);
                    let version = run.version.0.saturating_sub(version_lag).max(1);
                    run.ledger.finish(&id, generation, result(version));
                    run.commit();
                }
            }
            Call::Pull {
                limit,
                new_version,
                answer_lost,
            } => {
                run.version.0 += u64::from(new_version);
                let entries = run
                    .ledger
                    .pull(run.cursor, limit, run.version, None)
                    .expect("the trainer keeps to the rules");
                run.commit();
                check_entries(&mut run, &entries);
                if !answer_lost {
                    run.take_in(entries);
                }
            }
            Call::OwnerLost { before_commit } => {
                if !before_commit {
                    run.commit();
                }
                run.epoch = run.epoch.next();
                run.ledger = Ledger::recover(LIMITS, run.epoch, run.stored.clone());
            }
        }
        run
    }

    fn check_invariants(run: &Run, (): &()) {
        let distinct: BTreeSet<&SampleId> = run.consumed.iter().collect();
        assert_eq!(distinct.len(), run.consumed.len(), "no sample twice");
        for (id, step) in &run.submitted {
            let closed = *step <= run.ledger.journal().closed_step;
            let known = run.ledger.sample(id).is_some();
            assert!(known || closed, "no sample lost");
            assert!(
                known || distinct.contains(id),
                "closed samples were handed over"
            );
        }
    }
}

fn check_entries(run: &mut Run, entries: &[HandOver]) {
    for entry in entries {
        if let HandOver::Sample { sequence, record } = entry {
            let SampleStatus::Delivered { result, .. } = &record.status else {
                panic!("handed over without a place");
            };
            assert!(result.staleness(run.version) <= LIMITS.staleness_bound);
            if let Some(before) = run.shown.insert(*sequence, entry.clone()) {
                assert_eq!(&before, entry, "the same place gives the same sample");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]
    #[test]
    fn each_sample_is_handed_over_once_and_fresh(sequential 1..80 => LedgerRuns);
}
