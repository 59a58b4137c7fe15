//! Each check is given sound histories that must pass and violating ones that it
//! must catch.

use crate::{
    ApplyOutcome, CheckBounds, Event, EventBody, HandedSegment, Invariant, RunClass, SendOutcome,
    Verdict, check, read_history, replay,
};
use sloetrail_result::Kind;
use sloetrail_types::{
    ApplyId, EngineId, NodeId, RequestId, Revision, RunName, SampleId, SequenceNumber,
    WeightVersion, ZoneName,
};

const SECOND: u64 = 1_000_000;

fn at(at_us: u64, body: EventBody) -> Event {
    Event { at_us, body }
}

fn verdict_of(invariant: Invariant, events: &[Event]) -> Verdict {
    check(events, CheckBounds::default())
        .into_iter()
        .find(|verdict| verdict.invariant == invariant)
        .expect("every invariant is judged")
}

fn assert_held(invariant: Invariant, events: &[Event]) {
    let verdict = verdict_of(invariant, events);
    assert!(verdict.holds(), "{verdict}");
}

fn assert_violated(invariant: Invariant, events: &[Event]) {
    let verdict = verdict_of(invariant, events);
    assert!(!verdict.violations.is_empty(), "{verdict}");
}

// Samples: two engines, one swap on the first, a resume on the second.

fn produced(engine: &str, version: u64, first_token: u32, tokens: &[u32]) -> Event {
    at(
        1,
        EventBody::TokensProduced {
            engine: EngineId::from(engine),
            prompt: "dial".to_owned(),
            version: WeightVersion(version),
            first_token,
            tokens: tokens.to_vec(),
        },
    )
}

fn handed(engine: &str, version: u64, first_token: u32, tokens: &[u32]) -> HandedSegment {
    HandedSegment {
        engine: EngineId::from(engine),
        version: WeightVersion(version),
        first_token,
        tokens: tokens.to_vec(),
    }
}

fn taken(sample: &str, sequence: u64, segments: Vec<HandedSegment>) -> Event {
    at(
        2,
        EventBody::SampleTaken {
            run: RunName::from("dials"),
            sample: SampleId::from(sample),
            sequence: SequenceNumber(sequence),
            prompt: "dial".to_owned(),
            trainer_version: WeightVersion(4),
            staleness_bound: 2,
            segments,
        },
    )
}

fn text_ended(engine: &str, tokens: u32) -> Event {
    at(
        1,
        EventBody::TextEnded {
            engine: EngineId::from(engine),
            prompt: "dial".to_owned(),
            tokens,
        },
    )
}

/// What was produced, without the engine's word that the text ended.
fn truth_without_end() -> Vec<Event> {
    vec![
        produced("a", 2, 0, &[10, 11, 12]),
        produced("a", 3, 3, &[13, 14]),
        produced("b", 3, 5, &[15]),
    ]
}

fn truth() -> Vec<Event> {
    with(truth_without_end(), vec![text_ended("b", 6)])
}

/// A record of the whole text.
fn true_record() -> Vec<HandedSegment> {
    vec![
        handed("a", 2, 0, &[10, 11, 12]),
        handed("a", 3, 3, &[13, 14]),
        handed("b", 3, 5, &[15]),
    ]
}

fn with(mut events: Vec<Event>, more: Vec<Event>) -> Vec<Event> {
    events.extend(more);
    events
}

#[test]
fn i1_a_true_record_holds() {
    let history = with(truth(), vec![taken("s", 1, true_record())]);
    assert_held(Invariant::I1, &history);
    let verdict = verdict_of(Invariant::I1, &history);
    assert!(verdict.not_checked.is_empty(), "{verdict}");
}

#[test]
fn i1_catches_a_record_whose_last_event_was_taken_out() {
    let mut segments = true_record();
    segments.pop();
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, segments)]));
    let mut segments = true_record();
    segments[1].tokens.pop();
    segments.pop();
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, segments)]));
}

#[test]
fn i1_catches_a_text_that_no_engine_ended() {
    let mut history = with(truth_without_end(), vec![taken("s", 1, true_record())]);
    history.push(at(
        1,
        EventBody::TextEnded {
            engine: EngineId::from("a"),
            prompt: "another".to_owned(),
            tokens: 6,
        },
    ));
    assert_violated(Invariant::I1, &history);
}

