//! Learning of a new machine list.

use super::is_zone_reader;
use crate::directory::Directory;
use crate::peer::{PeerRequest, PeerResponse, ask_peer};
use crate::state::NodeState;
use sloetrail_clients::CallError;
use sloetrail_types::NodeId;
use std::sync::Arc;
use std::time::Duration;

const LIST_PERIOD: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the list on behalf of the zone, and pulls from peers when behind.
pub(crate) async fn keep_directory(state: Arc<NodeState>) {
    loop {
        let reads_list = is_zone_reader(&state) || state.directory().version() == 0;
        if reads_list && let Err(error) = read_directory(&state).await {
            log::debug!(target: "member", "The machine list was not read: {error}.");
        }
        if state.list_is_behind() {
            pull_from_zone(&state).await;
        }
        tokio::select! {
            () = tokio::time::sleep(LIST_PERIOD) => {}
            () = state.cancel.cancelled() => return,
        }
    }
}

/// Reads the list from the platform.
pub(crate) async fn read_directory(state: &NodeState) -> Result<(), CallError> {
    let held = state.directory().version();
    let machines = &state.clients.machines;
    if let Some(list) = machines.read(&state.settings.zone, held).await? {
        state.adopt_directory(Directory::new(list));
    }
    Ok(())
}

async fn pull_from_zone(state: &NodeState) {
    let own = state.settings.node.clone();
    let peers: Vec<NodeId> = state.membership().alive().into_iter().collect();
    for peer in peers {
        if peer == own || !state.list_is_behind() {
            continue;
        }
        let request = PeerRequest::MachineList {
            newer_than: state.directory().version(),
        };
        if let Ok(PeerResponse::MachineList { list }) =
            ask_peer(state, &peer, &request, PULL_TIMEOUT).await
        {
            state.adopt_directory(Directory::new(list));
        }
    }
}
