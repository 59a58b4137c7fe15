//! Incarnations of back ends that have been replaced by a newer one under the same name.
//!
//! A back end that is listed under the same name with a new start time has restarted. Its
//! previous incarnation has ended even if connections to it are still open, or if its row or an
//! answer arrives late. Work that ran there is reported as lost immediately, without waiting
//! for a timeout.

use crate::directory::Directory;
use crate::tasks;
use sloetrail_types::EngineId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tokio::sync::watch;

/// Enough for a restart of every engine of a large fleet, while late rows and answers may
/// arrive.
const MAX_RETAINED: usize = 1_024;

/// How an incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IncarnationEnd {
    /// It had announced that it leaves.
    Planned,
    Crashed,
}

/// The incarnations replaced most recently, and how each one ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndedIncarnations {
    ends: BTreeMap<EngineId, IncarnationEnd>,
    /// Oldest first.
    order: VecDeque<EngineId>,
}

impl EndedIncarnations {
    /// Adds an incarnation, and removes the oldest one beyond the limit.
    pub(crate) fn add(&mut self, incarnation: EngineId, end: IncarnationEnd) {
        if self.ends.insert(incarnation.clone(), end).is_none() {
            self.order.push_back(incarnation);
        }
        if self.order.len() > MAX_RETAINED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Returns how an incarnation ended. None if no newer one is known.
    pub(crate) fn end_of(&self, incarnation: &EngineId) -> Option<IncarnationEnd> {
        self.ends.get(incarnation).copied()
    }
}

/// Changes only when an incarnation ends, unlike the directory, which changes with each
/// heartbeat.
pub(crate) type EndedIncarnationsReceiver = watch::Receiver<Arc<EndedIncarnations>>;

/// Publishes the directory's ended incarnations until every receiver is dropped.
pub(crate) fn watch_ended_incarnations(
    directory: watch::Receiver<Arc<Directory>>,
) -> EndedIncarnationsReceiver {
    let (sender, receiver) = watch::channel(Arc::clone(directory.borrow().ended()));
    let sender = Arc::new(sender);
    tasks::spawn_part("ended incarnations", move || {
        publish_ended(directory.clone(), Arc::clone(&sender))
    });
    receiver
}

async fn publish_ended(
    mut directory: watch::Receiver<Arc<Directory>>,
    sender: Arc<watch::Sender<Arc<EndedIncarnations>>>,
) {
    loop {
        tokio::select! {
            changed = directory.changed() => if changed.is_err() { return },
            () = sender.closed() => return,
        }
        let ended = Arc::clone(directory.borrow_and_update().ended());
        sender.send_if_modified(|current| {
            let has_changed = !Arc::ptr_eq(current, &ended);
            *current = ended;
            has_changed
        });
    }
}

/// Completes once a newer incarnation of the same back end is known.
pub(crate) async fn wait_until_ended(mut ended: EndedIncarnationsReceiver, incarnation: &EngineId) {
    let is_known =
        |incarnations: &Arc<EndedIncarnations>| incarnations.end_of(incarnation).is_some();
    if ended.wait_for(is_known).await.is_err() {
        // The node is stopping; its requests end by other means.
        std::future::pending::<()>().await;
    }
}
