//! Operators: applying files, racing one another, reading back.

use super::http_json::{JsonAnswer, send_json};
use super::node_book::{BookEntry, NodeBook};
use crate::history_log::HistoryLog;
use http::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sloetrail_clients::HttpClient;
use sloetrail_history::{ApplyOutcome, EventBody};
use sloetrail_node::messages::{ApplyAccepted, ApplyRequest, ConfigurationReport};
use sloetrail_result::{Kind, Problem};
use sloetrail_types::{ApplyId, Revision};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BACK_TRIES: usize = 20;
const READ_BACK_PAUSE: Duration = Duration::from_millis(500);
/// What the racing operators change from apply to apply.
const CHANGED_SETTING: &str = "queue_limit = ";

/// How an apply ended, after reading back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// Accepted.
    Accepted(Revision),
    /// Refused with this code.
    Refused(u16),
    /// Still unknown.
    Unknown,
}

/// Applies a text through a node and reads an unknown outcome back.
pub async fn apply_file(
    http: &HttpClient,
    book: &NodeBook,
    history: &HistoryLog,
    entry: &BookEntry,
    request: &ApplyRequest,
    random: &mut StdRng,
) -> ApplyResult {
    history.record(EventBody::ApplySent {
        apply: request.apply.clone(),
    });
    let answer = send_json(
        http,
        Method::POST,
        entry.address,
        "/v1/configuration",
        Some(request),
        CALL_TIMEOUT,
    );
    let mut result = judge(answer.await);
    record(history, &request.apply, &result);
    for _ in 0..READ_BACK_TRIES {
        if result != ApplyResult::Unknown {
            break;
        }
        tokio::time::sleep(READ_BACK_PAUSE).await;
        let Some(entry) = book.any(random) else {
            continue;
        };
        let path = format!("/v1/applies/{}", request.apply);
        let answer =
            send_json::<(), _>(http, Method::GET, entry.address, &path, None, CALL_TIMEOUT);
        result = judge(answer.await);
        record(history, &request.apply, &result);
    }
    result
}

fn judge(answer: JsonAnswer<ApplyAccepted>) -> ApplyResult {
    match answer {
        JsonAnswer::Value(accepted) => ApplyResult::Accepted(accepted.revision),
        JsonAnswer::Problem(Problem {
            kind: Kind::NotRun,
            code,
            ..
        }) => ApplyResult::Refused(code),
        JsonAnswer::Failed(error) if error.is_not_executed() => ApplyResult::Refused(0),
        JsonAnswer::Problem(_) | JsonAnswer::Failed(_) => ApplyResult::Unknown,
    }
}

fn record(history: &HistoryLog, apply: &ApplyId, result: &ApplyResult) {
    let outcome = match result {
        ApplyResult::Accepted(revision) => ApplyOutcome::Accepted(*revision),
        ApplyResult::Refused(_) => ApplyOutcome::Refused,
        ApplyResult::Unknown => ApplyOutcome::Unknown,
    };
    history.record(EventBody::ApplyAnswered {
        apply: apply.clone(),
        outcome,
    });
}

/// Reads the revision in force from every node of the book.
pub async fn read_revisions(http: &HttpClient, book: &NodeBook, history: &HistoryLog) {
    for entry in book.all() {
        let answer: JsonAnswer<ConfigurationReport> = send_json::<(), _>(
            http,
            Method::GET,
            entry.address,
            "/v1/configuration",
            None,
            READ_TIMEOUT,
        )
        .await;
        if let JsonAnswer::Value(report) = answer
            && report.node == entry.node
        {
            history.record(EventBody::RevisionRead {
                node: entry.node,
                zone: entry.zone,
                revision: report.revision,
            });
        }
    }
}

/// Two operators that change the same file against each other until cancelled.
/// Returns the number of accepted applies.
pub async fn run_racing_operators(
    text: String,
    book: NodeBook,
    history: HistoryLog,
    pause: Duration,
    seed: u64,
    cancel: CancellationToken,
) -> u64 {
    let first = race(0, &text, &book, &history, pause, seed, &cancel);
    let second = race(1, &text, &book, &history, pause, seed, &cancel);
    let (first, second) = tokio::join!(first, second);
    first + second
}

async fn race(
    operator: u64,
    text: &str,
    book: &NodeBook,
    history: &HistoryLog,
    pause: Duration,
    seed: u64,
    cancel: &CancellationToken,
) -> u64 {
    let http = HttpClient::new();
    let mut random = StdRng::seed_from_u64(seed * 2 + operator);
    let mut accepted = 0;
    let mut number = 0;
    while !cancel.is_cancelled() {
        number += 1;
        read_revisions(&http, book, history).await;
        if let Some(entry) = book.any(&mut random) {
            let limit = random.random_range(200..400);
            let request = ApplyRequest {
                apply: ApplyId::new(format!("apply-{seed}-{operator}-{number}")),
                file: "race.toml".to_owned(),
                text: text.replace(CHANGED_SETTING, &format!("queue_limit = {limit} # ")),
                base_revision: None,
            };
            let result = apply_file(&http, book, history, &entry, &request, &mut random).await;
            accepted += u64::from(matches!(result, ApplyResult::Accepted(_)));
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cancel.cancelled() => {}
        }
    }
    read_revisions(&http, book, history).await;
    accepted
}
