//! How long the requests of each route run, from their arrival to the end of the answer.

use parking_lot::Mutex;
use sloetrail_balance::LatencyQuantile;
use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The 90th percentile of the run times of each route. Routes come from the configuration, and few
/// are ever removed.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes(Arc<Mutex<HashMap<String, LatencyQuantile>>>);

impl RunTimes {
    pub(super) fn record(&self, route: &str, took: Duration) {
        let mut times = self.0.lock();
        match times.get_mut(route) {
            Some(known) => known.record(took),
            None => times.entry(route.to_owned()).or_default().record(took),
        }
    }

    /// Returns how long a request of the route is likely to run; None if that is unknown.
    pub(super) fn expected(&self, route: &str) -> Option<Duration> {
        self.0.lock().get(route).map(LatencyQuantile::estimate)
    }

    /// Returns a guard that records the time since `began_at` when it is dropped.
    pub(super) fn until_dropped(&self, route: &str, began_at: BootInstant) -> RunTimeGuard {
        RunTimeGuard {
            times: self.clone(),
            route: route.to_owned(),
            began_at,
        }
    }
}

/// A request whose answer is being sent.
pub(super) struct RunTimeGuard {
    times: RunTimes,
    route: String,
    began_at: BootInstant,
}

impl Drop for RunTimeGuard {
    fn drop(&mut self) {
        self.times.record(&self.route, self.began_at.elapsed());
    }
}
