//! The lease managers of a node.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{LeaseManager, LeaseResource, LeaseTask};
use crate::tasks;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Why a node competes for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseNeed {
    /// The configuration in force names the batch set.
    Configured,
    /// The table records the batch set.
    Recorded,
    /// The settings enable the task.
    Enabled,
}

impl LeaseNeed {
    /// Label in the log.
    fn as_str(self) -> &'static str {
        match self {
            LeaseNeed::Configured => "configuration",
            LeaseNeed::Recorded => "table",
            LeaseNeed::Enabled => "settings",
        }
    }
}

struct RunningManager {
    task: JoinHandle<()>,
    stopping: CancellationToken,
}

/// The running lease managers.
///
/// Invariant: at most one manager for each resource, also after the supervisor was started again.
#[derive(Default)]
pub(crate) struct LeaseManagers {
    running: HashMap<LeaseResource, RunningManager>,
    /// Resources whose managers were told to stop and may still run.
    ending: HashSet<LeaseResource>,
    ends: FuturesUnordered<BoxFuture<'static, LeaseResource>>,
}

impl LeaseManagers {
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Starts the manager of a resource, unless one runs. A manager that is ending delays it until
    /// [`Self::next_end`] has returned.
    pub(super) fn ensure(
        &mut self,
        context: &Arc<NodeContext>,
        (resource, need): (LeaseResource, LeaseNeed),
        stopping: &CancellationToken,
        new_task: impl FnOnce() -> Arc<dyn LeaseTask>,
    ) {
        if self.running.contains_key(&resource) || self.ending.contains(&resource) {
            return;
        }
        let configuration = context.configuration();
        events::emit(&Event::LeaseManagerStarted {
            service: resource.name(),
            cause: need.as_str(),
            revision: configuration.map_or(0, |configuration| configuration.revision.0),
        });
        let manager = start(
            Arc::clone(context),
            resource.clone(),
            new_task(),
            stopping.child_token(),
        );
        self.running.insert(resource, manager);
    }

    /// Tells the managers of resources that are not needed to stop.
    pub(super) fn stop_unneeded(&mut self, is_needed: impl Fn(&LeaseResource) -> bool) {
        let unneeded = self.running.extract_if(|resource, _| !is_needed(resource));
        for (resource, manager) in unneeded {
            events::emit(&Event::LeaseManagerStopped {
                service: resource.name(),
            });
            manager.stopping.cancel();
            self.ending.insert(resource.clone());
            self.ends.push(Box::pin(async move {
                // Fails only if the runtime shuts down.
                let _ = manager.task.await;
                resource
            }));
        }
    }

    /// Waits until a manager that was told to stop has ended; forever if there is none.
    pub(super) async fn next_end(&mut self) {
        match self.ends.next().await {
            Some(resource) => drop(self.ending.remove(&resource)),
            None => std::future::pending().await,
        }
    }

    /// Waits until all managers have ended, after they were told to stop.
    pub(super) async fn join(&mut self) {
        for (_, manager) in self.running.drain() {
            // Fails only if the runtime shuts down.
            let _ = manager.task.await;
        }
        while let Some(resource) = self.ends.next().await {
            self.ending.remove(&resource);
        }
    }
}

fn start(
    context: Arc<NodeContext>,
    resource: LeaseResource,
    task: Arc<dyn LeaseTask>,
    stopping: CancellationToken,
) -> RunningManager {
    let manager_stopping = stopping.clone();
    let task = tasks::spawn_part("lease manager", move || {
        let (context, task) = (Arc::clone(&context), Arc::clone(&task));
        LeaseManager::new(context, resource.clone(), task, manager_stopping.clone()).run()
    });
    RunningManager { task, stopping }
}
