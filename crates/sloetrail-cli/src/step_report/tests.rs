use super::{StepParts, as_text, gather};
use serde_json::json;

fn line(time_ms: u64, node: &str, decision: serde_json::Value) -> String {
    let line = json!({"time_ms": time_ms, "node": node, "part": "batch", "decision": decision});
    line.to_string()
}

fn completed(batch: &str, age_ms: u64, opened_ms: u64) -> serde_json::Value {
    json!({"event": "step_whole", "batch": batch, "groups": 2, "age_ms": age_ms,
        "opened_ms": opened_ms, "item": "i7", "wanted": true, "waiting_ms": 10,
        "running_ms": age_ms - opened_ms - 60, "between_runs_ms": 5, "scoring_ms": 30,
        "committing_ms": 15, "runs": 2, "events_made": 40, "longest_events": 50,
        "least_ms": 1_800, "waited_while_others_free_ms": 700, "epoch": 3})
}

fn logs() -> [String; 2] {
    let accepted = |batch: &str| {
        json!({"event": "batch_accepted", "batch": batch, "service": "s", "items": 8,
            "repeated": false, "took_ms": 30})
    };
    let opened = |batch: &str, listed: u64| {
        json!({"event": "batch_opened", "batch": batch, "items": 8, "listed": listed,
            "epoch": 1, "age_ms": 70})
    };
    let waiting = |waiting: u64, free_of_others: u64| {
        json!({"event": "items_waiting", "service": "s", "model": "m", "waiting": waiting,
            "running": 16, "free": 0, "free_of_others": free_of_others})
    };
    let first = [
        line(1_000, "n1", accepted("b1")),
        line(1_050, "n1", opened("b1", 0)),
        line(5_000, "n1", accepted("b2")),
        "not a structured log line".to_owned(),
        line(5_050, "n1", opened("b2", 0)),
    ];
    let second = [
        line(3_000, "n2", completed("b1", 2_000, 50)),
        line(7_000, "n2", opened("b2", 3)),
        line(7_100, "n2", waiting(30, 4)),
        line(8_100, "n2", waiting(10, 8)),
        line(
            7_200,
            "n2",
            json!({"event": "batch_ended", "batch": "b0", "unfinished": 1}),
        ),
    ];
    [first.join("\n"), second.join("\n")]
}

#[test]
fn phases_add_up_and_incomplete_steps_are_listed() {
    let logs = logs();
    let report = gather(logs.iter().map(String::as_str));
    assert_eq!(
        report.steps.len(),
        2,
        "a batch without acceptance or opening must be skipped"
    );
    let parts: u64 = report.sums.named().iter().map(|(_, part)| part).sum();
    assert_eq!(parts, report.age_ms);
    assert_ne!(report.sums, StepParts::default());
    assert!(report.steps[1].whole.is_none());
    assert_eq!(report.steps[1].openings, 2, "both openings must be counted");
}

#[test]
fn the_report_reads_as_a_table() {
    let logs = logs();
    let report = gather(logs.iter().map(String::as_str));
    insta::assert_snapshot!(as_text(&report));
}

#[test]
fn logs_without_steps_give_an_empty_report() {
    let report = gather(["", "{}", "{\"time_ms\":1}"]);
    assert!(report.steps.is_empty());
    assert!(as_text(&report).ends_with("0 steps complete, 0 incomplete\n"));
}
