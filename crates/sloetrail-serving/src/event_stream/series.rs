//! Checks that the events of one or several sources form one series.
//!
//! Each event has the number after the previous one, or none has a number. An event that does not
//! follow ends its source, and the series may continue after the last accepted event at another
//! source. If the second event of a series does not follow the first one, either may be spoilt: a
//! first event that was not passed on is dropped, else the third event shows which one is right.

use super::parser::{EventParser, MalformedEvent, StreamEvent};

/// Why an event was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    Malformed,
    /// Its number does not follow the previous one.
    NotNext,
}

/// An event that ends its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RefusedEvent {
    pub(crate) cause: RefusalCause,
    pub(crate) number: Option<u64>,
    /// The number of the last accepted event.
    pub(crate) last_event: Option<u64>,
}

impl RefusedEvent {
    /// Label of the cause in logs.
    pub(crate) fn cause(&self) -> &'static str {
        match self.cause {
            RefusalCause::Malformed => "malformed",
            RefusalCause::NotNext => "not_next",
        }
    }
}

/// The events that a read of a source completes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct SeriesPart {
    /// The events to pass on, in order.
    pub(crate) events: Vec<StreamEvent>,
    /// Number of accepted events, with a first one that was dropped.
    pub(crate) accepted: usize,
    /// The event after the accepted ones, if it ends the source.
    pub(crate) refused: Option<RefusedEvent>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// No event has been accepted.
    Start,
    /// One event has been accepted, and nothing confirms its number.
    First(Option<u64>),
    /// The last event has this number.
    After(u64),
    /// The events have no numbers.
    Unnumbered,
    /// The first event has been passed on, and the second one does not follow it.
    Disputed {
        first: Option<u64>,
        second: Option<u64>,
    },
    /// The first event has been passed on with a wrong number.
    FirstIsWrong,
}

impl Position {
    /// Returns the position after an event. None if the event does not follow.
    fn after(self, number: Option<u64>) -> Option<Self> {
        match (self, number) {
            (Position::Start, number) => Some(Position::First(number)),
            (Position::First(None) | Position::Unnumbered, None) => Some(Position::Unnumbered),
            (Position::First(Some(last)) | Position::After(last), Some(number)) => {
                let follows = last.checked_add(1) == Some(number);
                follows.then_some(Position::After(number))
            }
            _ => None,
        }
    }

    /// The number of the last event.
    fn number(self) -> Option<u64> {
        match self {
            Position::First(number) | Position::Disputed { first: number, .. } => number,
            Position::After(number) => Some(number),
            Position::Start | Position::Unnumbered | Position::FirstIsWrong => None,
        }
    }
}

/// Reads a series of events from one source after the other.
#[derive(Debug)]
pub(crate) struct SeriesReader {
    parser: EventParser,
    position: Position,
    /// The first event, during the read that completes it.
    held: Option<StreamEvent>,
}

impl SeriesReader {
    /// Creates a reader of the events after number `last_event`; of all events if None. It also
    /// reads the event field `extra_field` as a number.
    pub(crate) fn new(extra_field: impl Into<String>, last_event: Option<u64>) -> Self {
        Self {
            parser: EventParser::new(extra_field),
            position: last_event.map_or(Position::Start, Position::After),
            held: None,
        }
    }

    /// Reads bytes of the source.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> SeriesPart {
        self.parser.push(bytes);
        let mut part = SeriesPart::default();
        while let Some(event) = self.parser.next_event() {
            if let Err(refused) = self.accept(event, &mut part) {
                part.refused = Some(refused);
                break;
            }
        }
        part.events.extend(self.held.take());
        part
    }

    /// True if the source may end here. Otherwise it has broken off.
    pub(crate) fn may_end(&self) -> bool {
        let is_disputed = matches!(self.position, Position::Disputed { .. });
        !is_disputed && !self.parser.is_within_event()
    }

    /// True if another source may continue the series after the events that were passed on.
    pub(crate) fn can_continue(&self) -> bool {
        match self.position {
            Position::Start | Position::After(_) | Position::First(Some(_)) => true,
            Position::First(None)
            | Position::Unnumbered
            | Position::Disputed { .. }
            | Position::FirstIsWrong => false,
        }
    }

    /// Prepares to read from another source, which continues after the events that were passed on.
    pub(crate) fn start_source(&mut self) {
        self.parser.clear();
        if let Position::First(Some(number)) = self.position {
            self.position = Position::After(number);
        }
    }

    fn accept(
        &mut self,
        event: Result<StreamEvent, MalformedEvent>,
        part: &mut SeriesPart,
    ) -> Result<(), RefusedEvent> {
        let event = event.map_err(|_| self.refused(RefusalCause::Malformed, None))?;
        if let Position::Disputed { first, second } = self.position {
            return Err(self.settle(first, second, event.id));
        }
        let Some(position) = self.position.after(event.id) else {
            return self.refuse(event.id);
        };
        self.position = position;
        part.accepted += 1;
        if matches!(position, Position::First(_)) {
            self.held = Some(event);
            return Ok(());
        }
        part.events.extend(self.held.take());
        part.events.push(event);
        Ok(())
    }

    /// Refuses an event that does not follow. A second event that does not follow a first one that
    /// was passed on is refused with the third one.
    fn refuse(&mut self, number: Option<u64>) -> Result<(), RefusedEvent> {
        let refused = self.refused(RefusalCause::NotNext, number);
        if let Position::First(first) = self.position {
            if self.held.take().is_none() {
                let second = number;
                self.position = Position::Disputed { first, second };
                return Ok(());
            }
            self.position = Position::Start;
        }
        Err(refused)
    }

    /// Determines by the third event whether the first one or the second one is wrong.
    fn settle(
        &mut self,
        first: Option<u64>,
        second: Option<u64>,
        third: Option<u64>,
    ) -> RefusedEvent {
        let refused = self.refused(RefusalCause::NotNext, second);
        let third_after_first = first.and_then(|first| first.checked_add(2));
        self.position = match first {
            Some(first) if third_after_first == third => Position::After(first),
            _ => Position::FirstIsWrong,
        };
        refused
    }

    fn refused(&self, cause: RefusalCause, number: Option<u64>) -> RefusedEvent {
        RefusedEvent {
            cause,
            number,
            last_event: self.position.number(),
        }
    }
}

#[cfg(test)]
mod tests;
