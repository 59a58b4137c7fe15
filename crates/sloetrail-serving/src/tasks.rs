//! Tasks of a node.
//!
//! Every task is started here, so that none ends by a panic without a log line and a count. What
//! follows a panic depends on the kind of work:
//!
//! - [`spawn`]: a single piece of work. Whoever waits for it sees that it has failed.
//! - [`spawn_part`]: a part of the node that lasts as long as the node. It is started again, and
//!   the node goes on with what is in force meanwhile.
//! - [`spawn_with_fallback`]: work of a term. The fallback ends the term or reports a failure.
//! - [`catch`] and [`catch_sync`]: a step of a task that goes on without the step's result.
//!
//! The process does not exit after a panic. A row that every node reads would stop all of them at
//! the same time, and again after each start.

use crate::events::{self, Event};
use crate::telemetry;
use futures_util::FutureExt;
use sloetrail_clock::BootInstant;
use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use tokio::task::JoinHandle;

const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(100);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// A part that ran this long before a panic is started again after the initial delay.
const STABLE_RUN_TIME: Duration = Duration::from_secs(30);

thread_local! {
    /// The source location of the thread's last panic.
    static PANICKED_AT: RefCell<String> = const { RefCell::new(String::new()) };
}

/// The work has panicked; the panic is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Panicked;

/// Installs a panic hook that records the source location and writes it to standard error. The
/// message of a panic is not written, since it may quote keys or bodies.
pub fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        let location = location.unwrap_or_default();
        eprintln!("panicked at {location}");
        PANICKED_AT.with_borrow_mut(|at| *at = location);
    }));
}

/// Runs work and reports a panic.
pub(crate) async fn catch<Work: Future>(
    name: &'static str,
    work: Work,
) -> Result<Work::Output, Panicked> {
    let outcome = AssertUnwindSafe(work).catch_unwind().await;
    outcome.map_err(|_| report(name))
}

/// Runs work that does not wait, and reports a panic.
pub(crate) fn catch_sync<Output>(
    name: &'static str,
    work: impl FnOnce() -> Output,
) -> Result<Output, Panicked> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|_| report(name))
}

/// Spawns a single piece of work.
pub(crate) fn spawn<Work>(
    name: &'static str,
    work: Work,
) -> JoinHandle<Result<Work::Output, Panicked>>
where
    Work: Future + Send + 'static,
    Work::Output: Send + 'static,
{
    tokio::spawn(catch(name, work))
}

/// Spawns work and calls `fallback` if it panics.
pub(crate) fn spawn_with_fallback<Work>(
    name: &'static str,
    work: Work,
    fallback: impl FnOnce() + Send + 'static,
) -> JoinHandle<()>
where
    Work: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        if catch(name, work).await.is_err() {
            fallback();
        }
    })
}

/// Spawns a part of the node. `start` is called again after each panic, with a delay that grows
/// while the part does not run for long. The part ends when its work returns.
pub(crate) fn spawn_part<Start, Work>(name: &'static str, mut start: Start) -> JoinHandle<()>
where
    Start: FnMut() -> Work + Send + 'static,
    Work: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut delay = INITIAL_RESTART_DELAY;
        loop {
            let started_at = BootInstant::now();
            let work = async { start().await };
            if catch(name, work).await.is_ok() {
                return;
            }
            if started_at.elapsed() >= STABLE_RUN_TIME {
                delay = INITIAL_RESTART_DELAY;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    })
}

fn report(name: &'static str) -> Panicked {
    telemetry::task_panicked(name);
    let at = PANICKED_AT.with_borrow_mut(std::mem::take);
    events::emit(&Event::TaskPanicked {
        task: name,
        at: &at,
    });
    Panicked
}

#[cfg(test)]
mod tests;
