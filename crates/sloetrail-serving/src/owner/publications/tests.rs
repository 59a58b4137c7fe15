use super::Publications;
use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::time::Duration;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn first_version_becomes_long_lived_with_age() {
    let started_at = BootInstant::now();
    let mut publications = Publications::default();
    assert!(
        !publications.is_long_lived("a", started_at),
        "nothing is published"
    );
    publications.record("a", WeightVersion(2), started_at);
    assert!(!publications.is_long_lived("a", started_at + seconds(4)));
    assert!(publications.is_long_lived("a", started_at + seconds(5)));
}

#[test]
fn successor_of_long_lived_version_is_long_lived() {
    let started_at = BootInstant::now();
    let mut publications = Publications::default();
    publications.record("a", WeightVersion(2), started_at);
    publications.record("a", WeightVersion(3), started_at + seconds(240));
    assert!(publications.is_long_lived("a", started_at + seconds(240)));
    publications.record("a", WeightVersion(4), started_at + seconds(244));
    assert!(
        !publications.is_long_lived("a", started_at + seconds(249)),
        "versions are frequent now"
    );
}

#[test]
fn frequent_versions_become_long_lived_once_they_stop() {
    let started_at = BootInstant::now();
    let mut publications = Publications::default();
    for version in 0..5 {
        let at = started_at + seconds(version * 4);
        publications.record("a", WeightVersion(version + 2), at);
        publications.record("a", WeightVersion(version + 2), at + seconds(1));
    }
    let last = started_at + seconds(16);
    assert!(!publications.is_long_lived("a", last + seconds(14)));
    assert!(publications.is_long_lived("a", last + seconds(15)));
}
