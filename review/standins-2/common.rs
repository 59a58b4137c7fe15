//! What the scripts of the second review share: a small HTTP layer, the platform's store, and the
//! product's processes. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- record

/// The record of a run: one line for each thing that was sent, answered or run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("the record can be created");
        Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| percent_decode(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 3;
            }
            b'+' => {
                decoded.push(b' ');
                at += 1;
            }
            byte => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with a buffer of what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the peer closed")
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0_u8; 65536];
        let length = self.stream.read(&mut piece)?;
        if length == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..]
                .iter()
                .position(|byte| *byte == b'\n');
            if let Some(end) = end {
                let line: Vec<u8> = self.buffer.drain(..searched + end + 1).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            searched = self.buffer.len();
            self.fill()?;
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the head of a request or an answer.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.read_line()?,
            ..Message::default()
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }

    /// Reads the next chunk of a chunked body; None at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.read_line()?;
        let size = size.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| ended())?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a whole request, or a whole answer that has a length or comes in chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| ended())?;
            message.body = self.read_exact(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    pub fn send(&mut self, first: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "{first} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Serves connections on a free loopback port, a thread each.
pub fn serve(handler: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(Wire::new(stream)));
        }
    });
    address
}

/// A loopback port that was free a moment ago, below the range of outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let seed = u64::from(std::process::id()) * 61;
    loop {
        let number = seed + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 18_000 + (number % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => {
                let found = fields.iter().find(|(known, _)| known == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip();
        self.bytes.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_there = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_there.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            self.at += 4;
                            let mut room = [0; 4];
                            let sign = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(sign.encode_utf8(&mut room).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            match self.peek()? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(list));
                }
                b',' => self.at += 1,
                _ => list.push(self.value()?),
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            match self.peek()? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Map(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for group in bytes.chunks(3) {
        let joined = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(char::from(
                    BASE64[(joined >> (18 - 6 * place)) as usize & 63],
                )),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() / 4 * 3);
    let (mut joined, mut bits) = (0_u32, 0);
    for sign in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == sign) else {
            continue;
        };
        joined = (joined << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((joined >> bits) as u8);
            joined &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Debug)]
struct Row {
    /// The value in base64; None if the row was dropped.
    value: Option<String>,
    version: u64,
}

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

/// The platform's store, as `PROTOCOL.md` describes it: rows, transactions and feeds.
pub struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
    /// While true, calls are taken and never answered (`platform_down`, `silent`).
    silent: AtomicBool,
    pub calls: AtomicU64,
    pub address: Mutex<Option<SocketAddr>>,
}

const TX_TIME: Duration = Duration::from_millis(3);

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            address: Mutex::new(None),
        });
        let served = Arc::clone(&store);
        let address = serve(move |wire| served.serve_connection(wire));
        *store.address.lock().unwrap() = Some(address);
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address.lock().unwrap().expect("started")
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 1_000
    }

    /// A write of the operator or of a sampler.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row {
            value: Some(base64(value.as_bytes())),
            version: state.version,
        };
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(key, row);
        self.changed.notify_all();
    }

    /// Drops a row that a sampler wrote.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let row = Row {
            value: None,
            version,
        };
        state.rows.insert(key, row);
        self.changed.notify_all();
    }

    /// The text of a row, in any part.
    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let mut rows = state.rows.iter();
        let found = rows.find(|((in_table, _, has_key), _)| in_table == table && has_key == key);
        let value = found?.1.value.as_ref()?;
        Some(String::from_utf8_lossy(&from_base64(value)).into_owned())
    }

    /// A connection on which an answer was lost says nothing more.
    fn serve_connection(&self, mut wire: Wire) {
        loop {
            let Ok(request) = wire.read_message() else {
                return;
            };
            self.calls.fetch_add(1, Ordering::Relaxed);
            if self.silent.load(Ordering::SeqCst) {
                self.hold(wire);
                return;
            }
            let answer = match request.path() {
                "/api/rows-tx" => self.transact(&request),
                "/api/rows-get" => self.get(&request),
                "/api/rows-feed" => self.feed(&request),
                _ => ("404 Not Found", String::new()),
            };
            if self.silent.load(Ordering::SeqCst) {
                self.hold(wire);
                return;
            }
            let json = "Content-Type: application/json\r\n";
            if wire.answer(answer.0, json, answer.1.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Keeps a connection open without an answer until the peer closes it.
    fn hold(&self, mut wire: Wire) {
        while wire.fill().is_ok() {
            wire.buffer.clear();
        }
    }

    fn transact(&self, request: &Message) -> (&'static str, String) {
        thread::sleep(TX_TIME);
        let Some(call) = Json::parse(&request.body) else {
            return ("400 Bad Request", String::new());
        };
        let key = |entry: &Json| -> Key {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.lock().unwrap();
        let conditions = call.get("expected_rev").list();
        let version_of = |state: &Rows, key: &Key| {
            let row = state.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let holds = conditions
            .iter()
            .all(|entry| version_of(&state, &key(entry)) == entry.get("ver").number() as u64);
        if !holds {
            let keys: Vec<Key> = conditions.iter().map(key).collect();
            let found = keys.iter().filter_map(|key| {
                let row = state.rows.get(key).filter(|row| row.value.is_some())?;
                Some((key, row))
            });
            let rows = write_rows(found);
            return ("412 Precondition Failed", self.answer(&state, &rows, false));
        }
        state.version += 1;
        let version = state.version;
        for entry in call.get("put").list() {
            let row = Row {
                value: Some(entry.get("value").text().to_owned()),
                version,
            };
            state.rows.insert(key(entry), row);
        }
        for entry in call.get("remove").list() {
            let row = Row {
                value: None,
                version,
            };
            state.rows.insert(key(entry), row);
        }
        self.changed.notify_all();
        ("200 OK", self.answer(&state, "", false))
    }

    fn get(&self, request: &Message) -> (&'static str, String) {
        let query = |name: &str| request.query(name).unwrap_or_default();
        let (table, part, from) = (query("table"), query("part"), query("from"));
        let until = request.query("until");
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let in_range = state
            .rows
            .range(start..)
            .take_while(|((in_table, in_part, key), _)| {
                let is_before = until.as_ref().is_none_or(|until| key < until);
                *in_table == table && *in_part == part && is_before
            });
        let present: Vec<(&Key, &Row)> = in_range.filter(|(_, row)| row.value.is_some()).collect();
        let mut bytes = 0;
        let mut count = 0;
        for (_, row) in present.iter().take(limit) {
            bytes += row.value.as_ref().map_or(0, String::len);
            if count > 0 && bytes > 1_000_000 {
                break;
            }
            count += 1;
        }
        let more = count < present.len();
        let rows = write_rows(present.into_iter().take(count));
        ("200 OK", self.answer(&state, &rows, more))
    }

    fn feed(&self, request: &Message) -> (&'static str, String) {
        let number = |name: &str| {
            let text = request.query(name).unwrap_or_default();
            text.parse::<u64>().unwrap_or(0)
        };
        let table = request.query("table").unwrap_or_default();
        let (after, wait) = (number("after"), number("wait_ms").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let start = (table.clone(), String::new(), String::new());
            let of_table = state
                .rows
                .range(start..)
                .take_while(|((name, _, _), _)| *name == table);
            let mut changed: Vec<(&Key, &Row)> =
                of_table.filter(|(_, row)| row.version > after).collect();
            changed.sort_by_key(|(_, row)| row.version);
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                let rows = write_rows(changed.into_iter());
                return ("200 OK", self.answer(&state, &rows, false));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn answer(&self, state: &Rows, rows: &str, more: bool) -> String {
        format!(
            "{{\"rows\":[{rows}],\"more\":{more},\"ver\":{},\"now_ms\":{}}}",
            state.version,
            self.now_ms()
        )
    }
}

fn write_rows<'a>(rows: impl Iterator<Item = (&'a Key, &'a Row)>) -> String {
    let mut text = String::new();
    for ((table, part, key), row) in rows {
        if !text.is_empty() {
            text.push(',');
        }
        let _ = write!(
            text,
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{},",
            row.version
        );
        match &row.value {
            Some(value) => {
                let _ = write!(text, "\"value\":\"{value}\"}}");
            }
            None => text.push_str("\"gone\":true}"),
        }
    }
    text
}

// ---------------------------------------------------------------- the product's processes

/// A serving node: the program of the deploy file with the settings of a small deployment.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub process: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Node {
    pub fn start(folder: &std::path::Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (callers, ready) = (free_port(), free_port());
        let (peer, metrics) = (free_port(), free_port());
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"node":"{name}","zone":"{zone}","regions":{{"ikeja-hall":"lagos","yaba-hall":"lagos","lekki-hall":"lagos"}},"callers_address":"127.0.0.1:{callers}","ready_address":"127.0.0.1:{ready}","peer_address":"127.0.0.1:{peer}","metrics_address":"127.0.0.1:{metrics}","order_gap_ms":3000,"grace_s":8,"processor_share":0.5,"batch_status_s":120,"max_view_age_ms":2000,"platform":{{"address":"{store}","form":"table","writes_per_s":800,"reads_per_s":2000,"tx_ms":3.0,"part_writes_per_s":300,"row_bytes":65536,"across":true,"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_per_s":80.0}}}}"#
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let node = Self {
            name: name.to_owned(),
            callers: loopback(callers),
            ready: loopback(ready),
            process: Mutex::new(None),
            log: folder.join(format!("{name}.log")),
            settings,
        };
        node.spawn();
        node
    }

    pub fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("a second handle");
        let process = Command::new("target/release/sloetrail-adapter")
            .env("SLOETRAIL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match process {
            Ok(process) => {
                note_process(process.id());
                *self.process.lock().unwrap() = Some(process);
            }
            Err(error) => eprintln!("cannot start the serving node: {error}"),
        }
    }

    pub fn pid(&self) -> u32 {
        let process = self.process.lock().unwrap();
        process.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill {name} {}", self.pid());
        let sent = Command::new("sh").args(["-c", command.as_str()]).status();
        if !sent.is_ok_and(|status| status.success()) {
            eprintln!("cannot signal {}", self.name);
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::connect(self.ready)?;
            wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            wire.send("GET /v1/ready", "Host: platform\r\n", b"")?;
            Ok(wire.read_message()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the node is ready. False if it does not become so.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until || self.has_ended() {
                eprintln!("{} does not become ready", self.name);
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Returns true once the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        match process.as_mut() {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// The memory of the process now and at most, in MB.
    pub fn memory_mb(&self) -> (u64, u64) {
        let path = format!("/proc/{}/status", self.pid());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            let value = line.and_then(|line| line.split_whitespace().nth(1));
            value
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
                / 1024
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

/// Notes a process for the script, which ends those that are left over.
fn note_process(pid: u32) {
    let Ok(path) = std::env::var("PROCESSES") else {
        return;
    };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// Ends the processes of a test when the test ends, however it does.
pub struct Nodes(pub Vec<Arc<Node>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &self.0 {
            node.kill();
        }
    }
}

pub fn temporary_folder(name: &str) -> PathBuf {
    let parent = std::env::var("FOLDER").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let folder = parent.join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// False with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
