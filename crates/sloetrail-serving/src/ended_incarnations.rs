//! Lives of back ends after which another one began under the same name.
//!
//! A back end that is listed anew under its name with another start has ended before, whatever
//! else is said of the older life: its connections may have stayed silent, and its row, a held
//! question or an answer may come late. What ran there is lost at once, without a time-out.

use crate::directory::Directory;
use sloetrail_types::EngineId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tokio::sync::watch;

/// Lives that are kept in mind. Rows and answers come late by seconds; a fleet of 890 engines that
/// all restart once within them has as many.
const KEPT_MOST: usize = 1_024;

/// How a life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IncarnationEnd {
    /// It had said that it leaves.
    Planned,
    /// It had not.
    Crashed,
}

/// Lives after which another one began under the same name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndedIncarnations {
    ends: BTreeMap<EngineId, IncarnationEnd>,
    /// The oldest first.
    order: VecDeque<EngineId>,
}

impl EndedIncarnations {
    /// Adds a life.
    pub(crate) fn add(&mut self, life: EngineId, end: IncarnationEnd) {
        if self.ends.insert(life.clone(), end).is_none() {
            self.order.push_back(life);
        }
        if self.order.len() > KEPT_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// How a life ended; nothing if no other one is known to have begun after it.
    pub(crate) fn end_of(&self, life: &EngineId) -> Option<IncarnationEnd> {
        self.ends.get(life).copied()
    }
}

/// The lives that have ended. It is told when there is one more: restarts are rare, and the
/// directory itself changes with each sign of life.
pub(crate) type EndedIncarnationsReceiver = watch::Receiver<Arc<EndedIncarnations>>;

/// Tells of lives that have ended until every receiver is gone.
pub(crate) fn watch_ended_incarnations(
    mut directory: watch::Receiver<Arc<Directory>>,
) -> EndedIncarnationsReceiver {
    let (sender, receiver) = watch::channel(Arc::clone(directory.borrow().ended()));
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = directory.changed() => if changed.is_err() { return },
                () = sender.closed() => return,
            }
            let ended = Arc::clone(directory.borrow_and_update().ended());
            sender.send_if_modified(|known| {
                let has_changed = !Arc::ptr_eq(known, &ended);
                *known = ended;
                has_changed
            });
        }
    });
    receiver
}

/// Completes once another life is known to have begun after this one.
pub(crate) async fn wait_until_ended(mut ended: EndedIncarnationsReceiver, life: &EngineId) {
    let is_known = |lives: &Arc<EndedIncarnations>| lives.end_of(life).is_some();
    if ended.wait_for(is_known).await.is_err() {
        // The node stops; its requests end by themselves.
        std::future::pending::<()>().await;
    }
}
