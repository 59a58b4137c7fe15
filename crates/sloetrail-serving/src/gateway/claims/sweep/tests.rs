use super::deletion;
use crate::rows;
use crate::table::Row;
use bytes::Bytes;
use sloetrail_types::{RowVersion, Timestamp};

#[test]
fn claims_are_deleted_only_if_expiry_is_unchanged() {
    let claim = rows::claim(0xabc);
    let time = Row {
        address: rows::claim_expiry(&claim, Timestamp(1_000)),
        value: Bytes::new(),
        version: RowVersion(7),
    };
    let transaction = deletion(std::slice::from_ref(&time));
    assert_eq!(transaction.deletes, [time.address.clone(), claim]);
    let [condition] = transaction.conditions.as_slice() else {
        panic!("one condition");
    };
    assert_eq!(condition.address, time.address);
    assert_eq!(condition.version, Some(RowVersion(7)));
}

#[test]
fn expiry_rows_sort_by_time() {
    let claim = rows::claim(0xabc);
    let partition = 0xabc_u128 % u128::from(rows::CLAIM_PARTITIONS);
    let range = rows::expired_claims_until(partition as u8, 1_000);
    let end = range.to.expect("an end");
    assert_eq!(claim.partition, range.partition);
    assert!(rows::claim_expiry(&claim, Timestamp(999)).key < end);
    assert!(rows::claim_expiry(&claim, Timestamp(1_000)).key >= end);
    assert!(rows::claim_expiry(&claim, Timestamp(10_000)).key >= end);
}
