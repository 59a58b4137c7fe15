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
fn segments_must_join_without_gap_or_overlap() {
    assert!(segments_cover(&[segment(1, 0, 4), segment(2, 5, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 4), segment(2, 6, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 5), segment(2, 5, 9)], 10));
    assert!(!segments_cover(&[segment(1, 0, 4)], 10));
}

#[test]
fn the_oldest_version_counts() {
    assert_eq!(
        oldest_version(&[segment(3, 0, 1), segment(2, 2, 3)]),
        Some(WeightVersion(2))
    );
    assert_eq!(oldest_version(&[]), None);
}

#[test]
fn time_does_not_go_back() {
    assert_eq!(Timestamp(5).since(Timestamp(9)), Duration::ZERO);
    assert_eq!(Timestamp(9).since(Timestamp(5)), Duration::from_millis(4));
}

#[test]
fn a_digest_of_parts_tells_where_they_are_cut() {
    use crate::digest_of_parts;
    let whole = digest_of_parts(&[b"ab", b"c"]);
    assert_eq!(whole, digest_of_parts(&[b"ab", b"c"]));
    assert_ne!(whole, digest_of_parts(&[b"a", b"bc"]));
    assert_ne!(whole, digest_of_parts(&[b"abc"]));
    assert_ne!(whole, digest_of_parts(&[b"ab", b"c", b""]));
}
