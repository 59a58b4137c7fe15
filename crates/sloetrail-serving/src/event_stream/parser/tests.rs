use super::{EventParser, MAX_EVENT_BYTES, MalformedEvent, StreamEvent};
use std::fs;
use std::time::Duration;

/// Far more processor time than a parser takes that looks at each byte once, also in a debug build,
/// and far less than one whose cost grows with the square of what it was given.
const MAX_TIME: Duration = Duration::from_secs(2);
const READ_BYTES: usize = 1_000 * 1024;

/// The processor time of this thread, without the time in which a busy machine ran others.
fn processor_time() -> Duration {
    let statistics = fs::read_to_string("/proc/thread-self/schedstat").expect("statistics");
    let nanoseconds = statistics
        .split(' ')
        .next()
        .and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a number"))
}

/// Reads the pieces and returns the events, and the error that ends them.
fn read(pieces: impl IntoIterator<Item = Vec<u8>>) -> (Vec<StreamEvent>, Option<MalformedEvent>) {
    let mut parser = EventParser::new("version");
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(&piece);
        while let Some(event) = parser.next_event() {
            match event {
                Ok(event) => events.push(event),
                Err(malformed) => return (events, Some(malformed)),
            }
        }
    }
    (events, None)
}

/// Guards against a cost that grows with the square of the empty events of one read.
#[test]
fn empty_events_of_a_large_read_take_linear_time() {
    for empty in ["\n", "\r\n", ":\n\n", ": comment\n\n"] {
        let before = processor_time();
        let mut bytes = empty.repeat(READ_BYTES / empty.len()).into_bytes();
        bytes.extend_from_slice(b"id: 1\ndata: a\n\n");
        let (events, malformed) = read([bytes]);
        assert_eq!((events.len(), malformed), (1, None), "{empty:?}");
        let took = processor_time() - before;
        assert!(took < MAX_TIME, "{empty:?} took {took:?}");
    }
}

/// Guards against a cost that grows with the square of an event that arrives in small reads.
#[test]
fn a_line_without_end_in_small_reads_takes_linear_time() {
    let before = processor_time();
    let piece = vec![b'a'; 64];
    let pieces = std::iter::repeat_n(piece, MAX_EVENT_BYTES / 64 + 1);
    assert_eq!(read(pieces), (Vec::new(), Some(MalformedEvent)));
    let took = processor_time() - before;
    assert!(took < MAX_TIME, "{took:?}");
}

/// Guards against a source that never ends because what it sends is no event.
#[test]
fn comments_and_empty_events_without_end_are_malformed() {
    for noise in ["\n", ": comment\n\n", "event: a\n\n"] {
        let piece = noise.repeat(1_000).into_bytes();
        let pieces = std::iter::repeat_n(piece, 2 * MAX_EVENT_BYTES / (1_000 * noise.len()));
        assert_eq!(
            read(pieces),
            (Vec::new(), Some(MalformedEvent)),
            "{noise:?}"
        );
    }
}

/// Comments between events are allowed for any time: only those without an event between them count.
#[test]
fn comments_between_events_are_ignored() {
    let comments = ": comment\n\n".repeat(MAX_EVENT_BYTES / 40);
    let pieces = (1..=8).map(|number| format!("{comments}id: {number}\ndata: a\n\n").into_bytes());
    let (events, malformed) = read(pieces);
    assert_eq!((events.len(), malformed), (8, None));
}

#[test]
fn events_are_the_same_however_they_are_cut_into_reads() {
    let bytes =
        b": c\r\n\r\n\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n\n\nid: 3\ndata:\n\n";
    let (whole, _) = read([bytes.to_vec()]);
    assert_eq!(whole.len(), 3);
    for size in 1..bytes.len() {
        let pieces = bytes.chunks(size).map(<[u8]>::to_vec);
        assert_eq!(read(pieces), (whole.clone(), None), "reads of {size} bytes");
    }
}
