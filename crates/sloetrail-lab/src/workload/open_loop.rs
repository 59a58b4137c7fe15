//! Open-loop load: requests start on a schedule, whether or not the ones before
//! have ended, and their latency counts from the intended start.

use super::node_book::NodeBook;
use crate::standins::engine::{MARKER_HEADER, SEND_HEADER};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use sloetrail_clients::HttpClient;
use sloetrail_result::Problem;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const CLIENTS: usize = 16;

/// What is sent.
#[derive(Clone, Debug)]
pub struct OpenLoopSettings {
    /// The path below a node's address.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub during: Duration,
    /// An answer later than this is of no use to its caller.
    pub useful_within: Duration,
    /// Drives the schedule.
    pub seed: u64,
}

/// What came back.
#[derive(Clone, Debug, Serialize)]
pub struct OpenLoopReport {
    /// Requests a second that were sent.
    pub offered_per_second: f64,
    /// Whole answers a second that came in time.
    pub useful_per_second: f64,
    /// Latency of whole answers from the intended start, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// Latency of refusals, 99th percentile, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Whole answers that came too late.
    pub late: u64,
    /// Problem documents by code.
    pub codes: BTreeMap<u16, u64>,
    /// Requests without an answer.
    pub unanswered: u64,
}

struct Results {
    answers: Histogram<u64>,
    refusals: Histogram<u64>,
    useful: u64,
    late: u64,
    unanswered: u64,
    codes: BTreeMap<u16, u64>,
}

/// Sends requests on a schedule with exponential gaps and waits for the last.
pub async fn run_open_loop(settings: OpenLoopSettings, book: &NodeBook) -> OpenLoopReport {
    let highest = ANSWER_TIMEOUT.as_micros() as u64;
    let histogram =
        || Histogram::<u64>::new_with_bounds(1, highest, 3).expect("the bounds are sound");
    let results = Arc::new(Mutex::new(Results {
        answers: histogram(),
        refusals: histogram(),
        useful: 0,
        late: 0,
        unanswered: 0,
        codes: BTreeMap::new(),
    }));
    let clients: Vec<HttpClient> = (0..CLIENTS).map(|_| HttpClient::new()).collect();
    let mut random = StdRng::seed_from_u64(settings.seed);
    let started = Instant::now();
    let mut intended = started;
    let mut sent: u64 = 0;
    let mut tasks = Vec::new();
    while intended < started + settings.during {
        tokio::time::sleep_until(intended).await;
        if let Some(entry) = book.any(&mut random) {
            let http = clients[sent as usize % CLIENTS].clone();
            let uri = format!("http://{}{}", entry.address, settings.path);
            let number = format!("{}-{sent}", settings.seed);
            let results = Arc::clone(&results);
            let useful_within = settings.useful_within;
            tasks.push(tokio::spawn(async move {
                send_one(&http, &uri, &number, intended, useful_within, &results).await;
            }));
        }
        sent += 1;
        let gap = -(1.0 - random.random::<f64>()).ln() / settings.rate;
        intended += Duration::from_secs_f64(gap);
    }
    for task in tasks {
        task.await.expect("requests do not panic");
    }
    let results = results.lock().expect("not poisoned");
    report(&settings, sent, &results)
}

async fn send_one(
    http: &HttpClient,
    uri: &str,
    number: &str,
    intended: Instant,
    useful_within: Duration,
    results: &Mutex<Results>,
) {
    let request = Request::get(uri)
        .header(SEND_HEADER, format!("load-{number}"))
        .header(MARKER_HEADER, format!("load-{number}"))
        .body(Full::<Bytes>::default())
        .expect("lab paths are sound");
    let answer = http
        .fetch(request, ANSWER_TIMEOUT, ANSWER_LIMIT_BYTES)
        .await;
    let taken = intended.elapsed();
    let microseconds = taken.as_micros() as u64;
    let mut results = results.lock().expect("not poisoned");
    match answer {
        Ok(response) if response.status.is_success() => {
            results.answers.saturating_record(microseconds);
            match taken <= useful_within {
                true => results.useful += 1,
                false => results.late += 1,
            }
        }
        Ok(response) => {
            results.refusals.saturating_record(microseconds);
            let problem = response.json::<Problem>();
            let code = problem.map_or(0, |problem| problem.code);
            *results.codes.entry(code).or_default() += 1;
        }
        Err(_) => results.unanswered += 1,
    }
}

fn report(settings: &OpenLoopSettings, sent: u64, results: &Results) -> OpenLoopReport {
    let seconds = settings.during.as_secs_f64();
    let milliseconds = |quantile: f64| results.answers.value_at_quantile(quantile) as f64 / 1e3;
    OpenLoopReport {
        offered_per_second: sent as f64 / seconds,
        useful_per_second: results.useful as f64 / seconds,
        p50_ms: milliseconds(0.5),
        p99_ms: milliseconds(0.99),
        p999_ms: milliseconds(0.999),
        refusal_p99_ms: results.refusals.value_at_quantile(0.99) as f64 / 1e3,
        late: results.late,
        codes: results.codes.clone(),
        unanswered: results.unanswered,
    }
}
