//! Learning of a new configuration.

use super::is_zone_reader;
use super::rows::{HEAD_KEY, HeadRecord, RevisionRecord, revision_key, value_of};
use crate::peer::{PeerRequest, PeerResponse, ask_peer};
use crate::state::{ConfigurationInForce, NodeState};
use rand::seq::IndexedRandom;
use sloetrail_clients::CallError;
use sloetrail_config::Configuration;
use sloetrail_types::{NodeId, Revision};
use std::sync::Arc;
use std::time::Duration;

const TABLE_PERIOD: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the table on behalf of the zone, and pulls from peers when behind.
pub(crate) async fn keep_configuration(state: Arc<NodeState>) {
    loop {
        let reads_table = is_zone_reader(&state) || state.revision() == Revision(0);
        if reads_table && let Err(error) = read_configuration_from_table(&state).await {
            log::debug!(target: "config", "The table was not read: {error}.");
        }
        if state.freshness().is_behind() {
            pull_from_peers(&state).await;
        }
        tokio::select! {
            () = tokio::time::sleep(TABLE_PERIOD) => {}
            () = state.behind.notified() => {}
            () = state.cancel.cancelled() => return,
        }
    }
}

/// Reads the head row and, if it is newer, its revision.
pub(crate) async fn read_configuration_from_table(state: &NodeState) -> Result<(), CallError> {
    let asked_at = state.now();
    let table = &state.clients.table;
    let head = match table.read(HEAD_KEY).await? {
        Some(row) => value_of::<HeadRecord>(&row)?,
        None => HeadRecord::default(),
    };
    if head.revision > state.revision()
        && let Some(row) = table.read(&revision_key(head.revision)).await?
    {
        let record: RevisionRecord = value_of(&row)?;
        adopt_text(state, head.revision, record.text);
    }
    state.freshness().table_read(asked_at, head.revision);
    state.announce_view();
    Ok(())
}

/// Checks a revision's text again and moves to it.
pub(crate) fn adopt_text(state: &NodeState, revision: Revision, text: String) -> bool {
    match Configuration::parse("revision", &text) {
        Ok(configuration) => state.adopt_configuration(ConfigurationInForce {
            revision,
            text: text.into(),
            configuration: Arc::new(configuration),
        }),
        Err(error) => {
            log::error!(target: "config", "Revision {revision} cannot be read: {error}.");
            false
        }
    }
}

fn one_node_of_each_zone(state: &NodeState) -> Vec<NodeId> {
    let directory = state.directory();
    let configuration = state.configuration().configuration;
    let zones = configuration.zones.iter();
    let others = zones.filter(|zone| **zone != state.settings.zone);
    others
        .filter_map(|zone| directory.nodes_in(zone).choose(&mut rand::rng()).cloned())
        .collect()
}

async fn pull_from_peers(state: &NodeState) {
    let own = state.settings.node.clone();
    let in_zone: Vec<NodeId> = state.membership().alive().into_iter().collect();
    for peer in in_zone.into_iter().chain(one_node_of_each_zone(state)) {
        if peer == own || !state.freshness().is_behind() {
            continue;
        }
        let request = PeerRequest::Configuration {
            newer_than: state.revision(),
        };
        if let Ok(PeerResponse::Configuration { revision, text }) =
            ask_peer(state, &peer, &request, PULL_TIMEOUT).await
        {
            adopt_text(state, revision, text);
        }
    }
}