#[test]
fn i1_says_that_a_recording_without_ends_is_not_checked_for_them() {
    let history = with(truth_without_end(), vec![taken("s", 1, true_record())]);
    let verdict = verdict_of(Invariant::I1, &history);
    assert!(verdict.holds(), "what can be looked at is sound: {verdict}");
    assert!(!verdict.holds_in_full(), "{verdict}");
    let told = verdict.to_string();
    assert!(told.contains("not checked for"), "{told}");
    assert!(told.contains("last event"), "{told}");
}

#[test]
fn i1_catches_a_boundary_off_by_one_token() {
    let segments = vec![
        handed("a", 2, 0, &[10, 11]),
        handed("a", 3, 2, &[12, 13, 14]),
        handed("b", 3, 5, &[15]),
    ];
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, segments)]));
}

#[test]
fn i1_catches_a_swap_that_is_not_named() {
    let segments = vec![
        handed("a", 2, 0, &[10, 11, 12, 13, 14]),
        handed("b", 3, 5, &[15]),
    ];
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, segments)]));
}

#[test]
fn i1_catches_a_resumed_sample_that_names_only_its_last_engine() {
    let segments = vec![
        handed("b", 2, 0, &[10, 11, 12]),
        handed("b", 3, 3, &[13, 14, 15]),
    ];
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, segments)]));
}

#[test]
fn i1_catches_a_gap_and_an_empty_record() {
    let gap = vec![handed("a", 2, 0, &[10, 11, 12]), handed("b", 3, 5, &[15])];
    assert_violated(Invariant::I1, &with(truth(), vec![taken("s", 1, gap)]));
    assert_violated(
        Invariant::I1,
        &with(truth(), vec![taken("s", 1, Vec::new())]),
    );
}

#[test]
fn i2_holds_at_the_bound_and_not_beyond() {
    assert_held(
        Invariant::I2,
        &[taken("s", 1, vec![handed("a", 2, 0, &[10])])],
    );
    assert_violated(
        Invariant::I2,
        &[taken("s", 1, vec![handed("a", 1, 0, &[10])])],
    );
    let oldest_in_the_middle = vec![
        handed("a", 4, 0, &[10]),
        handed("a", 1, 1, &[11]),
        handed("a", 4, 2, &[12]),
    ];
    assert_violated(Invariant::I2, &[taken("s", 1, oldest_in_the_middle)]);
}

fn submitted(sample: &str) -> Event {
    at(
        0,
        EventBody::SampleSubmitted {
            run: RunName::from("dials"),
            sample: SampleId::from(sample),
        },
    )
}

fn trainer_ended() -> Event {
    at(
        9,
        EventBody::TrainerEnded {
            run: RunName::from("dials"),
        },
    )
}

#[test]
fn i3_holds_when_each_sample_comes_once() {
    let history = [
        submitted("s"),
        taken("s", 1, vec![handed("a", 2, 0, &[10])]),
        trainer_ended(),
    ];
    assert_held(Invariant::I3, &history);
}

#[test]
fn i3_catches_a_second_hand_over_under_another_place() {
    let segments = || vec![handed("a", 2, 0, &[10])];
    let history = [
        submitted("s"),
        taken("s", 1, segments()),
        taken("s", 2, segments()),
        trainer_ended(),
    ];
    assert_violated(Invariant::I3, &history);
}

#[test]
fn i3_catches_a_sample_lost_with_its_owner() {
    let history = [
        submitted("s"),
        submitted("t"),
        taken("s", 1, vec![handed("a", 2, 0, &[10])]),
        trainer_ended(),
    ];
    assert_violated(Invariant::I3, &history);
}

#[test]
fn i3_catches_a_sample_that_nobody_submitted() {
    let history = [
        taken("s", 1, vec![handed("a", 2, 0, &[10])]),
        trainer_ended(),
    ];
    assert_violated(Invariant::I3, &history);
}

#[test]
fn i3_says_nothing_of_a_trainer_that_has_not_ended() {
    let verdict = verdict_of(Invariant::I3, &[submitted("s")]);
    assert_eq!(verdict.checked, 0);
    assert!(!verdict.holds(), "unchecked does not hold");
}

