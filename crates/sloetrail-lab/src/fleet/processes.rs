//! A deployment of real processes, with relays between its zones.

use super::child::{ChildError, ListeningChild, sibling_program};
use super::platform::{PlatformSettings, PlatformStandIns};
use super::profile::{Profile, ServiceShape};
use super::relay::{Cuts, Direction, Relays};
use crate::history_log::HistoryLog;
use crate::standins::Faults;
use crate::standins::engine::EngineKind;
use crate::workload::{BookEntry, NodeBook};
use http::Method;
use nix::sys::signal::Signal;
use sloetrail_clients::{HttpClient, Machine, MachineRole, MachineState};
use sloetrail_history::{Event, EventBody, merge_histories, read_history};
use sloetrail_types::{EngineId, NodeId, ServiceName, ZoneName};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The zone name under which the platform's services can be cut off.
pub const PLATFORM_ZONE: &str = "platform";
/// Time after the signal for which callers still use a stopping node.
const CALLERS_NOTICE: Duration = Duration::from_millis(300);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a deployment could not be run.
#[derive(Debug, Snafu)]
pub enum ProcessFleetError {
    /// A process.
    #[snafu(display("{source}"))]
    Process {
        /// Its error.
        source: ChildError,
    },
    /// A stand-in, a relay or a file.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Addresses by reader's zone and machine.
type RelayTable = Arc<Mutex<BTreeMap<(ZoneName, String), RelayedAddresses>>>;

#[derive(Clone, Copy)]
struct RelayedAddresses {
    http: SocketAddr,
    gossip: Option<SocketAddr>,
}

struct NodeProcess {
    id: NodeId,
    zone: ZoneName,
    child: ListeningChild,
}

struct EngineProcess {
    id: EngineId,
    shape: ServiceShape,
    zone: ZoneName,
    address: SocketAddr,
    child: ListeningChild,
}

/// A deployment of real processes.
pub struct ProcessFleet {
    /// The profile that it was made from.
    pub profile: Profile,
    /// The platform, in this process.
    pub platform: PlatformStandIns,
    /// The nodes that callers may use.
    pub book: NodeBook,
    /// What happened here; engines write their own files.
    pub history: HistoryLog,
    /// Cuts between zones.
    pub cuts: Cuts,
    folder: PathBuf,
    relays: Relays,
    relayed: RelayTable,
    platform_by_zone: BTreeMap<ZoneName, Vec<SocketAddr>>,
    nodes: Vec<NodeProcess>,
    engines: Vec<EngineProcess>,
    engine_files: Vec<PathBuf>,
    http: HttpClient,
    next_life: usize,
    seed: u64,
}

impl ProcessFleet {
    /// Starts the platform here and the engines as processes. `folder` takes the
    /// logs and histories.
    pub async fn start(
        profile: Profile,
        folder: PathBuf,
        seed: u64,
    ) -> Result<Self, ProcessFleetError> {
        let io = |what: &str| {
            let what = what.to_owned();
            move |source| ProcessFleetError::Io { what, source }
        };
        std::fs::create_dir_all(&folder).map_err(io("making the run's folder"))?;
        let relayed: RelayTable = Arc::default();
        let table = Arc::clone(&relayed);
        let history = HistoryLog::in_memory();
        let mut settings = PlatformSettings::assumed(seed);
        settings.history = Some(history.clone());
        settings.rewrite = Arc::new(move |zone, machine| rewrite(&table, zone, machine));
        let platform = PlatformStandIns::start(settings)
            .await
            .map_err(io("starting the platform"))?;
        let mut fleet = Self {
            platform,
            book: NodeBook::default(),
            history,
            cuts: Cuts::default(),
            folder,
            relays: Relays::default(),
            relayed,
            platform_by_zone: BTreeMap::new(),
            nodes: Vec::new(),
            engines: Vec::new(),
            engine_files: Vec::new(),
            http: HttpClient::new(),
            next_life: 0,
            seed,
            profile,
        };
        fleet.relay_platform().await?;
        for shape in [
            fleet.profile.model.clone(),
            fleet.profile.application.clone(),
        ] {
            for index in 0..shape.count {
                let zone = fleet.profile.zones[index % fleet.profile.zones.len()].clone();
                fleet.add_engine(&shape, zone).await?;
            }
        }
        Ok(fleet)
    }

