use crate::{
    Checkpoint, ListedResult, ResultState, TextSegment, Transcript, TranscriptEvent,
    join_checkpoints,
};
use serde::Serialize;
use sloetrail_types::{EngineId, WeightVersion};

fn event(number: u64, engine: Option<&str>, version: u64) -> TranscriptEvent {
    TranscriptEvent {
        number,
        data: format!("data {number}"),
        version: Some(WeightVersion(version)),
        engine: engine.map(EngineId::from),
    }
}

fn segment(engine: Option<&str>, version: u64, events: usize) -> TextSegment {
    TextSegment {
        engine: engine.map(EngineId::from),
        version: Some(WeightVersion(version)),
        events,
    }
}

fn transcript(events: impl IntoIterator<Item = TranscriptEvent>) -> Transcript {
    let mut transcript = Transcript::default();
    for event in events {
        transcript
            .push(event)
            .expect("event numbers are consecutive");
    }
    transcript
}

fn stored(value: &impl Serialize) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(value, &mut encoded).expect("writing to a Vec cannot fail");
    encoded
}

/// The stored form of a result before segments were added.
#[derive(Serialize)]
struct ResultWithoutSegments {
    id: String,
    state: ResultState,
    text: String,
    versions: Vec<WeightVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    score: Option<String>,
    groups_are_whole: bool,
}

/// The stored form of a checkpoint before segments were added.
#[derive(Serialize)]
struct CheckpointWithoutSegments {
    index: usize,
    generation: u32,
    offset: usize,
    events: Vec<EventWithoutEngine>,
}

#[derive(Serialize)]
struct EventWithoutEngine {
    number: u64,
    data: String,
    version: Option<WeightVersion>,
}

fn checkpoint_without_segments() -> CheckpointWithoutSegments {
    let events = (1..4).map(|number| EventWithoutEngine {
        number,
        data: format!("data {number}"),
        version: Some(WeightVersion(2)),
    });
    CheckpointWithoutSegments {
        index: 3,
        generation: 1,
        offset: 0,
        events: events.collect(),
    }
}

fn listed(segments: Vec<TextSegment>) -> ListedResult {
    ListedResult {
        id: "a1".to_owned(),
        state: ResultState::Succeeded,
        text: "data 1\ndata 2".to_owned(),
        versions: vec![WeightVersion(2)],
        score: Some("s".to_owned()),
        groups_are_whole: true,
        segments,
    }
}

#[test]
fn segments_join_only_consecutive_equal_events() {
    let text = transcript([
        event(1, Some("a"), 2),
        event(2, Some("a"), 2),
        event(3, Some("a"), 3),
        event(4, Some("b"), 3),
        event(5, Some("a"), 3),
        event(6, Some("a"), 3),
    ]);
    let expected = [
        segment(Some("a"), 2, 2),
        segment(Some("a"), 3, 1),
        segment(Some("b"), 3, 1),
        segment(Some("a"), 3, 2),
    ];
    assert_eq!(text.segments(), expected);
}

#[test]
fn segments_without_a_stored_engine_have_none() {
    let text = transcript([event(1, None, 2), event(2, Some("b"), 2)]);
    let expected = [segment(None, 2, 1), segment(Some("b"), 2, 1)];
    assert_eq!(text.segments(), expected);
    let unknown = transcript([event(1, None, 2), event(2, None, 2)]);
    assert!(unknown.segments().is_empty());
}

#[test]
fn checkpoints_preserve_the_engine_of_each_event() {
    let parts = [
        vec![event(1, Some("a"), 2), event(2, Some("b"), 2)],
        vec![event(3, Some("b"), 3), event(4, None, 3)],
    ];
    let read = parts.iter().enumerate().map(|(position, events)| {
        let checkpoint = Checkpoint {
            index: 0,
            generation: 0,
            offset: position * 2,
            events: events.clone(),
        };
        Checkpoint::from_stored(&checkpoint.to_stored()).expect("readable")
    });
    let joined = join_checkpoints(read);
    assert_eq!(joined[&0].1, transcript(parts.concat()));
}

#[test]
fn results_without_segments_round_trip_byte_for_byte() {
    let encoded = stored(&ResultWithoutSegments {
        id: "a1".to_owned(),
        state: ResultState::Succeeded,
        text: "data 1\ndata 2".to_owned(),
        versions: vec![WeightVersion(2)],
        score: Some("s".to_owned()),
        groups_are_whole: true,
    });
    let read = ListedResult::from_stored(&encoded).expect("readable");
    assert_eq!(read, listed(Vec::new()));
    assert_eq!(read.to_rows(encoded.len()).concat(), encoded);
}

#[test]
fn checkpoints_without_engines_round_trip_byte_for_byte() {
    let encoded = stored(&checkpoint_without_segments());
    let read = Checkpoint::from_stored(&encoded).expect("readable");
    assert_eq!(read.events, [1, 2, 3].map(|number| event(number, None, 2)));
    assert_eq!(read.to_stored(), encoded);
}

#[test]
fn results_preserve_their_segments() {
    let result = listed(vec![segment(Some("a"), 2, 1), segment(Some("b"), 2, 1)]);
    let rows = result.to_rows(64).concat();
    assert_eq!(ListedResult::from_stored(&rows).expect("readable"), result);
}
