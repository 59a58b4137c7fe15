use super::*;
use proptest::prelude::*;

const VERSION_FIELD: &str = "x-version";
const EVENTS: u64 = 4;
/// Bytes that end lines and fields, look like numbers or names of fields, or are not UTF-8.
const SPOILT_VALUES: &[u8] = b"\n\r: 01249idxX-\t\0\xc3\xff";

fn data_of(number: u64) -> String {
    format!("piece {number}")
}

/// Returns the text of an event. The third one announces a version.
fn event_text(number: u64) -> String {
    let version = match number {
        3 => format!("{VERSION_FIELD}: 5\n"),
        _ => String::new(),
    };
    format!("{version}id: {number}\ndata: {}\n\n", data_of(number))
}

/// Returns the bytes that a sound source sends after event `last_event`.
fn sound_bytes(last_event: u64) -> Vec<u8> {
    let events = (last_event + 1..=EVENTS).map(event_text);
    events.collect::<String>().into_bytes()
}

/// A byte of the first source that is replaced.
#[derive(Clone, Copy, Debug)]
struct SpoiltByte {
    position: usize,
    value: u8,
}

impl SpoiltByte {
    /// The number of the event that holds the byte, and its position there.
    fn event(self) -> (u64, usize) {
        let mut start = 0;
        for number in 1..=EVENTS {
            let length = event_text(number).len();
            if self.position < start + length {
                return (number, self.position - start);
            }
            start += length;
        }
        unreachable!("the position is in the stream")
    }

    /// True if the byte is a part of the data, so that nothing shows that it is spoilt.
    fn is_in_data(self) -> bool {
        let (number, position) = self.event();
        let text = event_text(number);
        let start = text.find("data:").expect("a data line") + "data:".len();
        (start..start + 1 + data_of(number).len()).contains(&position)
    }
}

/// What the reader passed on of all sources.
#[derive(Debug, Default)]
struct Received {
    events: Vec<StreamEvent>,
    is_complete: bool,
}

impl Received {
    fn last_number(&self) -> Option<u64> {
        self.events.last().and_then(|event| event.id)
    }

    fn numbers(&self) -> Vec<Option<u64>> {
        self.events.iter().map(|event| event.id).collect()
    }
}

/// Reads the first source, spoilt and in several reads, and sound sources after it.
fn read_all(spoilt: SpoiltByte, ends: &[usize]) -> Received {
    let mut bytes = sound_bytes(0);
    bytes[spoilt.position] = spoilt.value;
    let mut received = Received::default();
    let mut reader = SeriesReader::new(VERSION_FIELD, None);
    let mut start = 0;
    for end in ends.iter().copied().chain([bytes.len()]) {
        let part = reader.push(&bytes[start..end]);
        received.events.extend(part.events);
        if part.refused.is_some() {
            return read_sound_source(reader, received);
        }
        start = end;
    }
    if !reader.may_end() {
        return read_sound_source(reader, received);
    }
    received.is_complete = true;
    received
}

fn read_sound_source(mut reader: SeriesReader, mut received: Received) -> Received {
    if !reader.can_continue() {
        return received;
    }
    reader.start_source();
    let last_event = received.last_number().unwrap_or_default();
    let part = reader.push(&sound_bytes(last_event));
    assert_eq!(part.refused, None);
    received.events.extend(part.events);
    received.is_complete = reader.may_end();
    received
}

/// Fails unless the events form the whole series without gaps and repeats, each sound one as it was
/// sent. The series is cut short only if its first event is spoilt and was passed on alone.
fn check(received: &Received, spoilt: SpoiltByte, ends: &[usize]) {
    let context = format!("{spoilt:?} reads end at {ends:?}: {received:?}");
    let (spoilt_event, _) = spoilt.event();
    if !received.is_complete {
        let was_passed_on_alone = spoilt_event == 1 && received.events.len() == 1;
        assert!(was_passed_on_alone, "{context}");
        return;
    }
    let expected: Vec<Option<u64>> = (1..=EVENTS).map(Some).collect();
    assert_eq!(received.numbers(), expected, "{context}");
    for event in &received.events {
        let number = event.id.unwrap_or_default();
        let is_spoilt = number == spoilt_event && spoilt.is_in_data();
        assert!(is_spoilt || event.data == data_of(number), "{context}");
    }
}

fn read_and_check(spoilt: SpoiltByte, ends: &[usize]) {
    let received = read_all(spoilt, ends);
    check(&received, spoilt, ends);
}

#[test]
fn a_spoilt_byte_loses_and_repeats_no_event_in_any_two_reads() {
    let length = sound_bytes(0).len();
    for position in 0..length {
        for value in SPOILT_VALUES.iter().copied() {
            let spoilt = SpoiltByte { position, value };
            (0..length).for_each(|end| read_and_check(spoilt, &[end]));
        }
    }
}

proptest! {
    #[test]
    fn a_spoilt_byte_loses_and_repeats_no_event_in_any_reads(
        position in 0..sound_bytes(0).len(),
        value in any::<u8>(),
        mut ends in prop::collection::vec(0..sound_bytes(0).len(), 0..12),
    ) {
        ends.sort_unstable();
        read_and_check(SpoiltByte { position, value }, &ends);
    }
}

#[test]
fn sound_events_before_a_refused_one_are_passed_on() {
    let mut reader = SeriesReader::new(VERSION_FIELD, Some(2));
    let part = reader.push(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 7\ndata: c\n\n");
    let numbers: Vec<Option<u64>> = part.events.iter().map(|event| event.id).collect();
    assert_eq!(numbers, [Some(3), Some(4)]);
    let refused = part.refused.expect("a refused event");
    assert_eq!(refused.cause, RefusalCause::NotNext);
    assert_eq!((refused.number, refused.last_event), (Some(7), Some(4)));
    assert!(reader.can_continue());
}

#[test]
fn events_without_numbers_are_passed_on_but_not_continued() {
    let mut reader = SeriesReader::new(VERSION_FIELD, None);
    assert!(reader.can_continue());
    let part = reader.push(b"data: a\n\n: a comment\n\ndata: b\ndata: c\n\n");
    let data: Vec<&str> = part
        .events
        .iter()
        .map(|event| event.data.as_str())
        .collect();
    assert_eq!(data, ["a", "b\nc"]);
    assert_eq!(part.refused, None);
    assert!(!reader.can_continue());
}