    /// Starts a node process.
    pub async fn add_node(&mut self, zone: ZoneName) -> Result<NodeId, ProcessFleetError> {
        let id = NodeId::new(format!("{zone}-node-{}", self.next_life()));
        let platform = &self.platform_by_zone[&zone];
        let mut arguments = Vec::new();
        for (flag, value) in [
            ("--node", id.to_string()),
            ("--zone", zone.to_string()),
            ("--http-address", "127.0.0.1:0".to_owned()),
            ("--gossip-address", "127.0.0.1:0".to_owned()),
            ("--platform-table", platform[0].to_string()),
            ("--platform-objects", platform[1].to_string()),
            ("--platform-machines", platform[2].to_string()),
            ("--platform-scoring", platform[3].to_string()),
        ] {
            arguments.push(flag.to_owned());
            arguments.push(value);
        }
        let program = sibling_program("sloetraild").context(ProcessSnafu)?;
        let log_file = self.folder.join(format!("{id}.log"));
        let child = ListeningChild::start(&program, &arguments, &log_file, id.as_str())
            .await
            .context(ProcessSnafu)?;
        let http = child.address("http").expect("it listens");
        let gossip = child.address("gossip");
        self.announce(Machine {
            id: id.to_string(),
            role: MachineRole::Node,
            zone: zone.clone(),
            service: None,
            address: http,
            gossip_address: gossip,
            state: MachineState::Live,
        })
        .await?;
        self.book.add(BookEntry {
            node: id.clone(),
            zone: zone.clone(),
            address: http,
        });
        self.nodes.push(NodeProcess {
            id: id.clone(),
            zone,
            child,
        });
        Ok(id)
    }

    /// Starts an engine process.
    pub async fn add_engine(
        &mut self,
        shape: &ServiceShape,
        zone: ZoneName,
    ) -> Result<EngineId, ProcessFleetError> {
        let life = self.next_life();
        let id = EngineId::new(format!("{}-{zone}-{life}", shape.service));
        let history_file = self.folder.join(format!("{id}.jsonl"));
        let arguments = engine_arguments(
            &id,
            shape,
            self.platform.weights.address(),
            &history_file,
            self.seed + life as u64,
        );
        let program = std::env::current_exe().map_err(|source| ProcessFleetError::Io {
            what: "finding the running program".to_owned(),
            source,
        })?;
        let program = match program
            .file_stem()
            .is_some_and(|stem| stem == "sloetrail-lab")
        {
            true => program,
            false => sibling_program("sloetrail-lab").context(ProcessSnafu)?,
        };
        let log_file = self.folder.join(format!("{id}.log"));
        let child = ListeningChild::start(&program, &arguments, &log_file, id.as_str())
            .await
            .context(ProcessSnafu)?;
        let address = child.address("http").expect("it listens");
        self.engine_files.push(history_file);
        self.announce(Machine {
            id: id.to_string(),
            role: MachineRole::Engine,
            zone: zone.clone(),
            service: Some(shape.service.clone()),
            address,
            gossip_address: None,
            state: MachineState::Live,
        })
        .await?;
        self.engines.push(EngineProcess {
            id: id.clone(),
            shape: shape.clone(),
            zone,
            address,
            child,
        });
        Ok(id)
    }

    /// The running nodes.
    pub fn node_ids(&self) -> Vec<NodeId> {
        self.nodes.iter().map(|node| node.id.clone()).collect()
    }

    /// A node's zone.
    pub fn zone_of_node(&self, id: &NodeId) -> Option<ZoneName> {
        let node = self.nodes.iter().find(|node| node.id == *id);
        node.map(|node| node.zone.clone())
    }