// Live requests.

fn sent(at_us: u64, send: &str, class: RunClass, key: Option<&str>) -> Event {
    at(
        at_us,
        EventBody::RequestSent {
            send: send.to_owned(),
            marker: key.unwrap_or(send).to_owned(),
            node: NodeId::from("node"),
            class,
            key: key.map(str::to_owned),
        },
    )
}

fn ended(at_us: u64, send: &str, outcome: SendOutcome) -> Event {
    at(
        at_us,
        EventBody::RequestEnded {
            send: send.to_owned(),
            outcome,
        },
    )
}

fn answered(marker: &str, whole: bool, revision: u64) -> SendOutcome {
    SendOutcome::Answered {
        marker: marker.to_owned(),
        whole,
        revision: Revision(revision),
    }
}

fn not_run() -> SendOutcome {
    SendOutcome::Refused {
        code: 1101,
        kind: Kind::NotRun,
    }
}

fn started(at_us: u64, engine: &str, send: &str) -> Event {
    at(
        at_us,
        EventBody::RunStarted {
            engine: EngineId::from(engine),
            send: send.to_owned(),
            key: None,
        },
    )
}

fn run_ended(at_us: u64, engine: &str, send: &str) -> Event {
    at(
        at_us,
        EventBody::RunEnded {
            engine: EngineId::from(engine),
            send: send.to_owned(),
        },
    )
}

#[test]
fn i4_holds_for_ones_own_whole_answer() {
    let history = [
        sent(1, "a", RunClass::Repeatable, None),
        ended(2, "a", answered("a", true, 1)),
    ];
    assert_held(Invariant::I4, &history);
}

#[test]
fn i4_catches_crossed_partial_and_unasked_answers() {
    let sending = || sent(1, "a", RunClass::Repeatable, None);
    assert_violated(
        Invariant::I4,
        &[sending(), ended(2, "a", answered("b", true, 1))],
    );
    assert_violated(
        Invariant::I4,
        &[sending(), ended(2, "a", answered("a", false, 1))],
    );
    assert_violated(Invariant::I4, &[ended(2, "z", answered("z", true, 1))]);
}

#[test]
fn i5_holds_when_nothing_was_started() {
    let history = [
        sent(1, "a", RunClass::Repeatable, None),
        ended(2, "a", not_run()),
        sent(3, "b", RunClass::Repeatable, None),
        started(4, "e", "b"),
        ended(5, "b", answered("b", true, 1)),
    ];
    assert_held(Invariant::I5, &history);
}

#[test]
fn i5_catches_a_start_before_and_after_the_refusal() {
    let before = [
        sent(1, "a", RunClass::Repeatable, None),
        started(2, "e", "a"),
        ended(3, "a", not_run()),
    ];
    assert_violated(Invariant::I5, &before);
    let retry_races_the_refusal = [
        sent(1, "a", RunClass::Repeatable, None),
        ended(2, "a", not_run()),
        started(3, "e", "a"),
    ];
    assert_violated(Invariant::I5, &retry_races_the_refusal);
}

#[test]
fn i6_holds_for_a_key_that_ran_once() {
    let history = [
        sent(1, "a", RunClass::AtMostOnce, Some("k")),
        started(2, "e", "a"),
        sent(3, "b", RunClass::AtMostOnce, Some("k")),
        ended(4, "b", answered("k", true, 1)),
    ];
    assert_held(Invariant::I6, &history);
}

#[test]
fn i6_catches_a_key_through_two_zones_and_a_keyless_retry() {
    let two_zones = [
        sent(1, "a", RunClass::AtMostOnce, Some("k")),
        sent(1, "b", RunClass::AtMostOnce, Some("k")),
        started(2, "e", "a"),
        started(3, "f", "b"),
    ];
    assert_violated(Invariant::I6, &two_zones);
    let keyless = [
        sent(1, "a", RunClass::AtMostOnce, None),
        started(2, "e", "a"),
        started(3, "f", "a"),
    ];
    assert_violated(Invariant::I6, &keyless);
    let repeatable = [
        sent(1, "a", RunClass::Repeatable, None),
        started(2, "e", "a"),
        started(3, "f", "a"),
    ];
    let verdict = verdict_of(Invariant::I6, &repeatable);
    assert!(verdict.violations.is_empty(), "{verdict}");
}

