//! Runs the built binary for commands that need no running node.

use std::path::PathBuf;
use std::process::{Command, Output};

fn repository(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

fn sloetrail(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sloetrail"))
        .args(arguments)
        .output()
        .expect("failed to run sloetrail")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn file_with(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sloetrail-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("failed to write the file");
    path
}

#[test]
fn example_service_files_are_valid() {
    for file in ["examples/oyelaran.toml", "examples/maelir.toml"] {
        let output = sloetrail(&["validate", &repository(file)]);
        assert!(output.status.success(), "{file}");
    }
}

#[test]
fn invalid_file_is_refused_with_line_and_field() {
    let path = file_with("faulty.toml", "version = 1\n[[zone]]\nname = \"a b\"\n");
    let output = sloetrail(&["--output", "json", "validate", &path.display().to_string()]);
    std::fs::remove_file(path).expect("failed to remove the file");
    assert_eq!(output.status.code(), Some(2));
    let printed: serde_json::Value =
        serde_json::from_str(&stdout(&output)).expect("output must be JSON");
    assert_eq!(printed["problem"]["code"], 2004);
    let detail = printed["problem"]["detail"]
        .as_str()
        .expect("detail must be a string");
    assert!(detail.contains(":3: zone.name"), "{detail}");
}

#[test]
fn result_codes_are_explained() {
    let output = sloetrail(&["explain", "1107"]);
    insta::assert_snapshot!(stdout(&output).trim_end(), @r"
    1107 table unavailable
      not run: proved, nothing was executed or changed
      The table service did not settle what this request needs first.
      Ask again after the time given.
    ");
    assert_eq!(sloetrail(&["explain", "9"]).status.code(), Some(2));
}

#[test]
fn unreachable_node_gives_exit_code_3() {
    // Binds and releases a port, so that connections to it are refused.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
    let address = listener
        .local_addr()
        .expect("failed to read the local address")
        .to_string();
    drop(listener);
    let output = sloetrail(&["get", "--node", &address]);
    assert_eq!(output.status.code(), Some(3));
    let output = sloetrail(&["zones", &address]);
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn evacuated_zones_are_read_from_node_metrics() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
    let address = listener
        .local_addr()
        .expect("failed to read the local address")
        .to_string();
    let node = std::thread::spawn(move || {
        let (mut caller, _) = listener.accept().expect("failed to accept a connection");
        let mut request = [0; 1_024];
        let length = caller
            .read(&mut request)
            .expect("failed to read the request");
        let body = "sloetrail_evacuation_seconds{zone=\"north\"} 4.5\n\
            sloetrail_evacuation_running{zone=\"north\",kind=\"items\"} 3\n";
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        caller
            .write_all(head.as_bytes())
            .expect("failed to write the response");
        caller
            .write_all(body.as_bytes())
            .expect("failed to write the response");
        String::from_utf8_lossy(&request[..length]).into_owned()
    });
    let output = sloetrail(&["zones", &address]);
    assert!(output.status.success());
    assert_eq!(
        stdout(&output),
        "zone, in force on, since, live, items\nnorth 1 of 1 nodes 4.5 s 0 3\n"
    );
    let request = node.join().expect("the server thread panicked");
    assert!(request.starts_with("GET /metrics HTTP/1.1"), "{request}");
}

#[test]
fn check_fails_for_violated_or_unchecked_invariants() {
    let history = "{\"at_us\":1,\"event\":\"request_sent\",\"send\":\"a\",\"marker\":\"a\",\
        \"node\":\"n\",\"class\":\"repeatable\",\"key\":null}\n\
        {\"at_us\":2,\"event\":\"request_ended\",\"send\":\"a\",\"outcome\":{\"answered\":\
        {\"marker\":\"a\",\"whole\":true,\"revision\":1}}}\n";
    let path = file_with("history.jsonl", history).display().to_string();
    let only = sloetrail(&["check", &path, "--only", "I4"]);
    assert!(only.status.success());
    assert_eq!(stdout(&only), "I4 held checked=1\n");
    let all = sloetrail(&["check", &path]);
    assert_eq!(all.status.code(), Some(1));
    assert!(stdout(&all).contains("I5 unchecked"));
    let crossed = history.replace("{\"marker\":\"a\"", "{\"marker\":\"b\"");
    let path = file_with("crossed.jsonl", &crossed).display().to_string();
    let violated = sloetrail(&["check", &path, "--only", "I4"]);
    assert_eq!(violated.status.code(), Some(1));
    assert!(stdout(&violated).starts_with("I4 violated checked=1"));
}

#[test]
fn trace_replay_compares_all_outcomes() {
    let output = sloetrail(&["replay", &repository("traces/withdrawn-sample.jsonl")]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("7 outcomes compared"));
}

fn log_line(time_ms: u64, node: &str, decision: &serde_json::Value) -> String {
    serde_json::json!({"time_ms": time_ms, "node": node, "part": "batch", "decision": decision})
        .to_string()
}

#[test]
fn item_timeline_merges_logs_of_several_nodes() {
    use serde_json::json;
    let first = [
        log_line(
            1_000,
            "a",
            &json!({"event": "batch_accepted", "batch": "b1", "items": 2}),
        ),
        log_line(
            1_400,
            "a",
            &json!({"event": "batch_accepted", "batch": "b2", "items": 2}),
        ),
        "not a structured log line".to_owned(),
    ]
    .join("\n");
    let second = [
        log_line(
            1_050,
            "b",
            &json!({"event": "item_started", "item": "i1", "batch": "b1"}),
        ),
        log_line(
            1_060,
            "b",
            &json!({"event": "item_started", "item": "i2", "batch": "b1"}),
        ),
        log_line(
            1_070,
            "b",
            &json!({"event": "lines_dropped", "overflow": 3, "thinned": 4}),
        ),
        log_line(
            1_020,
            "b",
            &json!({"event": "item_dead", "item": "i1", "batch": "b1"}),
        ),
    ]
    .join("\n");
    let first = file_with("first.log", &first).display().to_string();
    let second = file_with("second.log", &format!("prefix {second}"))
        .display()
        .to_string();
    let output = sloetrail(&["explain-request", "i1", &second, &first]);
    assert!(output.status.success());
    insta::assert_snapshot!(stdout(&output).trim_end(), @r"
           0 ms  a                      [batch] batch accepted: batch=b1 items=2
          50 ms  b                      [batch] item started: batch=b1 item=i1
          20 ms  b                      [batch] item dead: batch=b1 item=i1
    b did not write 7 lines in that time
    the clock of b went back by 50 ms
    1 lines could not be read
    ");
    let output = sloetrail(&["--output", "json", "explain-request", "i2", &first, &second]);
    let timeline: serde_json::Value =
        serde_json::from_str(&stdout(&output)).expect("output must be JSON");
    assert_eq!(timeline["lines"][0]["decision"]["event"], "batch_accepted");
    let output = sloetrail(&["explain-request", "nobody", &first]);
    assert!(stdout(&output).contains("no log line mentions nobody"));
    assert_eq!(
        sloetrail(&["explain-request", "x", "/nowhere"])
            .status
            .code(),
        Some(2)
    );
}

#[test]
fn serving_configuration_with_a_huge_number_is_valid_and_the_number_is_named() {
    let route = r#"{"name": "r1", "host": "a.example", "path_prefix": "/a/", "kind": "rollout",
                    "service": "models", "retain_s": 1e30}"#;
    let path = file_with(
        "huge.json",
        &format!(r#"{{"version": 1, "routes": [{route}]}}"#),
    );
    let output = sloetrail(&["check-configuration", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("route r1: retain_s: 315360000 is used"),
        "{text}"
    );
    let output = sloetrail(&[
        "--output",
        "json",
        "check-configuration",
        &path.display().to_string(),
    ]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["held"][0]["used"], "315360000");
}

#[test]
fn field_of_a_wrong_type_in_a_serving_configuration_is_named() {
    let path = file_with(
        "wrong.json",
        r#"{"version": 1, "limits": {"max_body_bytes": "much"}}"#,
    );
    let output = sloetrail(&["check-configuration", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("limits.max_body_bytes"), "{text}");
}
