//! Keeping the shared documents: the configuration and the machine list.
//!
//! Two nodes of each zone, those with the lowest ids alive, read the platform;
//! the others hear of a newer version on the membership datagrams and pull it
//! from a peer. So the platform's rate limit sees zones, not nodes.

pub(crate) mod apply;
mod configuration_sync;
mod directory_sync;
pub(crate) mod rows;

pub(crate) use configuration_sync::{keep_configuration, read_configuration_from_table};
pub(crate) use directory_sync::{keep_directory, read_directory};

use crate::state::NodeState;

const READERS_PER_ZONE: usize = 2;

/// True if this node reads the platform for its zone.
pub(crate) fn is_zone_reader(state: &NodeState) -> bool {
    let alive = state.membership().alive();
    alive
        .iter()
        .take(READERS_PER_ZONE)
        .any(|id| *id == state.settings.node)
}