fn leaving(at_us: u64, engine: &str) -> Event {
    at(
        at_us,
        EventBody::EngineLeaving {
            engine: EngineId::from(engine),
        },
    )
}

#[test]
fn i7_allows_work_within_the_bound_only() {
    let in_time = [leaving(0, "e"), started(2 * SECOND, "e", "a")];
    assert_held(Invariant::I7, &in_time);
    let late = [leaving(0, "e"), started(4 * SECOND, "e", "a")];
    assert_violated(Invariant::I7, &late);
    let late_sample = [
        leaving(0, "e"),
        at(
            4 * SECOND,
            EventBody::GenerationStarted {
                engine: EngineId::from("e"),
                request: RequestId::from("r"),
            },
        ),
    ];
    assert_violated(Invariant::I7, &late_sample);
    let marked_twice = [
        leaving(0, "e"),
        leaving(3 * SECOND, "e"),
        started(4 * SECOND, "e", "a"),
    ];
    assert_violated(Invariant::I7, &marked_twice);
}

#[test]
fn i7_forgets_a_mark_that_was_taken_back() {
    let resumed = [
        leaving(0, "e"),
        at(
            SECOND,
            EventBody::EngineResumed {
                engine: EngineId::from("e"),
            },
        ),
        started(5 * SECOND, "e", "a"),
        leaving(6 * SECOND, "f"),
        started(7 * SECOND, "e", "b"),
    ];
    assert_held(Invariant::I7, &resumed);
}

fn stopping(at_us: u64) -> Event {
    at(
        at_us,
        EventBody::NodeStopping {
            node: NodeId::from("node"),
        },
    )
}

fn stopped(at_us: u64, code: i32) -> Event {
    at(
        at_us,
        EventBody::NodeStopped {
            node: NodeId::from("node"),
            code,
        },
    )
}

#[test]
fn i8_holds_for_a_stop_that_lets_requests_end() {
    let history = [
        sent(1, "a", RunClass::Repeatable, None),
        stopping(2),
        ended(3, "a", answered("a", true, 1)),
        stopped(4, 0),
    ];
    assert_held(Invariant::I8, &history);
}

#[test]
fn i8_catches_a_cut_connection_a_bad_exit_and_a_cut_run() {
    let cut = [
        sent(1, "a", RunClass::Repeatable, None),
        stopping(2),
        ended(3, "a", SendOutcome::Cut),
        stopped(4, 0),
    ];
    assert_violated(Invariant::I8, &cut);
    assert_violated(Invariant::I8, &[stopping(2), stopped(4, -1)]);
    let run_cut = [
        started(1, "e", "a"),
        leaving(2, "e"),
        stopping(3),
        stopped(4, 0),
    ];
    assert_violated(Invariant::I8, &run_cut);
    let run_ends = [
        started(1, "e", "a"),
        leaving(2, "e"),
        run_ended(3, "e", "a"),
        stopping(4),
        stopped(5, 0),
    ];
    assert_held(Invariant::I8, &run_ends);
    let asker_has_gone = [
        started(1, "e", "a"),
        at(
            2,
            EventBody::RunCancelled {
                engine: EngineId::from("e"),
                send: "a".to_owned(),
            },
        ),
        leaving(3, "e"),
        stopping(4),
        stopped(5, 0),
    ];
    assert_held(Invariant::I8, &asker_has_gone);
}

// Configuration.

fn apply_sent(at_us: u64, apply: &str) -> Event {
    at(
        at_us,
        EventBody::ApplySent {
            apply: ApplyId::from(apply),
        },
    )
}

fn apply_ended(at_us: u64, apply: &str, outcome: ApplyOutcome) -> Event {
    at(
        at_us,
        EventBody::ApplyAnswered {
            apply: ApplyId::from(apply),
            outcome,
        },
    )
}

fn accepted(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted(Revision(revision))
}

fn read(at_us: u64, node: &str, revision: u64) -> Event {
    at(
        at_us,
        EventBody::RevisionRead {
            node: NodeId::from(node),
            zone: ZoneName::from("hfj"),
            revision: Revision(revision),
        },
    )
}

