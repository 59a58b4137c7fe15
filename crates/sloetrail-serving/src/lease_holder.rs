//! The identity of a lease holder in its orders and reports.

use sloetrail_types::Epoch;

/// The holder of a lease, as identified to the recipients of its orders and reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    pub node: String,
    /// The epoch of its lease. It increases with each holder, so that recipients can refuse
    /// earlier ones.
    pub epoch: Epoch,
}
