use super::{Liveness, ProbeOutcome, Verdict};

#[test]
fn a_holder_whose_machine_says_twice_that_it_is_gone_is_not_waited_for() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.note(ProbeOutcome::Gone), Verdict::Wait);
    assert_eq!(liveness.note(ProbeOutcome::Gone), Verdict::Compete);
}

#[test]
fn silence_alone_proves_nothing() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.note(ProbeOutcome::Silent), Verdict::Wait);
    assert_eq!(liveness.note(ProbeOutcome::Silent), Verdict::AskAnother);
    assert_eq!(liveness.note_other(ProbeOutcome::Alive), Verdict::Wait);
    assert_eq!(
        liveness.note(ProbeOutcome::Silent),
        Verdict::Wait,
        "it counts anew"
    );
}

#[test]
fn silence_that_another_node_finds_too_is_believed() {
    let mut liveness = Liveness::default();
    for _ in 0..2 {
        liveness.note(ProbeOutcome::Silent);
    }
    assert_eq!(liveness.note_other(ProbeOutcome::Silent), Verdict::Compete);
}

#[test]
fn a_sign_of_life_wipes_out_what_was_seen_before() {
    let mut liveness = Liveness::default();
    liveness.note(ProbeOutcome::Gone);
    liveness.note(ProbeOutcome::Silent);
    assert_eq!(liveness.note(ProbeOutcome::Alive), Verdict::Wait);
    assert_eq!(liveness.note(ProbeOutcome::Gone), Verdict::Wait);
}
