//! Whether the holder of a lease still lives, as its watchers see it.
//!
//! A holder whose machine says that its process is gone, or where another life of the
//! node answers, need not be waited for. One that says nothing may be cut off from the
//! watcher alone: so another node is asked too. Nothing here takes a lease away from a
//! holder that lives: the table decides, and the holder's writes are fenced.

use super::signs::Sign;

/// Looks in a row that must show the holder gone.
const GONE_LEAST: u32 = 2;
/// Looks in a row that must have found silence before another node is asked.
const SILENT_LEAST: u32 = 2;

/// What to do after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Look again later.
    Wait,
    /// Ask another node what it sees.
    AskAnother,
    /// The holder is gone: compete for its lease.
    Compete,
}

/// What the last looks have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    gone: u32,
    silent: u32,
}

impl Liveness {
    /// Takes in a look of this node.
    pub(crate) fn note(&mut self, sign: Sign) -> Verdict {
        match sign {
            Sign::Alive => *self = Self::default(),
            Sign::Gone => self.gone += 1,
            Sign::Silent => self.silent += 1,
        }
        match self {
            Self { gone, .. } if *gone >= GONE_LEAST => Verdict::Compete,
            Self { silent, .. } if *silent >= SILENT_LEAST => Verdict::AskAnother,
            _ => Verdict::Wait,
        }
    }

    /// Takes in what another node has seen after this one found silence.
    pub(crate) fn note_other(&mut self, sign: Sign) -> Verdict {
        match sign {
            Sign::Alive => {
                *self = Self::default();
                Verdict::Wait
            }
            Sign::Silent | Sign::Gone => Verdict::Compete,
        }
    }
}

#[cfg(test)]
mod tests;
