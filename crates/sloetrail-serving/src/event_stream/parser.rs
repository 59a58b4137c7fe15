//! Incremental parser for event streams.
//!
//! A spoilt byte may hide the border of two events. An event that may be two, or a part of one, is
//! malformed, so that the events of a stream are never joined or cut unnoticed.

use std::ops::Range;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// The number of the event.
    pub(crate) id: Option<u64>,
    /// The data lines, joined by line feeds.
    pub(crate) data: String,
    /// The value of the parser's extra field.
    pub(crate) extra: Option<u64>,
    /// The unmodified text of the event, including the empty line at its end.
    pub(crate) raw: String,
}

/// An event that is not UTF-8, exceeds the size limit, has a malformed number, or cannot have been
/// sent as one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedEvent;

/// Splits a byte stream into complete events. Each byte is looked at once, however the stream is cut
/// into reads.
#[derive(Clone, Debug)]
pub(crate) struct EventParser {
    extra_field: String,
    buffer: Vec<u8>,
    /// Start of the event in progress, in the buffer.
    event_start: usize,
    /// Start of the line in progress.
    line_start: usize,
    /// Number of bytes of the buffer that were searched for the end of a line.
    searched: usize,
    /// Bytes of comments and empty events since the last event.
    ignored_bytes: usize,
}

/// Bytes of one event, with the comments and empty events before it.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

impl EventParser {
    /// Creates a parser that also reads the field `extra_field` as a number.
    pub(crate) fn new(extra_field: impl Into<String>) -> Self {
        Self {
            extra_field: extra_field.into(),
            buffer: Vec::new(),
            event_start: 0,
            line_start: 0,
            searched: 0,
            ignored_bytes: 0,
        }
    }

    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.event_start);
        self.line_start -= self.event_start;
        self.searched -= self.event_start;
        self.event_start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event that has a number or data. None until more bytes arrive.
    pub(crate) fn next_event(&mut self) -> Option<Result<StreamEvent, MalformedEvent>> {
        while let Some(raw) = self.next_raw_event() {
            match self.parse(&self.buffer[raw.clone()]) {
                Ok(None) => self.ignored_bytes += raw.len(),
                Ok(Some(event)) => {
                    self.ignored_bytes = 0;
                    return Some(Ok(event));
                }
                Err(malformed) => return Some(Err(malformed)),
            }
        }
        let incomplete_bytes = self.buffer.len() - self.event_start;
        let is_too_large = self.ignored_bytes + incomplete_bytes > MAX_EVENT_BYTES;
        is_too_large.then_some(Err(MalformedEvent))
    }

    /// Drops all bytes.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(std::mem::take(&mut self.extra_field));
    }

    /// True if the buffer contains an incomplete event.
    pub(crate) fn is_within_event(&self) -> bool {
        self.event_start < self.buffer.len()
    }

    /// Takes the bytes up to the next empty line, which ends an event. None until more bytes arrive.
    fn next_raw_event(&mut self) -> Option<Range<usize>> {
        while let Some(length) = line_length(&self.buffer[self.searched..]) {
            let line_end = self.searched + length;
            let line = &self.buffer[self.line_start..line_end];
            let is_empty = line == b"\n" || line == b"\r\n";
            self.searched = line_end;
            self.line_start = line_end;
            if is_empty {
                let raw = self.event_start..line_end;
                self.event_start = line_end;
                return Some(raw);
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Returns None if the event has neither a number nor data, such as a comment.
    fn parse(&self, raw: &[u8]) -> Result<Option<StreamEvent>, MalformedEvent> {
        let raw = std::str::from_utf8(raw).map_err(|_| MalformedEvent)?;
        let fields = Fields::read(raw, &self.extra_field)?;
        if fields.id.is_none() && fields.data.is_empty() {
            return Ok(None);
        }
        if !fields.is_one_event() {
            return Err(MalformedEvent);
        }
        Ok(Some(StreamEvent {
            id: fields.id,
            data: fields.data.join("\n"),
            extra: fields.extra,
            raw: raw.to_owned(),
        }))
    }
}

/// The fields between two empty lines.
#[derive(Default)]
struct Fields<'a> {
    id: Option<u64>,
    extra: Option<u64>,
    data: Vec<&'a str>,
    /// True if there are comments, fields that the parser does not know, or lines without a value.
    has_others: bool,
}

impl<'a> Fields<'a> {
    fn read(text: &'a str, extra_field: &str) -> Result<Self, MalformedEvent> {
        let mut fields = Self::default();
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Some((field, value)) = line.split_once(':') else {
                fields.has_others = true;
                continue;
            };
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => fields.data.push(value),
                "id" => set_number(&mut fields.id, value)?,
                _ if field == extra_field => set_number(&mut fields.extra, value)?,
                "event" | "retry" => {}
                _ => fields.has_others = true,
            }
        }
        Ok(fields)
    }

    /// False if the data of the event is missing, or if a line that is not understood may have
    /// begun a second event.
    fn is_one_event(&self) -> bool {
        match self.data.len() {
            0 => false,
            1 => true,
            _ => !self.has_others,
        }
    }
}

/// Sets a number that an event has at most once.
fn set_number(number: &mut Option<u64>, value: &str) -> Result<(), MalformedEvent> {
    let value = value.trim().parse().map_err(|_| MalformedEvent)?;
    match number.replace(value) {
        None => Ok(()),
        Some(_) => Err(MalformedEvent),
    }
}

/// Returns the length of the first line with its line feed. None if no line ends.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let position = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(position + 1)
}

#[cfg(test)]
mod tests;
