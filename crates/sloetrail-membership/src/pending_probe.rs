//! Probes that wait for an answer.

use sloetrail_types::{NodeId, Timestamp};

/// A probe of this node that waits for its acknowledgement.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) sent_at: Timestamp,
    pub(crate) helped: bool,
}

/// A probe on behalf of another node.
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    pub(crate) asker: NodeId,
    pub(crate) asker_probe: u64,
}