    /// The running engines of a service.
    pub fn engine_ids(&self, service: &ServiceName) -> Vec<EngineId> {
        let engines = self.engines.iter();
        let of_service = engines.filter(|engine| engine.shape.service == *service);
        of_service.map(|engine| engine.id.clone()).collect()
    }

    /// An engine's service and zone, for its replacement.
    pub fn shape_of_engine(&self, id: &EngineId) -> Option<(ServiceShape, ZoneName)> {
        let engine = self.engines.iter().find(|engine| engine.id == *id)?;
        Some((engine.shape.clone(), engine.zone.clone()))
    }

    /// Kills a node with SIGKILL.
    pub async fn kill_node(&mut self, id: &NodeId) {
        let Some(place) = self.nodes.iter().position(|node| node.id == *id) else {
            return;
        };
        let node = self.nodes.remove(place);
        self.history
            .record(EventBody::NodeKilled { node: id.clone() });
        self.book.remove(id);
        node.child.kill().await;
        self.platform.machines.remove(id.as_str());
    }

    /// Stops a node with SIGTERM; callers may go on to use it until it refuses.
    pub async fn stop_node(&mut self, id: &NodeId) -> i32 {
        let Some(place) = self.nodes.iter().position(|node| node.id == *id) else {
            return -1;
        };
        let node = self.nodes.remove(place);
        self.history
            .record(EventBody::NodeStopping { node: id.clone() });
        self.platform.machines.mark_leaving(id.as_str());
        node.child.signal(Signal::SIGTERM);
        tokio::time::sleep(CALLERS_NOTICE).await;
        self.book.remove(id);
        let code = node.child.terminate(STOP_TIMEOUT).await;
        self.history.record(EventBody::NodeStopped {
            node: id.clone(),
            code,
        });
        self.platform.machines.remove(id.as_str());
        code
    }

    /// Freezes or thaws a node.
    pub fn freeze_node(&self, id: &NodeId, frozen: bool) {
        let node = self.nodes.iter().find(|node| node.id == *id);
        if let Some(node) = node {
            node.child.signal(match frozen {
                true => Signal::SIGSTOP,
                false => Signal::SIGCONT,
            });
        }
    }

    /// Kills an engine with SIGKILL.
    pub async fn kill_engine(&mut self, id: &EngineId) {
        let Some(place) = self.engines.iter().position(|engine| engine.id == *id) else {
            return;
        };
        let engine = self.engines.remove(place);
        self.history
            .record(EventBody::EngineKilled { engine: id.clone() });
        engine.child.kill().await;
        self.platform.machines.remove(id.as_str());
    }

    /// Freezes or thaws an engine.
    pub fn freeze_engine(&self, id: &EngineId, frozen: bool) {
        let engine = self.engines.iter().find(|engine| engine.id == *id);
        if let Some(engine) = engine {
            engine.child.signal(match frozen {
                true => Signal::SIGSTOP,
                false => Signal::SIGCONT,
            });
        }
    }

    /// Has the machine list say that an engine's machine is about to go.
    pub fn mark_engine_leaving(&self, id: &EngineId) {
        self.history
            .record(EventBody::EngineLeaving { engine: id.clone() });
        self.platform.machines.mark_leaving(id.as_str());
    }

    /// Tells an engine itself that it is about to go.
    pub async fn tell_engine_to_leave(&self, id: &EngineId) {
        let engine = self.engines.iter().find(|engine| engine.id == *id);
        if let Some(engine) = engine {
            self.post(engine.address, "/lab/leave", "").await;
        }
    }

    /// Changes an engine's faults.
    pub async fn set_engine_faults(&self, id: &EngineId, faults: &Faults) {
        let engine = self.engines.iter().find(|engine| engine.id == *id);
        if let Some(engine) = engine {
            let body = serde_json::to_string(faults).expect("faults are plain data");
            self.post(engine.address, "/lab/faults", &body).await;
        }
    }

