//! The state of one member.

use serde::{Deserialize, Serialize};
use sloetrail_types::{NodeId, Revision, Timestamp};

/// What is known of a node of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer; it may still refute.
    #[serde(rename = "s")]
    Suspect,
    /// It did not refute in time.
    #[serde(rename = "d")]
    Dead,
    /// It said that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// News of a member, as it rides on datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Raised by the member itself to refute a suspicion.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Its state.
    #[serde(rename = "s")]
    pub state: MemberState,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) incarnation: u64,
    /// The highest revision that the member itself was heard to hold.
    pub(crate) revision: Revision,
    pub(crate) state: MemberState,
    pub(crate) changed_at: Timestamp,
}

impl Member {
    /// True if an update says more than what is known: a higher incarnation, or
    /// a worse state at the same one. Leaving is final.
    pub(crate) fn is_overruled_by(&self, update: &MemberUpdate) -> bool {
        if self.state == MemberState::Left {
            return false;
        }
        let worse_at_same = update.incarnation == self.incarnation && update.state > self.state;
        update.incarnation > self.incarnation || worse_at_same
    }
}
