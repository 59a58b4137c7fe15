use super::{ExperimentSettings, Policy, simulate};

const FILE: &str = include_str!("../../../../experiments/oyelaran.toml");

fn small() -> ExperimentSettings {
    let mut settings = ExperimentSettings::parse(FILE).expect("sound");
    settings.steps = 6;
    settings.samples_per_step = 64;
    settings.engines = 2;
    settings.train_seconds = 30.0;
    settings
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let settings = small();
    let first = simulate(&settings, Policy::Ahead, 3);
    let second = simulate(&settings, Policy::Ahead, 3);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn every_policy_trains_every_step_within_the_bound() {
    let settings = small();
    for policy in [
        Policy::Baseline,
        Policy::BaselineAhead,
        Policy::Synchronous,
        Policy::Ahead,
        Policy::AheadWaitingSwap,
        Policy::AheadUnordered,
        Policy::AheadAnyVersion,
    ] {
        let report = simulate(&settings, policy, 1);
        assert!(
            report.idle_share > 0.0 && report.idle_share < 1.0,
            "{report:?}"
        );
        assert!(
            report.staleness.max <= settings.staleness_bound,
            "{report:?}"
        );
    }
}

#[test]
fn a_file_with_an_unknown_key_or_no_engine_is_refused() {
    let unknown = FILE.replace("engines = ", "colour = 1\nengines = ");
    assert!(ExperimentSettings::parse(&unknown).is_err());
    let mut lines: Vec<&str> = FILE.lines().collect();
    lines.retain(|line| !line.starts_with("engines"));
    let none = format!("engines = 0\n{}", lines.join("\n"));
    assert!(ExperimentSettings::parse(&none).is_err());
}
