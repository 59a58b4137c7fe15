//! Decides from probes whether the holder of a lease is gone.
//!
//! A holder whose machine refuses the connection, or whose node answers as another incarnation,
//! is gone. A holder that does not answer may be unreachable from this watcher only, so a peer
//! is asked as well. A wrong decision is safe: the lease is taken over only by a conditional
//! write to the table, and the writes of the previous holder are fenced.

use super::probe::ProbeOutcome;

/// Probes since the last answer that must find the holder gone.
const MIN_GONE_PROBES: u32 = 2;
/// Probes since the last answer that must time out before a peer is asked.
const MIN_SILENT_PROBES: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LivenessDecision {
    Wait,
    /// Ask a peer for the result of its probe.
    AskPeer,
    Compete,
}

/// Results of the probes since the holder last answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    gone: u32,
    unresponsive: u32,
}

impl Liveness {
    /// Records the result of a probe by this node.
    pub(crate) fn record(&mut self, outcome: ProbeOutcome) -> LivenessDecision {
        match outcome {
            ProbeOutcome::Alive => *self = Self::default(),
            ProbeOutcome::Gone => self.gone += 1,
            ProbeOutcome::Silent => self.unresponsive += 1,
        }
        match self {
            Self { gone, .. } if *gone >= MIN_GONE_PROBES => LivenessDecision::Compete,
            Self { unresponsive, .. } if *unresponsive >= MIN_SILENT_PROBES => {
                LivenessDecision::AskPeer
            }
            _ => LivenessDecision::Wait,
        }
    }

    /// Records a peer's result after the probes of this node timed out.
    pub(crate) fn record_peer_result(&mut self, outcome: ProbeOutcome) -> LivenessDecision {
        match outcome {
            ProbeOutcome::Alive => {
                *self = Self::default();
                LivenessDecision::Wait
            }
            ProbeOutcome::Silent | ProbeOutcome::Gone => LivenessDecision::Compete,
        }
    }
}

#[cfg(test)]
mod tests;
