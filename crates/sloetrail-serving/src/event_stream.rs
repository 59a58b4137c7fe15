//! Incremental parser for event streams (`text/event-stream`).

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    pub id: Option<u64>,
    /// The data lines, joined by line feeds.
    pub data: String,
    /// The value of the parser's extra field.
    pub extra: Option<u64>,
    /// The unmodified text of the event, including the empty line at its end.
    pub raw: String,
}

/// A stream that is not UTF-8, has a malformed number or an event over the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedStream;

/// Splits a byte stream into complete events.
#[derive(Clone, Debug)]
pub struct EventParser {
    extra_field: String,
    buffer: Vec<u8>,
}

const MAX_EVENT_BYTES: usize = 1024 * 1024;

impl EventParser {
    /// Creates a parser that also reads the field `extra_field` as a number.
    pub fn new(extra_field: impl Into<String>) -> Self {
        Self {
            extra_field: extra_field.into(),
            buffer: Vec::new(),
        }
    }

    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, MalformedStream> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.buffer) {
            let raw: Vec<u8> = self.buffer.drain(..end).collect();
            let raw = String::from_utf8(raw).map_err(|_| MalformedStream)?;
            let event = self.parse(raw)?;
            if event.id.is_some() || !event.data.is_empty() {
                events.push(event);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(MalformedStream);
        }
        Ok(events)
    }

    /// True if the buffer contains an incomplete event.
    pub fn is_within_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn parse(&self, raw: String) -> Result<StreamEvent, MalformedStream> {
        let mut event = StreamEvent::default();
        let mut data_lines: Vec<&str> = Vec::new();
        for line in raw.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            if field == "data" {
                data_lines.push(value);
            } else if field == "id" {
                event.id = Some(value.trim().parse().map_err(|_| MalformedStream)?);
            } else if field == self.extra_field {
                event.extra = Some(value.trim().parse().map_err(|_| MalformedStream)?);
            }
        }
        event.data = data_lines.join("\n");
        event.raw = raw;
        Ok(event)
    }
}

/// Returns the position after the first empty line, which ends an event.
fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}
