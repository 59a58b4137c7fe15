//! Whether a request may go over a connection that was kept.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Which kept connections a request may go over. A kept connection may have fallen silent
/// while it rested; a request on it is then lost from sight, and may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// None: the request may not repeat, so it may not be lost from sight.
    Never,
    /// Any; it is waited for as long as for a new one.
    Any,
    /// Any, if the head of the answer comes within this time.
    Within(Duration),
    /// Any, for a request that may repeat and that its peer may hold open: it is given up once
    /// other connections to the address show that this one must be silent.
    UntilUnresponsive,
    /// One that has answered since this moment: an earlier try went over a connection that
    /// has not answered, and those that rested with it may be silent too.
    RespondedSince(BootInstant),
}

impl Reuse {
    /// What a further try may use, after one that was begun at this moment.
    #[must_use]
    pub fn after_attempt_at(self, began: BootInstant) -> Self {
        match self {
            Reuse::Never => Reuse::Never,
            Reuse::Any | Reuse::Within(_) | Reuse::UntilUnresponsive | Reuse::RespondedSince(_) => {
                Reuse::RespondedSince(began)
            }
        }
    }

    /// By when the head must have come over a kept connection.
    pub(super) fn head_deadline(self, deadline: BootInstant) -> BootInstant {
        match self {
            Reuse::Within(time) => deadline.min(BootInstant::now() + time),
            Reuse::Never | Reuse::Any | Reuse::UntilUnresponsive | Reuse::RespondedSince(_) => {
                deadline
            }
        }
    }
}
