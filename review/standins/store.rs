//! A stand-in of the platform's metadata store: rows, conditional transactions and the feed.

use crate::http::{self, Answering, Request};
use crate::json::{Json, base64, quoted};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TX_TIME: Duration = Duration::from_millis(3);
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;
const ROW_BYTES: usize = 65_536;

/// Table, part and key.
type Address = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct Rows {
    newest: u64,
    rows: BTreeMap<Address, Row>,
    /// The last change of each row, by version: a drop keeps its address.
    changes: BTreeMap<u64, Vec<(Address, bool)>>,
}

pub struct Store {
    started_at: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            started_at: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        let address = http::serve(Arc::new(move |request, answering| {
            serving.answer(request, answering)
        }));
        (store, address)
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let address = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("sound");
        rows.apply(vec![(address, Some(base64(value.as_bytes())))]);
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        50_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request, answering: &mut Answering<'_>) -> io::Result<()> {
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => self.change(&request.body),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => (404, String::new()),
        };
        let json = ("Content-Type", "application/json".to_owned());
        answering.whole(status, &[json], body.as_bytes())
    }

    fn change(&self, body: &[u8]) -> (u16, String) {
        thread::sleep(TX_TIME);
        let Some(body) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, String::new());
        };
        let (expected, put, remove) = (
            body.get("expected_rev").list(),
            body.get("put").list(),
            body.get("remove").list(),
        );
        let is_too_large = put
            .iter()
            .any(|entry| entry.get("value").text().len() > ROW_BYTES);
        if expected.len() + put.len() + remove.len() > MAX_ENTRIES || is_too_large {
            return (400, String::new());
        }
        if put
            .iter()
            .chain(remove)
            .any(|entry| entry.get("table").text() == "servers")
        {
            return (403, String::new());
        }
        let mut rows = self.rows.lock().expect("sound");
        let holds = |entry: &Json| {
            let found = rows.rows.get(&address_of(entry));
            found.map_or(0, |row| row.version) == entry.get("ver").number() as u64
        };
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|entry| {
                let address = address_of(entry);
                let row = rows.rows.get(&address)?;
                Some(row_json(&address, Some(row), row.version))
            });
            let current: Vec<String> = current.collect();
            return (412, self.rows_answer(&current, false, rows.newest));
        }
        let puts = put.iter().map(|entry| {
            let value = entry.get("value").text().to_owned();
            (address_of(entry), Some(value))
        });
        let removes = remove.iter().map(|entry| (address_of(entry), None));
        let version = rows.apply(puts.chain(removes).collect());
        self.changed.notify_all();
        (200, self.rows_answer(&[], false, version))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        thread::sleep(TX_TIME);
        let text = |name: &str| request.parameter(name).unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let until = request.parameter("until");
        let rows = self.rows.lock().expect("sound");
        let from = (table.clone(), part.clone(), text("from"));
        let range = rows.rows.range((Bound::Included(from), Bound::Unbounded));
        let mut found = range.take_while(|((of_table, of_part, key), _)| {
            let is_before = until.as_ref().is_none_or(|until| key < until);
            *of_table == table && *of_part == part && is_before
        });
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (address, row) in &mut found {
            bytes += row.value.len();
            if page.len() >= limit || (bytes > 1_000_000 && !page.is_empty()) {
                more = true;
                break;
            }
            page.push(row_json(address, Some(row), row.version));
        }
        (200, self.rows_answer(&page, more, rows.newest))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return (400, String::new());
        };
        let table = request.parameter("table").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().expect("sound");
        loop {
            let changed = rows.changed_since(&table, after);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return (200, self.rows_answer(&changed, false, rows.newest));
            }
            rows = self.changed.wait_timeout(rows, left).expect("sound").0;
        }
    }

    fn rows_answer(&self, rows: &[String], more: bool, version: u64) -> String {
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"more\":{more},\"ver\":{version},\"now_ms\":{now_ms}}}")
    }
}

impl Rows {
    fn apply(&mut self, changes: Vec<(Address, Option<String>)>) -> u64 {
        self.newest += 1;
        let version = self.newest;
        let mut changed = Vec::new();
        for (address, value) in changes {
            let is_gone = value.is_none();
            match value {
                Some(value) => drop(self.rows.insert(address.clone(), Row { value, version })),
                None => drop(self.rows.remove(&address)),
            }
            changed.push((address, is_gone));
        }
        self.changes.insert(version, changed);
        version
    }

    /// The rows of a table that changed after a version, each once, by their last change.
    fn changed_since(&self, table: &str, after: u64) -> Vec<String> {
        let mut last: BTreeMap<&Address, (u64, bool)> = BTreeMap::new();
        for (version, changes) in self
            .changes
            .range((Bound::Excluded(after), Bound::Unbounded))
        {
            for (address, is_gone) in changes.iter().filter(|(address, _)| address.0 == table) {
                last.insert(address, (*version, *is_gone));
            }
        }
        let mut by_version: Vec<(u64, &Address, bool)> = last
            .into_iter()
            .map(|(address, (version, is_gone))| (version, address, is_gone))
            .collect();
        by_version.sort();
        let rows = by_version.into_iter().map(|(version, address, is_gone)| {
            let row = self.rows.get(address).filter(|_| !is_gone);
            row_json(address, row, version)
        });
        rows.collect()
    }
}

fn address_of(entry: &Json) -> Address {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &Address, row: Option<&Row>, version: u64) -> String {
    let value = match row {
        Some(row) => format!("\"value\":{}", quoted(&row.value)),
        None => "\"gone\":true".to_owned(),
    };
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{value}}}")
}
