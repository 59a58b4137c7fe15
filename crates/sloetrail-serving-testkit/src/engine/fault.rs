//! How a back end misbehaves.

use std::time::Duration;

/// How a back end misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// It does not.
    #[default]
    None,
    /// It runs a request and closes the connection without an answer.
    AnswerLost,
    /// It says that it did not run the request.
    Refuses,
    /// It runs a request and answers 500.
    Fails,
    /// It runs a request and answers 504: its time is over.
    OutOfTime,
    /// It runs a request and answers 429, without saying that it did not run it.
    Overloaded,
    /// It says that the request can never be done.
    Impossible,
    /// It breaks each series of events off after so many.
    BreaksOff(usize),
    /// It answers under the id of another request.
    WrongRequestId,
    /// It takes requests and says nothing.
    Silent,
    /// It takes the orders and answers nothing, and carries them out so much later.
    OrdersLate(Duration),
}
