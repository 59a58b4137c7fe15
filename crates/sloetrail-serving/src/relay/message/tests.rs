use super::{RelayScope, TableAnswer, TableCall, decode, encode};
use crate::rows;
use crate::table::{Commit, CommitError, KeyRange, ReadError, RowAddress, Transaction};
use bytes::Bytes;
use proptest::prelude::*;
use sloetrail_types::RowVersion;

fn commit() -> TableCall {
    let address = RowAddress::new("t", "p", "k");
    TableCall::Commit(Transaction::new().put(address, Bytes::from_static(b"\x00\xff")))
}

#[test]
fn transaction_without_an_answer_may_have_been_done() {
    let answer = commit().lost_answer();
    assert!(matches!(
        answer,
        TableAnswer::Commit(Err(CommitError::Unknown))
    ));
    assert!(answer.may_have_been_done());
    assert!(!answer.is_from_table());
}

#[test]
fn unsent_call_has_no_effect() {
    assert!(!commit().not_sent().may_have_been_done());
    let scan = TableCall::Scan(KeyRange::all("t", "p"));
    for answer in [scan.not_sent(), scan.lost_answer()] {
        assert!(matches!(
            answer,
            TableAnswer::Scan(Err(ReadError::Unavailable))
        ));
    }
}

#[test]
fn table_answers_are_distinguished_from_unavailability() {
    assert!(TableAnswer::Commit(Ok(Commit::Done(RowVersion(3)))).is_from_table());
    assert!(TableAnswer::Commit(Ok(Commit::Conflict(Vec::new()))).is_from_table());
    assert!(TableAnswer::Changes(Err(ReadError::HistoryLost)).is_from_table());
    assert!(!TableAnswer::Commit(Err(CommitError::NotDone)).is_from_table());
}

#[test]
fn messages_round_trip() {
    let call: TableCall = decode(&encode(&commit())).expect("readable");
    assert_eq!(format!("{call:?}"), format!("{:?}", commit()));
}

proptest! {
    #[test]
    fn malformed_messages_do_not_panic(bytes: Vec<u8>) {
        let _ = decode::<TableCall>(&bytes);
        let _ = decode::<TableAnswer>(&bytes);
    }
}

#[test]
fn only_content_and_lease_writes_stay_in_the_region() {
    let put = |table| {
        let address = RowAddress::new(table, "p", "k");
        TableCall::Commit(Transaction::new().put(address, "v"))
    };
    let fenced = Transaction::new().require(rows::fence("s"), None);
    assert_eq!(
        TableCall::Commit(fenced).relay_scope(),
        RelayScope::OwnRegion
    );
    for table in [
        rows::SUBMISSIONS,
        rows::CHECKPOINTS,
        rows::RESULTS,
        rows::CLAIMS,
    ] {
        assert_eq!(put(table).relay_scope(), RelayScope::OwnRegion);
        let scan = TableCall::Scan(KeyRange::all(table, "p"));
        assert_eq!(scan.relay_scope(), RelayScope::OwnRegion);
        let changes = TableCall::Changes {
            table: table.to_owned(),
            since: RowVersion(1),
            wait_ms: 0,
        };
        assert_eq!(changes.relay_scope(), RelayScope::OwnRegion);
    }
    for table in [
        rows::ENDS,
        rows::NODES,
        rows::USAGE_PIECES,
        rows::CLAIM_TIMES,
    ] {
        assert_eq!(put(table).relay_scope(), RelayScope::Anywhere);
    }
    let leases = TableCall::Scan(KeyRange::all(rows::LEASES, rows::OWNERS));
    assert_eq!(
        leases.relay_scope(),
        RelayScope::Anywhere,
        "every node follows the lease rows"
    );
}
