use super::{as_text, gather};
use serde_json::json;

fn line(time_ms: u64, node: &str, decision: serde_json::Value) -> String {
    let line = json!({"time_ms": time_ms, "node": node, "part": "usage", "decision": decision});
    line.to_string()
}

fn reported(window: u64, requests: u64, epoch: u64, outcome: &str) -> serde_json::Value {
    json!({"event": "usage_reported", "window": window, "tenants": 2, "requests": requests,
        "epoch": epoch, "after_end_ms": 4_600, "outcome": outcome, "status": null})
}

#[test]
fn accepted_resent_and_missing_windows_are_distinguished() {
    let first = [
        line(1_000, "n1", reported(10, 7, 1, "accepted")),
        line(6_000, "n1", reported(11, 5, 1, "not now")),
        "not a structured log line".to_owned(),
    ];
    let second = [
        line(9_000, "n2", reported(11, 5, 2, "accepted")),
        line(20_000, "n2", reported(13, 4, 2, "not now")),
        line(
            20_100,
            "n2",
            json!({"event": "usage_left", "window": 13, "requests": 3}),
        ),
    ];
    let logs = [first.join("\n"), second.join("\n")];
    let summary = gather(logs.iter().map(String::as_str));
    assert_eq!(
        as_text(&summary),
        "window, requests, tenants, after its end, answer, sends, holder\n\
         10 7 2 4600 ms accepted 1 n1 (epoch 1)\n\
         11 5 2 4600 ms accepted 2 n2 (epoch 2)\n\
         13 4 2 4600 ms not now 1 n2 (epoch 2)\n\
         2 of 4 windows accepted, 1 missing [12], 3 requests too late\n"
    );
}

#[test]
fn logs_without_reports_have_no_windows() {
    let summary = gather(["", "{}"].into_iter());
    assert!(summary.windows.is_empty() && summary.missing.is_empty());
}
