use super::{TableAnswer, TableCall, decode, encode};
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
