//! The whole path with every program as a process of its own, stopped by SIGTERM.

use std::path::PathBuf;
use std::process::Command;

/// A short run whose only faults are planned stops, drains and kills. It ends when
/// every sample was taken, not after a time.
fn run_faults(profile: &str, seed: &str, seconds: &str, only: &str) -> String {
    let folder: PathBuf = std::env::temp_dir().join(format!(
        "sloetrail-test-{}-{profile}-{seed}",
        std::process::id()
    ));
    let output = Command::new(env!("CARGO_BIN_EXE_sloetrail-lab"))
        .args(["faults", "--profile", profile, "--seed", seed])
        .args(["--seconds", seconds, "--only", only])
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the lab is built");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{text}\n{log}");
    std::fs::remove_dir_all(folder).expect("the run made its folder");
    text
}

#[test]
fn planned_stops_and_drains_cut_nothing_off() {
    let text = run_faults("maelir", "7", "8", "stop-node,drain-engine");
    for invariant in 1..=9 {
        assert!(text.contains(&format!("I{invariant} held")), "{text}");
    }
    assert!(text.contains("complete=true"), "{text}");
}
