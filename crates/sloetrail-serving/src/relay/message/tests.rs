use super::{Reach, TableAnswer, TableCall, decode, encode};
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
fn a_transaction_without_an_answer_may_have_been_done() {
    let answer = commit().without_answer();
    assert!(matches!(
        answer,
        TableAnswer::Commit(Err(CommitError::Unknown))
    ));
    assert!(answer.may_have_been_done());
    assert!(!answer.is_of_table());
}

#[test]
fn a_call_that_was_not_made_has_done_nothing() {
    assert!(!commit().not_made().may_have_been_done());
    let scan = TableCall::Scan(KeyRange::all("t", "p"));
    for answer in [scan.not_made(), scan.without_answer()] {
        assert!(matches!(
            answer,
            TableAnswer::Scan(Err(ReadError::Unavailable))
        ));
    }
}

#[test]
fn the_tables_own_answers_are_told_apart_from_silence() {
    assert!(TableAnswer::Commit(Ok(Commit::Done(RowVersion(3)))).is_of_table());
    assert!(TableAnswer::Commit(Ok(Commit::Conflict(Vec::new()))).is_of_table());
    assert!(TableAnswer::Changes(Err(ReadError::HistoryLost)).is_of_table());
    assert!(!TableAnswer::Commit(Err(CommitError::NotDone)).is_of_table());
}

#[test]
fn messages_come_back_as_they_were() {
    let call: TableCall = decode(&encode(&commit())).expect("readable");
    assert_eq!(format!("{call:?}"), format!("{:?}", commit()));
}

proptest! {
    #[test]
    fn bytes_that_are_no_message_are_refused_without_harm(bytes: Vec<u8>) {
        let _ = decode::<TableCall>(&bytes);
        let _ = decode::<TableAnswer>(&bytes);
    }
}

#[test]
fn what_callers_sent_and_leases_stay_in_the_own_region_and_all_else_does_not() {
    let put = |table| {
        let address = RowAddress::new(table, "p", "k");
        TableCall::Commit(Transaction::new().put(address, "v"))
    };
    let fenced = Transaction::new().require(rows::fence("s"), None);
    assert_eq!(TableCall::Commit(fenced).reach(), Reach::OwnRegion);
    for table in [
        rows::SUBMISSIONS,
        rows::CHECKPOINTS,
        rows::RESULTS,
        rows::CLAIMS,
    ] {
        assert_eq!(put(table).reach(), Reach::OwnRegion);
        let scan = TableCall::Scan(KeyRange::all(table, "p"));
        assert_eq!(scan.reach(), Reach::OwnRegion);
        let changes = TableCall::Changes {
            table: table.to_owned(),
            since: RowVersion(1),
            wait_ms: 0,
        };
        assert_eq!(changes.reach(), Reach::OwnRegion);
    }
    for table in [
        rows::ENDS,
        rows::NODES,
        rows::USAGE_PIECES,
        rows::CLAIM_TIMES,
    ] {
        assert_eq!(put(table).reach(), Reach::Anywhere);
    }
    let leases = TableCall::Scan(KeyRange::all(rows::LEASES, rows::OWNERS));
    assert_eq!(leases.reach(), Reach::Anywhere, "every node follows them");
}