    /// Every event so far, of this process and of the engines.
    pub fn collect_history(&self) -> Result<Vec<Event>, ProcessFleetError> {
        let mut histories = vec![self.history.events()];
        for file in &self.engine_files {
            let text = std::fs::read_to_string(file).map_err(|source| ProcessFleetError::Io {
                what: format!("reading {}", file.display()),
                source,
            })?;
            histories.push(read_history(&text).unwrap_or_default());
        }
        Ok(merge_histories(histories))
    }

    /// The run's folder.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    async fn post(&self, address: SocketAddr, path: &str, body: &str) {
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body.to_owned().into())
            .expect("lab paths are sound");
        // A frozen or killed engine does not answer.
        let _ = self.http.fetch(request, CONTROL_TIMEOUT, 65_536).await;
    }

    async fn relay_platform(&mut self) -> Result<(), ProcessFleetError> {
        let addresses = self.platform.addresses().for_nodes;
        for zone in self.profile.zones.clone() {
            let mut relayed = Vec::new();
            for target in [
                addresses.table,
                addresses.objects,
                addresses.machines,
                addresses.scoring,
            ] {
                let direction = Direction {
                    from: zone.clone(),
                    to: ZoneName::from(PLATFORM_ZONE),
                };
                relayed.push(self.relay_tcp(direction, target).await?);
            }
            self.platform_by_zone.insert(zone, relayed);
        }
        Ok(())
    }

    /// Makes a machine reachable from every zone and puts it on the list.
    async fn announce(&self, machine: Machine) -> Result<(), ProcessFleetError> {
        for zone in &self.profile.zones {
            if *zone == machine.zone {
                continue;
            }
            let direction = Direction {
                from: zone.clone(),
                to: machine.zone.clone(),
            };
            let http = self.relay_tcp(direction.clone(), machine.address).await?;
            let gossip = match machine.gossip_address {
                Some(target) => Some(self.relay_udp(direction, target).await?),
                None => None,
            };
            let addresses = RelayedAddresses { http, gossip };
            let mut relayed = self.relayed.lock().expect("not poisoned");
            relayed.insert((zone.clone(), machine.id.clone()), addresses);
        }
        self.platform.machines.add(machine);
        Ok(())
    }

    async fn relay_tcp(
        &self,
        direction: Direction,
        target: SocketAddr,
    ) -> Result<SocketAddr, ProcessFleetError> {
        let relay = self.relays.tcp(self.cuts.clone(), direction, target);
        relay.await.map_err(|source| ProcessFleetError::Io {
            what: "starting a relay".to_owned(),
            source,
        })
    }

    async fn relay_udp(
        &self,
        direction: Direction,
        target: SocketAddr,
    ) -> Result<SocketAddr, ProcessFleetError> {
        let relay = self.relays.udp(self.cuts.clone(), direction, target);
        relay.await.map_err(|source| ProcessFleetError::Io {
            what: "starting a relay".to_owned(),
            source,
        })
    }

    fn next_life(&mut self) -> usize {
        self.next_life += 1;
        self.next_life
    }
}

fn rewrite(table: &RelayTable, zone: &ZoneName, mut machine: Machine) -> Machine {
    let relayed = table.lock().expect("not poisoned");
    if let Some(addresses) = relayed.get(&(zone.clone(), machine.id.clone())) {
        machine.address = addresses.http;
        machine.gossip_address = addresses.gossip;
    }
    machine
}

fn engine_arguments(
    id: &EngineId,
    shape: &ServiceShape,
    weights: SocketAddr,
    history: &std::path::Path,
    seed: u64,
) -> Vec<String> {
    let kind = match shape.kind {
        EngineKind::Model => "model",
        EngineKind::Application => "application",
    };
    let mut arguments = vec!["engine".to_owned()];
    for (flag, value) in [
        ("--id", id.to_string()),
        ("--service", shape.service.to_string()),
        ("--kind", kind.to_owned()),
        ("--weight-store", weights.to_string()),
        ("--history", history.display().to_string()),
        ("--seed", seed.to_string()),
    ] {
        arguments.push(flag.to_owned());
        arguments.push(value);
    }
    arguments
}
