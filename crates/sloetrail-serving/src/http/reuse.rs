//! Policies for sending requests over idle connections.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Which idle connections a request may reuse. An idle connection may have become unresponsive.
/// The outcome of a request sent over it is then unknown: the peer may still process it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// No idle connection, for a request that must not be repeated.
    Never,
    /// Any idle connection, with the same deadline as a new one.
    Any,
    /// Any idle connection, if the response head arrives within this time.
    Within(Duration),
    /// Any idle connection, for a repeatable long poll. The request fails once other connections
    /// to the address show that this one must be unresponsive.
    UntilUnresponsive,
    /// Only a connection that has received a response since this time. Used after an attempt
    /// without a response, because connections idle at that time may be unresponsive too.
    RespondedSince(BootInstant),
}

impl Reuse {
    /// Returns the policy for a retry after an attempt that started at this time.
    #[must_use]
    pub fn after_attempt_at(self, started_at: BootInstant) -> Self {
        match self {
            Reuse::Never => Reuse::Never,
            Reuse::Any | Reuse::Within(_) | Reuse::UntilUnresponsive | Reuse::RespondedSince(_) => {
                Reuse::RespondedSince(started_at)
            }
        }
    }

    /// Returns the deadline for the response head over an idle connection.
    pub(super) fn head_deadline(self, deadline: BootInstant) -> BootInstant {
        match self {
            Reuse::Within(timeout) => deadline.min(BootInstant::now() + timeout),
            Reuse::Never | Reuse::Any | Reuse::UntilUnresponsive | Reuse::RespondedSince(_) => {
                deadline
            }
        }
    }
}
