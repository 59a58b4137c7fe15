//! A stand-in of a sampler. It keeps its entry in the store, takes orders, answers calls, and
//! sends the text of an item or a stream as events.

use crate::http::{self, Answering, Request};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD_TIME: Duration = Duration::from_millis(900);

#[derive(Clone)]
pub struct Plan {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// The model that it has loaded, if it is a model sampler.
    pub model: Option<&'static str>,
    pub events: u64,
    pub event_gap: Duration,
}

/// One wrong byte in the line `id: N` of the event with this number.
#[derive(Clone, Copy, Debug)]
pub enum Spoilt {
    /// In the number: another event's number is shown. The event leaves in one write with the
    /// event before it.
    Number(u64),
    /// In the name of the field: the event has no id.
    FieldName(u64),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// None while it runs.
    pub ended_ms: Option<u64>,
    pub is_whole: bool,
}

/// The runs at all samplers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Sampler {
    pub id: String,
    plan: Plan,
    version: AtomicU64,
    orders: AtomicU64,
    is_loading: Mutex<bool>,
    running: AtomicUsize,
    runs: Runs,
    record: Arc<Record>,
    /// What it spoils in runs from the start of a stream.
    spoils: Mutex<Option<Spoilt>>,
}

impl Sampler {
    pub fn start(
        plan: Plan,
        id: &str,
        store: &Arc<Store>,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let sampler = Arc::new(Self {
            id: id.to_owned(),
            plan,
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            is_loading: Mutex::new(false),
            running: AtomicUsize::new(0),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            spoils: Mutex::new(None),
        });
        let serving = Arc::clone(&sampler);
        let address = http::serve(Arc::new(move |request, answering| {
            serving.answer(request, answering)
        }));
        let (beating, store) = (Arc::clone(&sampler), Arc::clone(store));
        thread::spawn(move || {
            for seq in 1u64.. {
                store.put("servers", &beating.id, &beating.entry(address, seq));
                thread::sleep(HEARTBEAT);
            }
        });
        sampler
    }

    /// Spoils one event in runs from the start of a stream.
    pub fn spoil(&self, spoilt: Spoilt) {
        *self.spoils.lock().expect("sound") = Some(spoilt);
    }

    fn models(&self) -> String {
        let version = self.version.load(Ordering::SeqCst);
        let model = self.plan.model.map(|name| {
            format!(
                "{{\"name\":{},\"version\":{version},\"adapters\":[]}}",
                quoted(name)
            )
        });
        format!("[{}]", model.unwrap_or_default())
    }

