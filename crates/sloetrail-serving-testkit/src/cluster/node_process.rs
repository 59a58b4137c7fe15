//! A node that can be killed, stopped, frozen or suspended like a process.

use crate::table::TableLink;
use sloetrail_clock::suspend_thread;
use sloetrail_serving::dialect::Dialect;
use sloetrail_serving::settings::ServingSettings;
use sloetrail_serving::table::Table;
use sloetrail_serving::{ControlServices, ServingNode, StartError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A node with its own thread and runtime, so that killing it ends all of its tasks.
pub struct NodeProcess {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness endpoint.
    pub ready: SocketAddr,
    /// The address of the metrics and of what operators ask; None if there is none.
    pub metrics: Option<SocketAddr>,
    pub link: Arc<TableLink>,
    runtime: Handle,
    kill: Option<oneshot::Sender<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeProcess {
    /// Starts a node. `table` is its table client and uses `link`.
    pub(super) async fn start(
        settings: ServingSettings,
        link: Arc<TableLink>,
        table: Arc<dyn Table>,
        dialect: Arc<dyn Dialect>,
        services: ControlServices,
    ) -> Result<Self, StartError> {
        let metrics = settings.metrics_address;
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let (started, addresses) = oneshot::channel();
        let start = NodeStart {
            settings,
            table,
            dialect,
            services,
            started,
            stopped,
            killed,
        };
        let thread = std::thread::spawn(move || start.run());
        let started = addresses.await.expect("the node reports its addresses");
        let (callers, ready, runtime) = started?;
        Ok(Self {
            callers,
            ready,
            metrics,
            link,
            runtime,
            kill: Some(kill),
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Ends the node abruptly and waits for its thread.
    pub fn kill(&mut self) {
        self.kill.take();
        if let Some(thread) = self.thread.take() {
            // An error means that the node panicked, so it has ended.
            let _ = thread.join();
        }
    }

    /// Starts a graceful stop without waiting for it; see [`Self::has_ended`].
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails if the node has already ended.
            let _ = stop.send(());
        }
    }

    /// Blocks the runtime of the node for `time`, like a frozen process.
    pub fn freeze(&self, time: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(time) });
    }

    /// Simulates a suspension of the machine for `time`: the steady clock of the node does not
    /// advance. Returns when it is over.
    pub async fn suspend(&self, time: Duration) {
        let suspending = self.runtime.spawn(async move { suspend_thread(time) });
        suspending.await.expect("the node runs");
    }

    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

struct NodeStart {
    settings: ServingSettings,
    table: Arc<dyn Table>,
    dialect: Arc<dyn Dialect>,
    services: ControlServices,
    started: oneshot::Sender<Result<(SocketAddr, SocketAddr, Handle), StartError>>,
    stopped: oneshot::Receiver<()>,
    killed: oneshot::Receiver<()>,
}

impl NodeStart {
    /// Runs the node until it is killed or has stopped.
    fn run(self) {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime builds");
        let killed = self.killed;
        let serving = async move {
            let (settings, services) = (self.settings, self.services);
            let node = ServingNode::start(settings, self.table, self.dialect, services);
            let node = match node.await {
                Ok(node) => node,
                Err(error) => {
                    self.started.send(Err(error)).expect("start is awaited");
                    return;
                }
            };
            let runtime = Handle::current();
            let started = (node.callers_address(), node.ready_address(), runtime);
            self.started.send(Ok(started)).expect("start is awaited");
            match self.stopped.await {
                Ok(()) => node.stop().await,
                Err(_) => std::future::pending().await,
            }
        };
        runtime.block_on(async move {
            tokio::select! {
                () = serving => {}
                _ = killed => {}
            }
        });
        runtime.shutdown_background();
    }
}
