use super::{ClaimRecord, ClaimState, RequestIdentity, StoredAnswer, Verdict};
use crate::http::WholeAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use sloetrail_types::{NodeId, TenantName};
use std::time::Duration;

const NOW_MS: u64 = 5_000;

fn record(claimant: &str, number: u64, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        claimant: NodeId::from(claimant),
        number,
        request: RequestIdentity {
            tenant: None,
            host: "a.example".to_owned(),
            digest: u128::MAX - 7,
        },
        due_ms: NOW_MS + 300,
        delete_at_ms: NOW_MS + 90_000,
        state,
    }
}

fn asking() -> ClaimRecord {
    record("node-2/1", 1, ClaimState::Running)
}

fn answer() -> WholeAnswer {
    let mut headers = HeaderMap::new();
    headers.insert("signature", HeaderValue::from_static("signed"));
    headers.append("set-cookie", HeaderValue::from_static("a=1"));
    headers.append("set-cookie", HeaderValue::from_static("b=2"));
    headers.insert("connection", HeaderValue::from_static("close"));
    WholeAnswer {
        status: StatusCode::CREATED,
        headers,
        body: Bytes::from_static(b"\x00\xff answer"),
    }
}

fn every_state() -> [ClaimState; 3] {
    [
        ClaimState::Running,
        ClaimState::Released,
        ClaimState::Answered(StoredAnswer::of(&answer())),
    ]
}

#[test]
fn a_row_of_the_same_sending_is_its_own() {
    for state in every_state() {
        let row = record("node-2/1", 1, state);
        assert_eq!(row.judge(&asking(), NOW_MS), Verdict::Own);
    }
}

#[test]
fn another_sending_or_life_of_the_same_node_is_not_the_same() {
    for (claimant, number) in [("node-2/1", 2), ("node-2/2", 1), ("node-1/1", 1)] {
        let row = record(claimant, number, ClaimState::Running);
        let left = Duration::from_millis(300);
        assert_eq!(
            row.judge(&asking(), NOW_MS),
            Verdict::InProgress { left },
            "{claimant} {number}"
        );
    }
}

#[test]
fn a_claim_whose_answer_is_overdue_never_becomes_free() {
    let row = record("node-1/1", 1, ClaimState::Running);
    for now_ms in [row.due_ms, row.due_ms + 1, row.delete_at_ms, u64::MAX] {
        assert_eq!(row.judge(&asking(), now_ms), Verdict::OutcomeUnknown);
    }
}

#[test]
fn a_released_claim_is_free_and_an_answered_one_gives_its_answer() {
    let released = record("node-1/1", 1, ClaimState::Released);
    assert_eq!(released.judge(&asking(), NOW_MS), Verdict::Free);
    let stored = StoredAnswer::of(&answer());
    let answered = record("node-1/1", 1, ClaimState::Answered(stored.clone()));
    assert_eq!(answered.judge(&asking(), NOW_MS), Verdict::Answered(stored));
}

#[test]
fn another_request_gets_nothing_of_the_claim_whatever_its_state() {
    let mut others = [asking(), asking(), asking()];
    others[0].request.digest = 1;
    others[1].request.host = "other.example".to_owned();
    others[2].request.tenant = Some(TenantName::from("a"));
    for state in every_state() {
        for other in &others {
            let row = record("node-1/1", 1, state.clone());
            assert_eq!(row.judge(other, NOW_MS), Verdict::OtherRequest);
        }
    }
}

#[test]
fn rows_come_back_as_they_were() {
    for state in every_state() {
        let row = record("node-1/1", 1, state);
        assert_eq!(ClaimRecord::decode(&row.encode()), Some(row));
    }
    assert_eq!(ClaimRecord::decode(b"no row"), None);
}

#[test]
fn an_answer_is_kept_without_what_belongs_to_its_connection() {
    let restored = StoredAnswer::of(&answer()).restore().expect("an answer");
    let mut expected = answer();
    expected.headers.remove("connection");
    assert_eq!(restored.status, expected.status);
    assert_eq!(restored.headers, expected.headers);
    assert_eq!(restored.body, expected.body);
}
