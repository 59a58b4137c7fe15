//! The table's client against the stand-in: lost answers are settled, not guessed.

use sloetrail_clients::{Condition, HttpClient, Settled, TableClient, Transaction, Write};
use sloetrail_history::EventBody;
use sloetrail_lab::history_log::HistoryLog;
use sloetrail_lab::standins::{CallLog, FaultControl, Faults, TableStandIn};
use sloetrail_types::TransactionId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const KEY: &str = "claim/key";

async fn table() -> (TableStandIn, TableClient) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let table = TableStandIn::start(any, 10_000.0, FaultControl::new(1))
        .await
        .expect("the table starts");
    let timeout = Duration::from_secs(2);
    let client = TableClient::new(HttpClient::new(), table.address(), timeout);
    (table, client)
}

/// Writes the row on the condition that it is absent.
fn claim(id: &str) -> Transaction {
    Transaction {
        id: TransactionId::from(id),
        conditions: vec![Condition {
            key: KEY.to_owned(),
            version: None,
        }],
        writes: vec![Write {
            key: KEY.to_owned(),
            value: Some(serde_json::json!({ "holder": id })),
        }],
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(300)
}

fn later() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

#[tokio::test]
async fn the_first_claim_is_committed_and_the_second_conflicts() {
    let (_table, client) = table().await;
    let first = client.commit_settled(&claim("a"), KEY, later()).await;
    assert!(matches!(first, Settled::Committed(_)));
    let second = client.commit_settled(&claim("b"), KEY, later()).await;
    assert_eq!(second, Settled::Conflict);
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_found_by_reading_back() {
    let (table, client) = table().await;
    table.faults.set(Faults {
        lost_answer_percent: 60,
        ..Faults::default()
    });
    let settled = client.commit_settled(&claim("a"), KEY, later()).await;
    assert!(matches!(settled, Settled::Committed(_)), "{settled:?}");
}

#[tokio::test]
async fn a_claim_left_unknown_is_settled_by_a_later_call() {
    let (table, client) = table().await;
    table.faults.set(Faults {
        lost_answer_percent: 100,
        ..Faults::default()
    });
    let unknown = client.commit_settled(&claim("a"), KEY, soon()).await;
    assert_eq!(unknown, Settled::Unknown);
    table.faults.set(Faults::default());
    let settled = client.commit_settled(&claim("a"), KEY, later()).await;
    assert!(matches!(settled, Settled::Committed(_)), "{settled:?}");
}

#[tokio::test]
async fn a_table_that_is_down_has_certainly_not_executed() {
    let (table, client) = table().await;
    table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let settled = client.commit_settled(&claim("a"), KEY, soon()).await;
    assert_eq!(settled, Settled::NotExecuted);
    table.faults.set(Faults::default());
    assert_eq!(client.read(KEY).await.expect("readable"), None);
}

#[tokio::test]
async fn the_table_writes_down_what_truly_happened() {
    let history = HistoryLog::in_memory();
    let mut faults = FaultControl::new(1);
    faults.log_calls(CallLog {
        history: history.clone(),
        stand_in: "table",
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let started = TableStandIn::start(any, 10_000.0, faults).await;
    let table = started.expect("the table starts");
    let timeout = Duration::from_secs(2);
    let client = TableClient::new(HttpClient::new(), table.address(), timeout);
    table.faults.set(Faults {
        lost_answer_percent: 100,
        ..Faults::default()
    });
    assert!(client.commit(&claim("a")).await.is_err());
    table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(client.commit(&claim("b")).await.is_err());
    let calls: Vec<(u16, bool)> = history
        .events()
        .into_iter()
        .filter_map(|event| match event.body {
            EventBody::PlatformCalled {
                status,
                answer_lost,
                ..
            } => Some((status, answer_lost)),
            _ => None,
        })
        .collect();
    assert_eq!(calls, vec![(200, true), (503, false)]);
}
