use super::{Registration, require_registration};
use crate::leases::BatchSet;
use crate::rows;
use crate::table::{Condition, Row, Transaction};
use bytes::Bytes;
use sloetrail_types::{AllowedRegions, RowVersion, ServiceName};

fn set() -> BatchSet {
    BatchSet::new(ServiceName::from("models"), AllowedRegions::everywhere())
}

fn row(value: &'static str, version: u64) -> Row {
    Row {
        address: rows::batch_set("models"),
        value: Bytes::from(value),
        version: RowVersion(version),
    }
}

/// Returns the required version and the written value of the registration.
fn requirement(known: Option<Registration>) -> (Option<RowVersion>, Option<Bytes>) {
    let transaction = require_registration(Transaction::new(), &set(), known);
    let address = rows::batch_set("models");
    let [Condition { version, .. }] = transaction.conditions[..] else {
        panic!("one condition");
    };
    let written = transaction.puts.into_iter();
    let written = written.filter(|(written, _)| *written == address);
    (version, written.map(|(_, value)| value).next())
}

#[test]
fn acceptance_depends_on_the_registration_and_writes_it_unless_it_is_open() {
    let open = Some(Bytes::from("open"));
    assert_eq!(requirement(None), (None, open.clone()));
    let known = |value| Registration::among(&[row(value, 7)], &set());
    assert_eq!(requirement(known("open")), (Some(RowVersion(7)), None));
    for value in ["closing", "", "of another build"] {
        assert_eq!(
            requirement(known(value)),
            (Some(RowVersion(7)), open.clone())
        );
    }
}

#[test]
fn registration_is_read_from_rows_of_its_set_only() {
    let other = Row {
        address: rows::batch_set("models@north"),
        ..row("open", 7)
    };
    assert_eq!(Registration::among(&[other], &set()), None);
}
