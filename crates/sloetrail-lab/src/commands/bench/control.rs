//! The cost of control: hollow nodes, which exchange membership, configuration
//! and load as real ones do but serve nobody.

use super::hollow_platform::{SERVICE, zone_name};
use super::process_stats::{loopback_bytes, machine_bytes, processor_time, resident_bytes};
use crate::fleet::ListeningChild;
use crate::workload::{JsonAnswer, send_json};
use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use serde::Serialize;
use sloetrail_clients::{HttpClient, Machine, MachineRole, MachineState};
use sloetrail_config::{Bounds, NodeSettings, PlatformAddresses};
use sloetrail_node::messages::{ApplyAccepted, ApplyRequest};
use sloetrail_node::{Node, NodeSockets, Roles};
use sloetrail_result::Problem;
use sloetrail_types::{ApplyId, NodeId, Revision, ServiceName};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
const QUIET: Duration = Duration::from_secs(3);
const DATAGRAM_OVERHEAD_BYTES: f64 = 28.0;
const POLL: Duration = Duration::from_millis(5);
const CHANGES: usize = 5;
const DEATHS: usize = 3;

pub(super) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(usize))
            .default_value(default)
            .help(help)
    };
    Command::new("control")
        .about("Messages, bytes, processor time, memory and spread times of hollow nodes")
        .after_help("Example: sloetrail-lab bench control --nodes 350 --samplers 890 --zones 7")
        .arg(number("nodes", "25", "Hollow nodes"))
        .arg(number("samplers", "64", "Hollow samplers"))
        .arg(number("zones", "7", "Zones, among which both are spread"))
        .arg(number("seconds", "10", "Length of the measured window"))
}

/// What one run found, per node where that is what it says.
#[derive(Debug, Serialize)]
struct ControlReport {
    nodes: usize,
    samplers: usize,
    zones: usize,
    gossip_messages_sent_per_second: f64,
    gossip_bytes_sent_per_second: f64,
    all_bytes_in_and_out_per_second: f64,
    core_percent: f64,
    resident_megabytes: f64,
    change_known_p50_ms: f64,
    change_known_max_ms: f64,
    death_known_p50_ms: f64,
    death_known_max_ms: f64,
}

