//! Faults of a fake back end.

use std::time::Duration;

/// How a back end deviates from normal handling of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    #[default]
    None,
    /// Starts to run the request and closes the connection without a response.
    AnswerLost,
    /// Responds 503 and states that the request was not run.
    Refuses,
    /// Starts to run the request and responds 500.
    Fails,
    /// Starts to run the request and responds 504.
    OutOfTime,
    /// Starts to run the request and responds 429 without stating that it was not run.
    Overloaded,
    /// Responds 422: the request can never succeed.
    Impossible,
    /// Breaks off each event stream after this many events.
    BreaksOff(usize),
    /// Spoils the number of an event of each event stream.
    SpoilsNumber(SpoiltNumber),
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds 200 without a signature.
    Unsigned,
    /// Accepts the request and never responds.
    Silent,
    /// Responds with a body that does not end until its connection is closed.
    Endless(EndlessBody),
    /// Leaves orders unanswered and applies them after this delay.
    OrdersLate(Duration),
}

/// What a body without end consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBody {
    Comments,
    /// Events with the right numbers.
    Events,
    /// Bytes that are no event.
    Letters,
}

/// An event whose number is spoilt. It leaves in one write with the event before it, the first event
/// with the event after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpoiltNumber {
    pub event: u64,
    /// The number that the stream shows; None if it shows none.
    pub shown: Option<u64>,
}
