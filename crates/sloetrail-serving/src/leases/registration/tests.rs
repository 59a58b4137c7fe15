use super::{Deregistration, Registration, deregister, require_registration};
use crate::batch_rows::encode_header;
use crate::leases::BatchSet;
use crate::rows;
use crate::table::{
    Changes, Commit, CommitError, Condition, KeyRange, Page, ReadError, Row, RowAddress, Table,
    TableLimits, Transaction,
};
use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use sloetrail_batch::BatchHeader;
use sloetrail_types::{
    AllowedRegions, RowVersion, ServiceName, TimeSpan, Timestamp, WeightVersion,
};
use std::collections::BTreeMap;
use std::time::Duration;

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

/// A table at which a node accepts a batch between the calls of a deregistration.
#[derive(Default)]
struct SharedTable {
    state: Mutex<State>,
    /// The number of calls before the node reads the registration, and before it commits.
    read_after: usize,
    commit_after: usize,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowAddress, Row>,
    version: u64,
    calls: usize,
    /// What the node knows of the registration.
    known: Option<Registration>,
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> Commit {
        let current = transaction.conditions.iter();
        let current = current.filter_map(|condition| self.rows.get(&condition.address).cloned());
        let current: Vec<Row> = current.collect();
        let holds = transaction.conditions.iter().all(|condition| {
            let row = self.rows.get(&condition.address);
            row.map(|row| row.version) == condition.version
        });
        if !holds {
            return Commit::Conflict(current);
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for (address, value) in transaction.puts.clone() {
            let row = Row {
                address: address.clone(),
                value,
                version,
            };
            self.rows.insert(address, row);
        }
        for address in &transaction.deletes {
            self.rows.remove(address);
        }
        Commit::Done(version)
    }

    fn registration(&self) -> Option<&Row> {
        self.rows.get(&rows::batch_set(set().name()))
    }

    /// Accepts the batch as a node does that last read the registration as `known`.
    fn accept(&mut self) {
        let head = rows::batch("b1");
        let header = Transaction::new().require(head.clone(), None);
        let header = header.put(head, encode_header(&header_of_set()));
        while let Commit::Conflict(current) =
            self.apply(&require_registration(header.clone(), &set(), self.known))
        {
            self.known = Registration::among(&current, &set());
        }
    }
}

impl SharedTable {
    fn begin_call(&self) {
        let mut state = self.state.lock();
        if state.calls == self.read_after {
            state.known = state.registration().map(Registration::from_row);
        }
        if state.calls == self.commit_after {
            state.accept();
        }
        state.calls += 1;
    }
}

#[async_trait]
impl Table for SharedTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 1_000,
            transaction_entries: 100,
            transaction_bytes: 10_000,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        None
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        self.begin_call();
        Ok(self.state.lock().apply(transaction))
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        self.begin_call();
        let state = self.state.lock();
        let rows = state.rows.values().filter(|row| {
            let RowAddress { table, key, .. } = &row.address;
            let is_before_end = range.to.as_ref().is_none_or(|to| key < to);
            *table == range.table && *key >= range.from && is_before_end
        });
        Ok(Page {
            rows: rows.cloned().collect(),
            more: false,
            version: RowVersion(state.version),
        })
    }

    async fn changes(&self, _: &str, _: RowVersion, _: Duration) -> Result<Changes, ReadError> {
        Err(ReadError::Unavailable)
    }
}

fn header_of_set() -> BatchHeader {
    BatchHeader {
        service: set().service().clone(),
        host: "a.example".to_owned(),
        total: 1,
        body_rows: 0,
        accepted_at: Timestamp(1_000),
        max_attempts: 1,
        retention: TimeSpan::default(),
        single_version: false,
        run_target: TimeSpan::default(),
        priority: 5,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    }
}

/// Guards against a batch that is accepted while its set is retired, and is then found by no node.
#[tokio::test]
async fn batch_accepted_at_any_moment_of_a_deregistration_leaves_its_set_registered() {
    /// Read, mark, read of the headers, deletion.
    const CALLS: usize = 4;
    for commit_after in 0..=CALLS {
        for read_after in 0..=commit_after {
            for is_registered in [true, false] {
                let table = SharedTable {
                    read_after,
                    commit_after,
                    ..SharedTable::default()
                };
                if is_registered {
                    let row = Transaction::new().put(rows::batch_set("models"), "open");
                    table.state.lock().apply(&row);
                }
                let outcome = deregister(&table, &set()).await;
                while table.state.lock().calls <= CALLS {
                    table.begin_call();
                }
                let case = format!("read {read_after}, commit {commit_after}, {is_registered}");
                let state = table.state.lock();
                assert!(state.rows.contains_key(&rows::batch("b1")), "{case}");
                assert!(state.registration().is_some(), "{case}: {outcome:?}");
            }
        }
    }
}

#[tokio::test]
async fn set_without_batches_is_deregistered() {
    let table = SharedTable {
        read_after: usize::MAX,
        commit_after: usize::MAX,
        ..SharedTable::default()
    };
    let row = Transaction::new().put(rows::batch_set("models"), "open");
    table.state.lock().apply(&row);
    assert_eq!(deregister(&table, &set()).await, Deregistration::Done);
    assert_eq!(table.state.lock().registration(), None);
}
