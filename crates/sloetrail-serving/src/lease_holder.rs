//! Who says something in the name of a lease.

use sloetrail_types::Epoch;

/// The holder of a lease, as those are told to whom it gives orders or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node.
    pub node: String,
    /// The epoch of its lease, which grows with each holder and fences earlier ones off.
    pub epoch: Epoch,
}