struct Bench {
    nodes: Vec<Node>,
    platform: PlatformAddresses,
    http: HttpClient,
    text: String,
    applies: usize,
    _platform_process: ListeningChild,
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| *matches.get_one::<usize>(name).expect("it has a default");
    let (nodes, samplers, zones) = (number("nodes"), number("samplers"), number("zones"));
    let window = Duration::from_secs(number("seconds") as u64);
    match measure(nodes, samplers, zones, window).await {
        Ok(report) => {
            let line = serde_json::to_string(&report).expect("reports are plain data");
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            eprintln!("bench control: {reason}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(
    nodes: usize,
    samplers: usize,
    zones: usize,
    window: Duration,
) -> Result<ControlReport, String> {
    let mut bench = Bench::start(samplers, zones).await?;
    let before_nodes = resident_bytes();
    bench.add_nodes(nodes, zones).await?;
    let call = bench.prepare_change();
    send_change(&bench.http, &call).await?;
    bench.settle(nodes, zones, samplers).await?;
    tokio::time::sleep(QUIET).await;
    let quiet = Quiet::measure(&bench, window).await?;
    let resident = resident_bytes();
    if resident * 2 > machine_bytes() {
        return Err("over half of the machine's memory".to_owned());
    }
    let changes = bench.time_changes().await?;
    let deaths = bench.time_deaths().await?;
    let count = nodes as f64;
    Ok(ControlReport {
        nodes,
        samplers,
        zones,
        gossip_messages_sent_per_second: quiet.messages / count,
        gossip_bytes_sent_per_second: quiet.gossip_bytes / count,
        all_bytes_in_and_out_per_second: (quiet.gossip_bytes * 2.0 + quiet.other_bytes) / count,
        core_percent: quiet.core_percent / count,
        resident_megabytes: (resident - before_nodes) as f64 / 1e6 / count,
        change_known_p50_ms: middle(&changes),
        change_known_max_ms: highest(&changes),
        death_known_p50_ms: middle(&deaths),
        death_known_max_ms: highest(&deaths),
    })
}

/// Rates over a window in which nothing changes, for all nodes together.
struct Quiet {
    messages: f64,
    gossip_bytes: f64,
    other_bytes: f64,
    core_percent: f64,
}

impl Quiet {
    async fn measure(bench: &Bench, window: Duration) -> Result<Self, String> {
        let before = (
            bench.gossip_counters().await?,
            processor_time(),
            loopback_bytes(),
        );
        let started = Instant::now();
        tokio::time::sleep(window).await;
        let seconds = started.elapsed().as_secs_f64();
        let (loopback, processor) = (loopback_bytes(), processor_time());
        let after = bench.gossip_counters().await?;
        let messages = after.messages - before.0.messages;
        let payload = after.bytes - before.0.bytes;
        let gossip_bytes = payload + messages * DATAGRAM_OVERHEAD_BYTES;
        let all_bytes = (loopback - before.2) as f64;
        let busy = (processor - before.1).as_secs_f64();
        Ok(Self {
            messages: messages / seconds,
            gossip_bytes: gossip_bytes / seconds,
            other_bytes: (all_bytes - gossip_bytes).max(0.0) / seconds,
            core_percent: 100.0 * busy / seconds,
        })
    }
}

struct GossipCounters {
    messages: f64,
    bytes: f64,
}

impl Bench {
    async fn start(samplers: usize, zones: usize) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let arguments: Vec<String> = ["bench", "hollow-platform", "--samplers"]
            .map(str::to_owned)
            .into_iter()
            .chain([
                samplers.to_string(),
                "--zones".to_owned(),
                zones.to_string(),
            ])
            .collect();
        let log = std::env::temp_dir().join(format!("sloetrail-bench-{}.log", std::process::id()));
        let child = ListeningChild::start(&program, &arguments, &log, "hollow-platform")
            .await
            .map_err(|error| error.to_string())?;
        let address = |name: &str| child.address(name).ok_or(format!("no address of {name}"));
        let platform = PlatformAddresses {
            table: address("table")?,
            objects: address("objects")?,
            machines: address("machines")?,
            scoring: address("scoring")?,
        };
        Ok(Self {
            nodes: Vec::new(),
            platform,
            http: HttpClient::new(),
            text: service_file(zones, samplers),
            applies: 0,
            _platform_process: child,
        })
    }

    async fn add_nodes(&mut self, count: usize, zones: usize) -> Result<(), String> {
        let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut machines = Vec::new();
        let mut waiting = Vec::new();
        for index in 0..count {
            let sockets = NodeSockets::bind(any, any).await;
            let sockets = sockets.map_err(|error| error.to_string())?;
            let zone = zone_name(index % zones);
            let id = NodeId::new(format!("{zone}-node-{index:03}"));
            machines.push(Machine {
                id: id.to_string(),
                role: MachineRole::Node,
                zone: zone.clone(),
                service: None,
                address: sockets.http_address(),
                gossip_address: Some(sockets.gossip_address()),
                state: MachineState::Live,
            });
            let settings = NodeSettings {
                node: id,
                zone,
                http_address: sockets.http_address(),
                gossip_address: sockets.gossip_address(),
                platform: self.platform.clone(),
                bounds: Bounds::default(),
            };
            waiting.push((sockets, settings));
        }
        self.announce(&machines).await?;
        for (sockets, settings) in waiting {
            let node = Node::start_on(sockets, settings, Roles { owner: false });
            self.nodes.push(node);
        }
        Ok(())
    }

    async fn announce(&self, machines: &[Machine]) -> Result<(), String> {
        let body = serde_json::to_vec(machines).expect("machines are plain data");
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/lab/machines", self.platform.machines))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body.into())
            .map_err(|error| error.to_string())?;
        let answer = self.http.fetch(request, Duration::from_secs(5), 65_536);
        let answer = answer.await.map_err(|error| error.to_string())?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(format!("the machine list answered {}", answer.status)),
        }
    }

    /// Waits until every node knows its zone, its configuration and its engines.
    async fn settle(&self, nodes: usize, zones: usize, samplers: usize) -> Result<(), String> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let members = nodes / zones;
        let engines = samplers / zones;
        let service = ServiceName::from(SERVICE);
        let settled = |node: &Node| {
            node.members_alive() >= members
                && node.revision() > Revision(0)
                && node.configuration_is_confirmed()
                && node.engines_available(&service) >= engines
        };
        while Instant::now() < deadline {
            if self.nodes.iter().all(settled) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let missing = self.nodes.iter().filter(|node| !settled(node)).count();
        Err(format!("{missing} nodes did not settle"))
    }

    async fn gossip_counters(&self) -> Result<GossipCounters, String> {
        let uri = format!("http://{}/metrics", self.nodes[0].http_address());
        let request = http::Request::get(uri)
            .body(http_body_util::Full::default())
            .map_err(|error| error.to_string())?;
        let answer = self.http.fetch(request, Duration::from_secs(5), 1_048_576);
        let answer = answer.await.map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            let number = line.and_then(|line| line.split(' ').nth(1)?.parse().ok());
            number.ok_or(format!("metric {name} is missing"))
        };
        Ok(GossipCounters {
            messages: value("sloetrail_gossip_sent_total ")?,
            bytes: value("sloetrail_gossip_sent_bytes_total ")?,
        })
    }

