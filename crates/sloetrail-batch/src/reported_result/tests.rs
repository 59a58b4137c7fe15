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

fn reported(listed: ListedResult, segments: bool, oldest: Option<u64>) -> ReportedResult {
    let demand = ReaderDemand {
        segments,
        oldest_version: oldest.map(WeightVersion),
    };
    ReportedResult::new(listed, demand)
}

fn json(reported: &ReportedResult) -> String {
    serde_json::to_string(reported).expect("serializable result")
}

#[test]
fn segments_are_omitted_if_the_dialect_has_none() {
    let expected = r#"{"id":"a1","state":"succeeded","text":"x\ny","versions":[2,3],"score":"s"}"#;
    assert_eq!(json(&reported(listed(&[2, 3]), false, None)), expected);
    let dead = reported(ListedResult::dead("a1".to_owned()), false, None);
    let expected = r#"{"id":"a1","state":"dead","text":"","versions":[]}"#;
    assert_eq!(json(&dead), expected);
}

#[test]
fn segments_are_reported_if_the_dialect_has_them() {
    let reported = reported(listed(&[2]), true, None);
    assert_eq!(reported.segments, listed(&[2]).segments);
    let expected = r#""segments":[{"engine":"a","version":2,"events":2}]}"#;
    assert!(json(&reported).ends_with(expected), "{}", json(&reported));
}

#[test]
fn text_with_one_too_old_event_is_omitted() {
    let too_old = reported(listed(&[2, 3]), true, Some(3));
    let expected = r#"{"id":"a1","state":"too_old","text":"","versions":[2,3]}"#;
    assert_eq!(json(&too_old), expected);
    let fresh = reported(listed(&[2, 3]), true, Some(2));
    assert_eq!(
        (fresh.state, fresh.text.as_str()),
        (ReportedResultState::Succeeded, "x\ny")
    );
}

#[test]
fn events_without_a_version_are_older_than_any_version() {
    assert_eq!(
        reported(listed(&[]), true, Some(1)).state,
        ReportedResultState::TooOld
    );
    let mut partly = listed(&[3]);
    partly.segments.push(TextSegment {
        engine: Some(EngineId::from("b")),
        version: None,
        events: 1,
    });
    assert_eq!(
        reported(partly, true, Some(3)).state,
        ReportedResultState::TooOld
    );
}

#[test]
fn dead_item_stays_dead_whatever_the_reader_accepts() {
    let dead = reported(ListedResult::dead("a1".to_owned()), true, Some(9));
    assert_eq!(dead.state, ReportedResultState::Dead);
}
