use super::{Liveness, LivenessDecision, ProbeOutcome};

#[test]
fn holder_found_gone_twice_is_competed_for() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.record(ProbeOutcome::Gone), LivenessDecision::Wait);
    assert_eq!(
        liveness.record(ProbeOutcome::Gone),
        LivenessDecision::Compete
    );
}

#[test]
fn timeouts_are_discarded_when_a_peer_gets_an_answer() {
    let mut liveness = Liveness::default();
    assert_eq!(
        liveness.record(ProbeOutcome::Silent),
        LivenessDecision::Wait
    );
    assert_eq!(
        liveness.record(ProbeOutcome::Silent),
        LivenessDecision::AskPeer
    );
    assert_eq!(
        liveness.record_peer_result(ProbeOutcome::Alive),
        LivenessDecision::Wait
    );
    assert_eq!(
        liveness.record(ProbeOutcome::Silent),
        LivenessDecision::Wait,
        "the count restarts"
    );
}

#[test]
fn timeouts_confirmed_by_a_peer_lead_to_competition() {
    let mut liveness = Liveness::default();
    for _ in 0..2 {
        liveness.record(ProbeOutcome::Silent);
    }
    assert_eq!(
        liveness.record_peer_result(ProbeOutcome::Silent),
        LivenessDecision::Compete
    );
}

#[test]
fn answer_resets_earlier_probe_results() {
    let mut liveness = Liveness::default();
    liveness.record(ProbeOutcome::Gone);
    liveness.record(ProbeOutcome::Silent);
    assert_eq!(liveness.record(ProbeOutcome::Alive), LivenessDecision::Wait);
    assert_eq!(liveness.record(ProbeOutcome::Gone), LivenessDecision::Wait);
}