    /// A changed file and the node to apply it through.
    fn prepare_change(&mut self) -> ChangeCall {
        self.applies += 1;
        let through = &self.nodes[self.applies * 31 % self.nodes.len()];
        ChangeCall {
            node: through.http_address(),
            request: ApplyRequest {
                apply: ApplyId::new(format!("bench-{}", self.applies)),
                file: "bench.toml".to_owned(),
                text: format!("{}\n# change {}\n", self.text, self.applies),
                base_revision: None,
            },
        }
    }

    /// Times from sending a change until each node holds it.
    async fn time_changes(&mut self) -> Result<Vec<Duration>, String> {
        let mut times = Vec::new();
        for _ in 0..CHANGES {
            let before = self.nodes.iter().map(Node::revision).max();
            let wanted = before.unwrap_or_default().next();
            let started = Instant::now();
            let call = self.prepare_change();
            let applied = send_change(&self.http, &call);
            let known = until_all(&self.nodes, started, |node| node.revision() >= wanted);
            let (applied, known) = tokio::join!(applied, known);
            applied?;
            times.extend(known?);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        Ok(times)
    }

    /// Times from a node's death until each node of its zone takes it for dead.
    async fn time_deaths(&mut self) -> Result<Vec<Duration>, String> {
        let mut times = Vec::new();
        for _ in 0..DEATHS {
            let place = self.nodes.len() / 2;
            let victim = self.nodes.remove(place);
            let id = victim.id().clone();
            let zone = id.as_str().split("-node-").next().unwrap_or("").to_owned();
            victim.abort();
            let started = Instant::now();
            let mates: Vec<&Node> = self
                .nodes
                .iter()
                .filter(|node| node.id().as_str().starts_with(&format!("{zone}-node-")))
                .collect();
            times.extend(until_all(mates, started, |node| !node.takes_for_alive(&id)).await?);
        }
        Ok(times)
    }
}

struct ChangeCall {
    node: SocketAddr,
    request: ApplyRequest,
}

async fn send_change(http: &HttpClient, call: &ChangeCall) -> Result<Revision, String> {
    let answer = send_json(
        http,
        Method::POST,
        call.node,
        "/v1/configuration",
        Some(&call.request),
        Duration::from_secs(15),
    );
    match answer.await {
        JsonAnswer::Value(ApplyAccepted { revision, .. }) => Ok(revision),
        JsonAnswer::Problem(Problem { detail, .. }) => Err(detail),
        JsonAnswer::Failed(error) => Err(error.to_string()),
    }
}

/// The time at which the condition came true for each node.
async fn until_all<'a>(
    nodes: impl IntoIterator<Item = &'a Node>,
    started: Instant,
    condition: impl Fn(&Node) -> bool,
) -> Result<Vec<Duration>, String> {
    let mut waiting: Vec<&Node> = nodes.into_iter().collect();
    let mut times = Vec::new();
    let deadline = started + SETTLE_TIMEOUT;
    while !waiting.is_empty() {
        if Instant::now() > deadline {
            return Err(format!("{} nodes did not learn of it", waiting.len()));
        }
        waiting.retain(|node| {
            let known = condition(node);
            if known {
                times.push(started.elapsed());
            }
            !known
        });
        tokio::time::sleep(POLL).await;
    }
    Ok(times)
}

fn service_file(zones: usize, samplers: usize) -> String {
    let mut text = "version = 1\n".to_owned();
    for index in 0..zones {
        text.push_str(&format!("[[zone]]\nname = \"{}\"\n", zone_name(index)));
    }
    text.push_str(&format!(
        "[[service]]\nname = \"{SERVICE}\"\nkind = \"model\"\nsamplers = {}\n",
        samplers.max(1)
    ));
    text
}

fn middle(times: &[Duration]) -> f64 {
    let mut sorted: Vec<f64> = times.iter().map(|time| time.as_secs_f64() * 1e3).collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

fn highest(times: &[Duration]) -> f64 {
    let milliseconds = times.iter().map(|time| time.as_secs_f64() * 1e3);
    milliseconds.fold(0.0, f64::max)
}
