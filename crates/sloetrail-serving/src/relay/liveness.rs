//! Whether the holder of a lease still lives, as its watchers see it.
//!
//! A holder whose machine says that its process is gone, or where another life of the
//! node answers, need not be waited for. One that says nothing may be cut off from the
//! watcher alone: so another node is asked too. Nothing here takes a lease away from a
//! holder that lives: the table decides, and the holder's writes are fenced.

use super::probe::ProbeOutcome;

/// Probes in a row that must show the holder gone.
const GONE_LEAST: u32 = 2;
/// Probes in a row that must have found silence before another node is asked.
const SILENT_LEAST: u32 = 2;

/// What to do after a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Probe again later.
    Wait,
    /// Ask another node what it sees.
    AskAnother,
    /// The holder is gone: compete for its lease.
    Compete,
}

/// What the last probes have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    gone: u32,
    silent: u32,
}

impl Liveness {
    /// Takes in a probe by this node.
    pub(crate) fn note(&mut self, outcome: ProbeOutcome) -> Verdict {
        match outcome {
            ProbeOutcome::Alive => *self = Self::default(),
            ProbeOutcome::Gone => self.gone += 1,
            ProbeOutcome::Silent => self.silent += 1,
        }
        match self {
            Self { gone, .. } if *gone >= GONE_LEAST => Verdict::Compete,
            Self { silent, .. } if *silent >= SILENT_LEAST => Verdict::AskAnother,
            _ => Verdict::Wait,
        }
    }

    /// Takes in what another node has seen after this one found silence.
    pub(crate) fn note_other(&mut self, outcome: ProbeOutcome) -> Verdict {
        match outcome {
            ProbeOutcome::Alive => {
                *self = Self::default();
                Verdict::Wait
            }
            ProbeOutcome::Silent | ProbeOutcome::Gone => Verdict::Compete,
        }
    }
}

#[cfg(test)]
mod tests;
