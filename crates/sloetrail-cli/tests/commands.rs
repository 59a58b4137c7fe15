//! The commands that need no node, from the outside.

use std::path::PathBuf;
use std::process::{Command, Output};

fn repository(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

fn sloetrail(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sloetrail"))
        .args(arguments)
        .output()
        .expect("the command line is built")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn file_with(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sloetrail-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("writable");
    path
}

#[test]
fn both_users_files_are_valid() {
    for file in ["examples/oyelaran.toml", "examples/maelir.toml"] {
        let output = sloetrail(&["validate", &repository(file)]);
        assert!(output.status.success(), "{file}");
    }
}

#[test]
fn a_faulty_file_is_refused_with_its_place() {
    let path = file_with("faulty.toml", "version = 1\n[[zone]]\nname = \"a b\"\n");
    let output = sloetrail(&["--output", "json", "validate", &path.display().to_string()]);
    std::fs::remove_file(path).expect("it is there");
    assert_eq!(output.status.code(), Some(2));
    let printed: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(printed["problem"]["code"], 2004);
    let detail = printed["problem"]["detail"].as_str().expect("text");
    assert!(detail.contains(":3: zone.name"), "{detail}");
}

#[test]
fn codes_are_explained() {
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
fn an_unreachable_node_has_its_own_exit_code() {
    // A port that was free a moment ago and that nobody listens on.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let output = sloetrail(&["get", "--node", &address]);
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn a_history_is_judged_and_unchecked_does_not_pass() {
    let held = "{\"at_us\":1,\"event\":\"request_sent\",\"send\":\"a\",\"marker\":\"a\",\
        \"node\":\"n\",\"class\":\"repeatable\",\"key\":null}\n\
        {\"at_us\":2,\"event\":\"request_ended\",\"send\":\"a\",\"outcome\":{\"answered\":\
        {\"marker\":\"a\",\"whole\":true,\"revision\":1}}}\n";
    let path = file_with("history.jsonl", held).display().to_string();
    let only = sloetrail(&["check", &path, "--only", "I4"]);
    assert!(only.status.success());
    assert_eq!(stdout(&only), "I4 held checked=1\n");
    let all = sloetrail(&["check", &path]);
    assert_eq!(all.status.code(), Some(1));
    assert!(stdout(&all).contains("I5 unchecked"));
    let crossed = held.replace("{\"marker\":\"a\"", "{\"marker\":\"b\"");
    let path = file_with("crossed.jsonl", &crossed).display().to_string();
    let violated = sloetrail(&["check", &path, "--only", "I4"]);
    assert_eq!(violated.status.code(), Some(1));
    assert!(stdout(&violated).starts_with("I4 violated checked=1"));
}

#[test]
fn traces_are_replayed() {
    let output = sloetrail(&["replay", &repository("traces/withdrawn-sample.jsonl")]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("7 outcomes compared"));
}
