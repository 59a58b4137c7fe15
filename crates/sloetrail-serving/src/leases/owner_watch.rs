//! Probes the holder of a lease from another node.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::relay::liveness::{Liveness, LivenessDecision};
use crate::relay::peers::Peers;
use crate::relay::probe::ProbeOutcome;
use crate::tasks;
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, Epoch, NodeId, whole_millis};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How often a node that is not a watcher checks whether it should be: it may not have known
/// all nodes before.
const SELECTION_INTERVAL: Duration = Duration::from_secs(2);
/// A probe that took longer was delayed by this node itself, so its result is ignored.
const MAX_PROBE_TIME: Duration = Duration::from_millis(600);

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WatchedTerm {
    pub(super) holder: NodeId,
    pub(super) epoch: Epoch,
}

#[derive(Default)]
pub(super) struct OwnerWatch {
    term: Option<WatchedTerm>,
    watch_task: Option<JoinHandle<()>>,
    selected_at: Option<BootInstant>,
}

impl OwnerWatch {
    /// Starts or continues to probe the holder of `term` if this node is one of its watchers.
    /// Returns true once the holder was found to be gone.
    pub(super) fn is_holder_gone(
        &mut self,
        context: &NodeContext,
        term: Option<WatchedTerm>,
        regions: &AllowedRegions,
    ) -> bool {
        if self.term != term {
            self.stop();
            self.term = term;
        }
        if self.watch_task.is_none() && self.is_selection_due() {
            self.selected_at = Some(BootInstant::now());
            let term = self.term.as_ref();
            self.watch_task = term.and_then(|term| start_watch(context, term, regions));
        }
        self.watch_task
            .as_ref()
            .is_some_and(JoinHandle::is_finished)
    }

    fn is_selection_due(&self) -> bool {
        let selected_at = self.selected_at;
        selected_at.is_none_or(|at| at.elapsed() >= SELECTION_INTERVAL)
    }

    /// Stops probing and discards the result.
    pub(super) fn stop(&mut self) {
        self.selected_at = None;
        if let Some(watch_task) = self.watch_task.take() {
            watch_task.abort();
        }
    }
}

impl Drop for OwnerWatch {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts the probe task if this node is a watcher of the holder.
fn start_watch(
    context: &NodeContext,
    term: &WatchedTerm,
    regions: &AllowedRegions,
) -> Option<JoinHandle<()>> {
    let peers = context.peers.as_ref()?;
    let is_enabled = context.settings.policies.watch_owners;
    let is_watcher = is_enabled && peers.is_watcher_of(&term.holder, term.epoch, regions);
    is_watcher.then(|| {
        let (peers, holder) = (Arc::clone(peers), term.holder.clone());
        // A panic must not end the task, because its end means that the holder is gone.
        tasks::spawn_part("owner probes", move || {
            probe_until_gone(Arc::clone(&peers), holder.clone())
        })
    })
}

/// Probes the holder until it is found to be gone.
async fn probe_until_gone(peers: Arc<Peers>, holder: NodeId) {
    let mut liveness = Liveness::default();
    let mut alive_at = BootInstant::now();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let started_at = BootInstant::now();
        let result = peers.probe_incarnation(&holder).await;
        let outcome = match started_at.elapsed() > MAX_PROBE_TIME {
            true => ProbeOutcome::Alive,
            false => result,
        };
        if outcome == ProbeOutcome::Alive {
            alive_at = BootInstant::now();
        }
        let decision = match liveness.record(outcome) {
            LivenessDecision::AskPeer => {
                let result = peers.probe_through_peer(&holder).await;
                liveness.record_peer_result(result)
            }
            decision => decision,
        };
        if decision == LivenessDecision::Compete {
            events::emit(&Event::OwnerFoundGone {
                holder: holder.as_str(),
                seen: outcome.as_str(),
                silent_ms: whole_millis(alive_at.elapsed()),
            });
            return;
        }
    }
}
