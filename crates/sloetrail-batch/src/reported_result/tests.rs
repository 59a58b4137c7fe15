use crate::{
    ListedResult, ReaderDemand, ReportedResult, ReportedResultState, ResultState, TextSegment,
};
use sloetrail_types::{EngineId, WeightVersion};

fn listed(versions: &[u64]) -> ListedResult {
    ListedResult {
        id: "a1".to_owned(),
        state: ResultState::Succeeded,
        text: "x\ny".to_owned(),
        versions: versions.iter().copied().map(WeightVersion).collect(),
        score: Some("s".to_owned()),
        groups_are_whole: true,
        segments: vec![TextSegment {
            engine: Some(EngineId::from("a")),
            version: versions.first().copied().map(WeightVersion),
            events: 2,
        }],
    }
}

fn told(listed: ListedResult, segments: bool, oldest: Option<u64>) -> ReportedResult {
    let demand = ReaderDemand {
        segments,
        oldest_version: oldest.map(WeightVersion),
    };
    ReportedResult::new(listed, demand)
}

fn json(told: &ReportedResult) -> String {
    serde_json::to_string(told).expect("plain data")
}

#[test]
fn a_reader_whose_dialect_tells_no_segments_reads_none() {
    let expected = r#"{"id":"a1","state":"succeeded","text":"x\ny","versions":[2,3],"score":"s"}"#;
    assert_eq!(json(&told(listed(&[2, 3]), false, None)), expected);
    let dead = told(ListedResult::dead("a1".to_owned()), false, None);
    let expected = r#"{"id":"a1","state":"dead","text":"","versions":[]}"#;
    assert_eq!(json(&dead), expected);
}

#[test]
fn a_reader_whose_dialect_tells_segments_reads_them() {
    let told = told(listed(&[2]), true, None);
    assert_eq!(told.segments, listed(&[2]).segments);
    let expected = r#""segments":[{"engine":"a","version":2,"events":2}]}"#;
    assert!(json(&told).ends_with(expected), "{}", json(&told));
}

#[test]
fn a_text_with_one_event_that_is_too_old_is_not_handed_over() {
    let too_old = told(listed(&[2, 3]), true, Some(3));
    let expected = r#"{"id":"a1","state":"too_old","text":"","versions":[2,3]}"#;
    assert_eq!(json(&too_old), expected);
    let fresh = told(listed(&[2, 3]), true, Some(2));
    assert_eq!(
        (fresh.state, fresh.text.as_str()),
        (ReportedResultState::Succeeded, "x\ny")
    );
}

#[test]
fn events_without_a_version_are_older_than_any() {
    assert_eq!(
        told(listed(&[]), true, Some(1)).state,
        ReportedResultState::TooOld
    );
    let mut partly = listed(&[3]);
    partly.segments.push(TextSegment {
        engine: Some(EngineId::from("b")),
        version: None,
        events: 1,
    });
    assert_eq!(
        told(partly, true, Some(3)).state,
        ReportedResultState::TooOld
    );
}

#[test]
fn an_item_that_was_given_up_is_dead_whatever_the_reader_takes() {
    let dead = told(ListedResult::dead("a1".to_owned()), true, Some(9));
    assert_eq!(dead.state, ReportedResultState::Dead);
}
