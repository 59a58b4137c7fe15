use crate::{EngineId, Segment, Timestamp, WeightVersion, oldest_version, segments_cover};
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
