use super::{ClaimDecision, ClaimRecord, ClaimState, RequestIdentity, StoredAnswer};
use crate::http::CompleteAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use sloetrail_types::{NodeId, TenantName, Timestamp};
use std::time::Duration;

const NOW: Timestamp = Timestamp(5_000);

fn record(claimant: &str, number: u64, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        claimant: NodeId::from(claimant),
        number,
        request: RequestIdentity {
            tenant: None,
            host: "a.example".to_owned(),
            digest: u128::MAX - 7,
        },
        due_at: NOW.after(Duration::from_millis(300)),
        delete_at: NOW.after(Duration::from_secs(90)),
        state,
    }
}

fn candidate() -> ClaimRecord {
    record("node-2/1", 1, ClaimState::Running)
}

fn answer() -> CompleteAnswer {
    let mut headers = HeaderMap::new();
    headers.insert("signature", HeaderValue::from_static("signed"));
    headers.append("set-cookie", HeaderValue::from_static("a=1"));
    headers.append("set-cookie", HeaderValue::from_static("b=2"));
    headers.insert("connection", HeaderValue::from_static("close"));
    CompleteAnswer {
        status: StatusCode::CREATED,
        headers,
        body: Bytes::from_static(b"\x00\xff answer"),
    }
}

fn all_states() -> [ClaimState; 3] {
    [
        ClaimState::Running,
        ClaimState::Released,
        ClaimState::Answered(StoredAnswer::of(&answer())),
    ]
}

#[test]
fn a_row_of_the_same_call_is_its_own_claim() {
    for state in all_states() {
        let row = record("node-2/1", 1, state);
        assert_eq!(row.decide(&candidate(), NOW), ClaimDecision::OwnClaim);
    }
}

#[test]
fn another_call_or_incarnation_is_a_different_claim() {
    for (claimant, number) in [("node-2/1", 2), ("node-2/2", 1), ("node-1/1", 1)] {
        let row = record(claimant, number, ClaimState::Running);
        let remaining = Duration::from_millis(300);
        assert_eq!(
            row.decide(&candidate(), NOW),
            ClaimDecision::InProgress { remaining },
            "{claimant} {number}"
        );
    }
}

#[test]
fn an_overdue_claim_never_becomes_available() {
    let row = record("node-1/1", 1, ClaimState::Running);
    let later = row.due_at.after(Duration::from_millis(1));
    for now in [row.due_at, later, row.delete_at, Timestamp(u64::MAX)] {
        assert_eq!(row.decide(&candidate(), now), ClaimDecision::OutcomeUnknown);
    }
}

#[test]
fn released_claims_are_available_and_answered_claims_replay() {
    let released = record("node-1/1", 1, ClaimState::Released);
    assert_eq!(released.decide(&candidate(), NOW), ClaimDecision::Available);
    let stored = StoredAnswer::of(&answer());
    let answered = record("node-1/1", 1, ClaimState::Answered(stored.clone()));
    assert_eq!(
        answered.decide(&candidate(), NOW),
        ClaimDecision::Answered(stored)
    );
}

#[test]
fn another_request_is_a_mismatch_in_every_state() {
    let mut others = [candidate(), candidate(), candidate()];
    others[0].request.digest = 1;
    others[1].request.host = "other.example".to_owned();
    others[2].request.tenant = Some(TenantName::from("a"));
    for state in all_states() {
        for other in &others {
            let row = record("node-1/1", 1, state.clone());
            assert_eq!(row.decide(other, NOW), ClaimDecision::RequestMismatch);
        }
    }
}

#[test]
fn records_survive_encoding_and_decoding() {
    for state in all_states() {
        let row = record("node-1/1", 1, state);
        assert_eq!(ClaimRecord::decode(&row.encode()), Some(row));
    }
    assert_eq!(ClaimRecord::decode(b"no row"), None);
}

#[test]
fn a_stored_answer_omits_hop_by_hop_headers() {
    let restored = StoredAnswer::of(&answer()).restore().expect("an answer");
    let mut expected = answer();
    expected.headers.remove("connection");
    assert_eq!(restored.status, expected.status);
    assert_eq!(restored.headers, expected.headers);
    assert_eq!(restored.body, expected.body);
}
