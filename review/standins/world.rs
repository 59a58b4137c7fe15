//! A small deployment: the store, the nodes as processes, and the operator.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/sloetrail-adapter";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const START_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_STARTS: usize = 3;

fn free_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    zone: &'static str,
    store: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Node {
    pub fn new(folder: &Path, number: usize, store: SocketAddr, record: &Arc<Record>) -> Self {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{number}");
        let mut node = Self {
            zone,
            callers: store,
            ready: store,
            store,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
            record: Arc::clone(record),
        };
        node.choose_ports();
        node
    }

    /// Writes the settings file as `deploy/settings.json` does, with free ports.
    fn choose_ports(&mut self) {
        let held: Vec<TcpListener> = (0..4).map(|_| free_port()).collect();
        let addresses: Vec<SocketAddr> = held
            .iter()
            .map(|port| port.local_addr().expect("bound"))
            .collect();
        let [callers, ready, peer, metrics] = addresses[..] else {
            return;
        };
        (self.callers, self.ready) = (callers, ready);
        let Self {
            name, zone, store, ..
        } = &self;
        let text = format!(
            "{{\"node\":\"{name}\",\"zone\":\"{zone}\",\
             \"regions\":{{\"zone-a\":\"north\",\"zone-b\":\"north\",\"zone-c\":\"north\"}},\
             \"callers_address\":\"{callers}\",\"ready_address\":\"{ready}\",\
             \"peer_address\":\"{peer}\",\"metrics_address\":\"{metrics}\",\
             \"order_gap_ms\":3000,\"grace_s\":8,\"processor_share\":0.5,\
             \"batch_status_s\":120,\"max_view_age_ms\":2000,\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"table\",\"writes_per_s\":800,\
             \"reads_per_s\":2000,\"tx_ms\":3.0,\"part_writes_per_s\":300,\"row_bytes\":65536,\
             \"across\":true,\"history_s\":20}}}}"
        );
        std::fs::write(&self.settings, text).expect("a writable folder");
    }

    /// Starts the node for the first time. Another program may take one of its ports meanwhile:
    /// it is then started with others.
    pub fn start_with_free_ports(&mut self) -> bool {
        for _ in 0..MAX_STARTS {
            self.start();
            if self.wait_ready() {
                return true;
            }
            self.kill();
            self.choose_ports();
        }
        false
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a writable folder");
        let mut command = Command::new(PROGRAM);
        command.env("SLOETRAIL_CONFIG", &self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::null());
        self.child = command.spawn().ok();
        if let (Some(child), Ok(path)) = (&self.child, std::env::var("PIDS")) {
            note_process(&path, child.id());
        }
        self.record.note(&format!("{} is started", self.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.note(&format!("{} gets SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/v1/ready", &[], b"", timeout);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&mut self) -> bool {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until && self.is_running() {
            if self.is_ready() {
                self.record.note(&format!("{} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Notes a process, so that the script can end it if it is itself ended early.
fn note_process(path: &str, id: u32) {
    let file = File::options().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        // Needed only if the script is ended early.
        let _ = writeln!(file, "{id}");
    }
}

/// Puts a configuration in force. The answer of the store is the acknowledgement.
pub fn put_configuration(store: &Store, record: &Record, configuration: &str) {
    store.put("op", "config", configuration);
    record.note(&format!("configuration acknowledged: {configuration}"));
}