#[test]
fn i9_holds_for_ordered_applies_and_reads() {
    let history = [
        apply_sent(1, "x"),
        apply_ended(2, "x", accepted(1)),
        apply_sent(3, "y"),
        apply_ended(4, "y", ApplyOutcome::Unknown),
        apply_ended(5, "y", accepted(2)),
        read(6, "n", 2),
        sent(20 * SECOND, "a", RunClass::Repeatable, None),
        ended(21 * SECOND, "a", answered("a", true, 2)),
    ];
    assert_held(Invariant::I9, &history);
}

#[test]
fn i9_catches_an_older_revision_past_the_bound() {
    let history = [
        apply_sent(1, "x"),
        apply_ended(2, "x", accepted(2)),
        sent(20 * SECOND, "a", RunClass::Repeatable, None),
        ended(21 * SECOND, "a", answered("a", true, 1)),
    ];
    assert_violated(Invariant::I9, &history);
}

#[test]
fn i9_catches_a_node_that_goes_back() {
    assert_violated(Invariant::I9, &[read(1, "n", 3), read(2, "n", 2)]);
    let two_nodes = [read(1, "n", 3), read(2, "m", 2)];
    assert_held(Invariant::I9, &two_nodes);
}

#[test]
fn i9_catches_two_applies_of_one_revision() {
    let history = [
        apply_sent(1, "x"),
        apply_sent(1, "y"),
        apply_ended(2, "x", accepted(1)),
        apply_ended(3, "y", accepted(1)),
    ];
    assert_violated(Invariant::I9, &history);
}

#[test]
fn i9_catches_an_order_against_real_time() {
    let history = [
        apply_sent(1, "x"),
        apply_ended(2, "x", accepted(5)),
        apply_sent(3, "y"),
        apply_ended(4, "y", accepted(4)),
    ];
    assert_violated(Invariant::I9, &history);
}

#[test]
fn i9_catches_answers_that_change() {
    let refused_then_accepted = [
        apply_sent(1, "x"),
        apply_ended(2, "x", ApplyOutcome::Refused),
        apply_ended(3, "x", accepted(1)),
    ];
    assert_violated(Invariant::I9, &refused_then_accepted);
    let accepted_then_refused = [
        apply_sent(1, "x"),
        apply_ended(2, "x", accepted(1)),
        apply_ended(3, "x", ApplyOutcome::Refused),
    ];
    assert_violated(Invariant::I9, &accepted_then_refused);
}

// Reading and replay.

#[test]
fn an_empty_history_holds_nothing() {
    for verdict in check(&[], CheckBounds::default()) {
        assert!(!verdict.holds());
        assert!(verdict.to_string().ends_with("unchecked"));
    }
}

#[test]
fn events_survive_their_lines_and_a_torn_last_line_is_left_out() {
    let events = truth();
    let mut text = String::new();
    for event in &events {
        text.push_str(&serde_json::to_string(event).expect("plain data"));
        text.push('\n');
    }
    text.push_str("{\"at_us\": 5, \"ev");
    assert_eq!(read_history(&text).expect("readable"), events);
    assert!(read_history("{\"at_us\": 5}\n").is_err());
}

#[test]
fn every_trace_of_the_repository_replays_to_its_outcomes() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut replayed = 0;
    for entry in std::fs::read_dir(folder).expect("there is a folder of traces") {
        let path = entry.expect("readable").path();
        let text = std::fs::read_to_string(&path).expect("readable");
        let report = replay(&text).expect("a trace");
        assert!(
            report.agrees(),
            "{}: {:?}",
            path.display(),
            report.differences
        );
        replayed += 1;
    }
    assert!(replayed > 0);
}

#[test]
fn a_trace_with_a_wrong_outcome_is_told_from_a_right_one() {
    let trace = |outcome: &str| {
        format!(
            "{{\"logic\":\"ledger\",\"staleness_bound\":1,\"unfinished_limit\":9}}\n\
             {{\"call\":\"submit\",\"step\":1,\"samples\":[\"a\"],\"outcome\":\"{outcome}\"}}\n"
        )
    };
    let right = replay(&trace("accepted 1 known 0")).expect("a trace");
    assert!(right.agrees());
    let wrong = replay(&trace("accepted 0 known 1")).expect("a trace");
    assert!(!wrong.agrees());
}
