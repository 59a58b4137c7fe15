use crate::{
    EngineId, Segment, TimeSpan, Timestamp, WeightVersion, bounded, oldest_version, segments_cover,
};
use std::time::Duration;

fn segment(version: u64, first_token: u32, last_token: u32) -> Segment {
    Segment {
        engine: EngineId::from("engine-1"),
        version: WeightVersion(version),
        first_token,
        last_token,
    }
}

#[test]
fn segments_cover_tokens_without_gap_or_overlap() {
    assert!(segments_cover(&[segment(1, 0, 4), segment(2, 5, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 4), segment(2, 6, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 5), segment(2, 5, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 4)], 10));
}

#[test]
fn oldest_version_is_the_minimum_of_the_segments() {
    assert_eq!(
        oldest_version(&[segment(3, 0, 1), segment(2, 2, 3)]),
        Some(WeightVersion(2))
    );
    assert_eq!(oldest_version(&[]), None);
}

#[test]
fn elapsed_time_is_never_negative() {
    assert_eq!(Timestamp(5).since(Timestamp(9)), Duration::ZERO);
    assert_eq!(Timestamp(9).since(Timestamp(5)), Duration::from_millis(4));
}

#[test]
fn digest_of_parts_depends_on_part_boundaries() {
    use crate::digest_of_parts;
    let expected = digest_of_parts(&[b"ab", b"c"]);
    assert_eq!(expected, digest_of_parts(&[b"ab", b"c"]));
    assert_ne!(expected, digest_of_parts(&[b"a", b"bc"]));
    assert_ne!(expected, digest_of_parts(&[b"abc"]));
    assert_ne!(expected, digest_of_parts(&[b"ab", b"c", b""]));
}

#[test]
fn time_spans_are_held_at_their_maximum() {
    assert_eq!(TimeSpan::new(Duration::MAX), TimeSpan::MAX);
    assert_eq!(TimeSpan::from_millis(u64::MAX), TimeSpan::MAX);
    for seconds in [1.844_674_407_370_955e16, 1e226, f64::MAX, f64::INFINITY] {
        assert_eq!(TimeSpan::from_secs_f64(seconds), Some(TimeSpan::MAX));
    }
    assert_eq!(TimeSpan::from_secs_f64(-0.5), None);
    assert_eq!(TimeSpan::from_secs_f64(f64::NAN), None);
    let short = TimeSpan::from_secs_f64(1.5).expect("a time");
    assert_eq!(short.duration(), Duration::from_millis(1_500));
}

#[test]
fn stored_time_spans_are_whole_milliseconds_and_bounded() {
    let stored = serde_json::to_string(&TimeSpan::from_millis(40_000)).expect("encodes");
    assert_eq!(stored, "40000");
    let read: TimeSpan = serde_json::from_str("18446744073709551615").expect("a number");
    assert_eq!(read, TimeSpan::MAX);
}

#[test]
fn sums_of_timestamps_and_durations_saturate() {
    let latest = Timestamp(u64::MAX);
    assert_eq!(latest.after(TimeSpan::MAX.duration()), latest);
    assert_eq!(Timestamp(5).after(Duration::MAX), latest);
    assert_eq!(Timestamp(5).before(Duration::MAX), Timestamp(0));
    assert_eq!(
        Timestamp(5_000).before(Duration::from_secs(2)),
        Timestamp(3_000)
    );
}

#[test]
fn counts_are_held_at_their_maximum() {
    #[derive(serde::Deserialize)]
    struct Message {
        #[serde(deserialize_with = "bounded::count")]
        count: usize,
    }
    let huge = r#"{"count": 18446744073709551615}"#;
    let message: Message = serde_json::from_str(huge).expect("a number");
    assert_eq!(message.count, bounded::MAX_COUNT);
    assert!(serde_json::from_str::<Message>(r#"{"count": -1}"#).is_err());
}
