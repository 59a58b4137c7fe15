//! Faults that every stand-in can be told to have.

use crate::history_log::HistoryLog;
use axum::Json;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Router, response};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sloetrail_history::EventBody;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HANG: Duration = Duration::from_secs(60);

/// How a stand-in fails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused before it takes effect.
    pub down: bool,
    /// Every call hangs without taking effect.
    pub hang: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// Share of the calls that take effect and whose answer is lost.
    pub lost_answer_percent: u32,
    /// Share of the answers that belong to an earlier request (back ends).
    pub crossed_answer_percent: u32,
    /// Share of the answers that are cut short (back ends).
    pub cut_answer_percent: u32,
    /// Share of the orders that fail (engines).
    pub failed_order_percent: u32,
}

/// A stand-in's faults and the random choices among its calls.
#[derive(Clone)]
pub struct FaultControl {
    faults: Arc<Mutex<Faults>>,
    random: Arc<Mutex<StdRng>>,
    log: Option<CallLog>,
}

/// Where the calls of a stand-in are written down.
#[derive(Clone)]
pub struct CallLog {
    /// The history.
    pub history: HistoryLog,
    /// The stand-in's name.
    pub stand_in: &'static str,
}

impl FaultControl {
    /// No faults yet.
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Arc::default(),
            random: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
            log: None,
        }
    }

    /// Writes each call down from now on.
    pub fn log_calls(&mut self, log: CallLog) {
        self.log = Some(log);
    }

    fn record(&self, call: String, status: StatusCode, answer_lost: bool) {
        if let Some(log) = &self.log {
            log.history.record(EventBody::PlatformCalled {
                stand_in: log.stand_in.to_owned(),
                call,
                status: status.as_u16(),
                answer_lost,
            });
        }
    }

    /// The faults in force.
    pub fn get(&self) -> Faults {
        self.faults.lock().expect("not poisoned").clone()
    }

    /// Changes the faults.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("not poisoned") = faults;
    }

    /// True for a share of the calls.
    pub fn strikes(&self, percent: u32) -> bool {
        if percent == 0 {
            return false;
        }
        let mut random = self.random.lock().expect("not poisoned");
        random.random_range(0..100) < percent
    }

    /// Puts the faults round a router, and `/lab/faults` beside it.
    pub fn wrap(&self, router: Router) -> Router {
        let control = Router::new()
            .route("/lab/faults", get(read_faults).post(write_faults))
            .with_state(self.clone());
        router
            .layer(from_fn_with_state(self.clone(), fail))
            .merge(control)
    }
}

async fn read_faults(State(control): State<FaultControl>) -> Json<Faults> {
    Json(control.get())
}

async fn write_faults(State(control): State<FaultControl>, Json(faults): Json<Faults>) {
    control.set(faults);
}

async fn fail(State(control): State<FaultControl>, request: Request, next: Next) -> Response {
    let faults = control.get();
    let call = format!("{} {}", request.method(), request.uri());
    if faults.hang || faults.down {
        let refused = StatusCode::SERVICE_UNAVAILABLE;
        control.record(call, refused, false);
        if faults.hang {
            tokio::time::sleep(HANG).await;
        }
        return refused.into_response();
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let response = next.run(request).await;
    let is_lost = control.strikes(faults.lost_answer_percent);
    control.record(call, response.status(), is_lost);
    match is_lost {
        true => lost_answer(),
        false => response,
    }
}

/// An answer whose connection breaks before its body has come.
pub(super) fn lost_answer() -> Response {
    let broken = futures_util::stream::once(async {
        Err::<bytes::Bytes, _>(std::io::Error::other("the answer is lost"))
    });
    response::Response::new(Body::from_stream(broken))
}
