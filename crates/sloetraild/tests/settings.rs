//! Runs the built daemon to test its settings and flags.

use std::process::{Command, Output};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/node.toml");

fn daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sloetraild"))
        .args(arguments)
        .output()
        .expect("failed to run sloetraild")
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn example_settings_are_valid() {
    let output = daemon(&["--settings", EXAMPLE, "--check-settings"]);
    assert!(output.status.success(), "{}", error_text(&output));
}

#[test]
fn example_settings_match_the_default_bounds() {
    let text = std::fs::read_to_string(EXAMPLE).expect("failed to read the example settings");
    let overrides = sloetrail_config::SettingsOverrides::default();
    let settings = sloetrail_config::NodeSettings::parse("node.toml", &text, &overrides);
    let settings = settings.expect("the example settings must be valid");
    assert_eq!(settings.bounds, sloetrail_config::Bounds::default());
}

#[test]
fn invalid_setting_is_reported_with_field_and_code() {
    let output = daemon(&["--settings", EXAMPLE, "--connection-limit", "0"]);
    assert_eq!(output.status.code(), Some(2));
    let text = error_text(&output);
    assert!(text.contains("bounds.connection_limit"), "{text}");
    assert!(text.contains("code 2004"), "{text}");
}

#[test]
fn missing_setting_and_missing_file_give_different_errors() {
    let output = daemon(&["--zone", "hfj"]);
    assert!(error_text(&output).contains("node: this setting is required"));
    let output = daemon(&["--settings", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(error_text(&output).contains("code 2008"));
}

#[test]
fn help_lists_example_and_settings() {
    let output = daemon(&["--help"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("Example: sloetraild --settings"));
    assert!(text.contains("--configuration-freshness-ms"));
}