    fn entry(&self, address: SocketAddr, seq: u64) -> String {
        let Plan {
            service,
            zone,
            slots,
            ..
        } = &self.plan;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\
             \"stage\":\"both\",\"models\":{},\"seq\":{seq}}}",
            self.models()
        )
    }

    fn answer(
        self: &Arc<Self>,
        request: &Request,
        answering: &mut Answering<'_>,
    ) -> io::Result<()> {
        let instance = ("X-Instance-Id", self.id.clone());
        let expected = request.header("X-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return answering.whole(421, &[instance], b"");
        }
        match request.path.as_str() {
            "/healthz" => answering.whole(200, &[instance], b""),
            "/api/report" => answering.whole(200, &[], self.report().as_bytes()),
            "/api/order" => self.order(request, answering),
            _ => self.run(request, answering),
        }
    }

    fn report(&self) -> String {
        let (busy, seq) = (
            *self.is_loading.lock().expect("sound"),
            self.orders.load(Ordering::SeqCst),
        );
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{busy},\"seq\":{seq},\"waiting\":0,\
             \"running\":{running},\"kv_used\":0,\"kv_total\":100000,\"handles\":0}}",
            self.models()
        )
    }

    fn order(self: &Arc<Self>, request: &Request, answering: &mut Answering<'_>) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&body).unwrap_or(Json::Null);
        let version = order.get("version").number() as u64;
        self.record
            .note(&format!("{} gets the order {body}", self.id));
        if self.version.load(Ordering::SeqCst) == version {
            return answering.whole(200, &[], b"");
        }
        let mut is_loading = self.is_loading.lock().expect("sound");
        let expected = order.get("expected_rev").number() as u64;
        if *is_loading || expected != self.orders.load(Ordering::SeqCst) {
            return answering.whole(409, &[], b"");
        }
        *is_loading = true;
        self.orders.fetch_add(1, Ordering::SeqCst);
        let loading = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            loading.version.store(version, Ordering::SeqCst);
            *loading.is_loading.lock().expect("sound") = false;
        });
        answering.whole(202, &[], b"")
    }

    fn run(&self, request: &Request, answering: &mut Answering<'_>) -> io::Result<()> {
        let id = request
            .header("X-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.plan.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let echo = ("X-Attempt-Id", id);
            return answering.whole(503, &[echo, ("X-Not-Run", "1".to_owned())], b"");
        }
        let place = self.begin(&id, request);
        let ended = match self.plan.events {
            0 => self.send_answer(&id, answering),
            _ => self.send_events(&id, request, answering),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.end(place, &id, ended.is_ok());
        ended
    }

    fn begin(&self, id: &str, request: &Request) -> usize {
        let last = request.header("Last-Event-Id").unwrap_or("-");
        let from = format!("{} {}", request.method, request.path);
        self.record.note(&format!(
            "{} runs {id}: {from}, Last-Event-Id {last}",
            self.id
        ));
        let mut runs = self.runs.lock().expect("sound");
        runs.push(Run {
            id: id.to_owned(),
            ended_ms: None,
            is_whole: false,
        });
        runs.len() - 1
    }

    fn end(&self, place: usize, id: &str, is_whole: bool) {
        let how = if is_whole { "whole" } else { "cut" };
        self.record.note(&format!("{} ends {id}: {how}", self.id));
        let run = &mut self.runs.lock().expect("sound")[place];
        run.ended_ms = Some(self.record.now_ms());
        run.is_whole = is_whole;
    }

    fn head(&self, id: &str) -> Vec<(&'static str, String)> {
        let mut head = vec![
            ("X-Attempt-Id", id.to_owned()),
            ("X-Sampler-Stamp", format!("{}.{id}", self.id)),
        ];
        if self.plan.model.is_some() {
            let version = self.version.load(Ordering::SeqCst);
            head.push(("X-Weight-Versions", version.to_string()));
        }
        head
    }

    fn send_answer(&self, id: &str, answering: &mut Answering<'_>) -> io::Result<()> {
        thread::sleep(self.plan.event_gap);
        answering.whole(200, &self.head(id), b"done")
    }

    /// Sends the events after `Last-Event-Id`.
    fn send_events(
        &self,
        id: &str,
        request: &Request,
        answering: &mut Answering<'_>,
    ) -> io::Result<()> {
        let last: Option<u64> = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok());
        let spoils = *self.spoils.lock().expect("sound");
        let spoils = spoils.filter(|_| last.is_none());
        let mut head = self.head(id);
        head.push(("Content-Type", "text/event-stream".to_owned()));
        answering.begin_chunks(200, &head)?;
        let mut held = String::new();
        for number in last.unwrap_or(0) + 1..=self.plan.events {
            thread::sleep(self.plan.event_gap);
            let id_line = match spoils {
                Some(Spoilt::Number(spoilt)) if spoilt == number => format!("id: {}", number + 2),
                Some(Spoilt::FieldName(spoilt)) if spoilt == number => format!("ix: {number}"),
                _ => format!("id: {number}"),
            };
            if id_line != format!("id: {number}") {
                self.record.note(&format!(
                    "{} sends event {number} of {id} with `{id_line}`",
                    self.id
                ));
            }
            held.push_str(&format!("{id_line}\ndata: {id}-{number}\n\n"));
            if !matches!(spoils, Some(Spoilt::Number(spoilt)) if spoilt == number + 1) {
                answering.chunk(std::mem::take(&mut held).as_bytes())?;
            }
        }
        answering.end_chunks()
    }
}
