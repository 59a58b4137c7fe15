use crate::{Configuration, NodeSettings, SettingsOverrides, difference};
use sloetrail_result::ResultCode;

const SERVICE_FILE: &str = r#"
version = 1
[[zone]]
name = "hfj"
[[zone]]
name = "rvk"
[[service]]
name = "vision-lm"
kind = "model"
samplers = 9
[[run]]
name = "dials"
service = "vision-lm"
staleness_bound = 1
"#;

const SETTINGS: &str = r#"
node = "node-1"
zone = "hfj"
http_address = "127.0.0.1:8000"
gossip_address = "127.0.0.1:8001"
[platform]
table = "127.0.0.1:9000"
objects = "127.0.0.1:9001"
machines = "127.0.0.1:9002"
scoring = "127.0.0.1:9003"
[bounds]
lease_duration_ms = 2000
"#;

fn error_of(text: &str) -> (ResultCode, usize, String) {
    let error = Configuration::parse("services.toml", text).expect_err("must be refused");
    (error.code, error.line, error.field)
}

#[test]
fn a_sound_file_is_taken() {
    let configuration = Configuration::parse("services.toml", SERVICE_FILE).expect("sound");
    assert_eq!(configuration.zones.len(), 2);
    assert_eq!(configuration.zone_majority(), 2);
    let service = &configuration.services[&"vision-lm".into()];
    assert_eq!(service.samplers, 9);
    assert!(service.repeatable_posts);
}

#[test]
fn each_fault_has_its_line_field_and_code() {
    let unknown_key = SERVICE_FILE.replace("samplers = 9", "samplers = 9\ncolour = 1");
    assert_eq!(
        error_of(&unknown_key),
        (ResultCode::UnknownField, 11, "colour".to_owned())
    );
    let wrong_type = SERVICE_FILE.replace("samplers = 9", "samplers = \"nine\"");
    assert_eq!(
        error_of(&wrong_type),
        (ResultCode::WrongType, 10, "samplers".to_owned())
    );
    let out_of_bounds = SERVICE_FILE.replace("samplers = 9", "samplers = 0");
    assert_eq!(
        error_of(&out_of_bounds),
        (ResultCode::OutOfBounds, 10, "service.samplers".to_owned())
    );
    let duplicate = SERVICE_FILE.replace("name = \"rvk\"", "name = \"hfj\"");
    assert_eq!(
        error_of(&duplicate),
        (ResultCode::DuplicateName, 6, "zone.name".to_owned())
    );
    let reference = SERVICE_FILE.replace("service = \"vision-lm\"", "service = \"vision\"");
    assert_eq!(
        error_of(&reference),
        (ResultCode::UnknownReference, 13, "run.service".to_owned())
    );
    let format = SERVICE_FILE.replace("version = 1\n[[zone", "version = 7\n[[zone");
    assert_eq!(
        error_of(&format),
        (ResultCode::UnsupportedVersion, 2, "version".to_owned())
    );
    let syntax = SERVICE_FILE.replace("samplers = 9", "samplers = = 9");
    assert_eq!(error_of(&syntax).0, ResultCode::SyntaxError);
}

#[test]
fn an_error_reads_well() {
    let text = SERVICE_FILE.replace("samplers = 9", "samplers = 0");
    let error = Configuration::parse("services.toml", &text).expect_err("must be refused");
    insta::assert_snapshot!(
        error.to_string(),
        @"services.toml:10: service.samplers: 0 is not between 1 and 100000 (code 2004)"
    );
}

#[test]
fn the_difference_names_what_changed() {
    let before = Configuration::parse("a", SERVICE_FILE).expect("sound");
    let text = SERVICE_FILE.replace("samplers = 9", "samplers = 10");
    let after = Configuration::parse("b", &text).expect("sound");
    let changes = difference(&before, &after);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry, "service vision-lm");
    assert!(difference(&before, &before).is_empty());
}

#[test]
fn settings_come_from_the_file_and_flags_go_first() {
    let mut overrides = SettingsOverrides::default();
    overrides.set("zone", "kef");
    overrides.set("bounds.connection_limit", "12");
    let settings = NodeSettings::parse("node.toml", SETTINGS, &overrides).expect("sound");
    assert_eq!(settings.zone.as_str(), "kef");
    assert_eq!(settings.bounds.connection_limit, 12);
    assert_eq!(settings.bounds.lease_duration.as_millis(), 2_000);
}

#[test]
fn settings_faults_are_named() {
    let text = SETTINGS.replace("127.0.0.1:9000", "table.example:9000");
    let error = NodeSettings::parse("node.toml", &text, &SettingsOverrides::default())
        .expect_err("names are not IP numbers");
    assert_eq!(error.code, ResultCode::OutOfBounds);
    assert_eq!(error.field, "platform.table");
    assert_eq!(error.line, 7);
    let mut overrides = SettingsOverrides::default();
    overrides.set("bounds.no_such", "1");
    let error = NodeSettings::parse("node.toml", SETTINGS, &overrides).expect_err("unknown");
    assert_eq!(error.code, ResultCode::UnknownField);
}
