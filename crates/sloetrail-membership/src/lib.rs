//! Node membership within a zone, and what zones know of one another.
//!
//! Flow: within a zone every node probes one other node a period, in a shuffled
//! round. A probe without an answer is repeated through helpers; after that the
//! node is suspected, and dead unless it refutes the suspicion with a higher
//! incarnation. News of members rides on the probes. Across zones only two nodes
//! of each zone (the two lowest ids alive) send a summary, so that the cost of a
//! node does not grow with the whole fleet. Engine reports go directly to the
//! nodes of the zone.
//!
//! Messages name nodes by id only. Addresses come from the platform's machine
//! list, which adds candidates but never overrules what the nodes prove.
//!
//! [`Membership`] has no I/O and no clock; [`encode`] and [`decode`] turn its
//! messages into datagrams.

mod codec;
mod freshness;
mod gossip_queue;
mod member;
mod membership;
mod message;
mod pending_probe;
mod probe;
mod zones;

pub use codec::{CodecError, decode, encode};
pub use freshness::ConfigurationFreshness;
pub use member::{MemberState, MemberUpdate};
pub use membership::{Membership, MembershipSettings, Outgoing, PeerNode};
pub use message::{
    Body, EngineNews, EngineNewsState, Envelope, NameDigest, ServiceCapacity, View, ZoneSummary,
};
pub use zones::{ZoneNews, ZoneTable};

#[cfg(test)]
mod tests;
