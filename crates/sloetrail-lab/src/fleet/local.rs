//! A deployment in one process, on loopback.

use super::platform::{PlatformSettings, PlatformStandIns, any_port};
use super::profile::{Profile, ServiceShape};
use crate::history_log::HistoryLog;
use crate::standins::engine::{EngineSettings, FakeEngine};
use crate::workload::{BookEntry, JsonAnswer, NodeBook, send_json};
use http::Method;
use sloetrail_clients::{HttpClient, Machine, MachineRole, MachineState};
use sloetrail_config::{Bounds, NodeSettings};
use sloetrail_history::EventBody;
use sloetrail_node::messages::{ApplyAccepted, ApplyRequest};
use sloetrail_node::{Node, NodeError, NodeSockets};
use sloetrail_types::{ApplyId, EngineId, NodeId, ZoneName};
use snafu::{ResultExt, Snafu};
use std::time::Duration;

const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a deployment could not start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in could not listen.
    #[snafu(display("a stand-in could not start: {source}"))]
    StandIn {
        /// The system's error.
        source: std::io::Error,
    },
    /// A node could not start.
    #[snafu(display("a node could not start: {source}"))]
    NodeStart {
        /// The node's error.
        source: NodeError,
    },
}

/// A deployment in one process.
pub struct LocalFleet {
    /// The profile that it was made from.
    pub profile: Profile,
    /// The platform.
    pub platform: PlatformStandIns,
    /// The nodes that callers may use.
    pub book: NodeBook,
    /// What happened.
    pub history: HistoryLog,
    /// Changes the settings of back ends before they start.
    pub adjust: fn(&mut EngineSettings),
    /// The engines and back ends.
    pub engines: Vec<FakeEngine>,
    nodes: Vec<Node>,
    next_life: usize,
    seed: u64,
}

impl LocalFleet {
    /// Starts the platform and the engines; nodes are added after.
    pub async fn start(
        profile: Profile,
        history: HistoryLog,
        seed: u64,
    ) -> Result<Self, FleetError> {
        Self::start_adjusted(profile, history, seed, |_| {}).await
    }

    /// As [`LocalFleet::start`], with other settings for the back ends.
    pub async fn start_adjusted(
        profile: Profile,
        history: HistoryLog,
        seed: u64,
        adjust: fn(&mut EngineSettings),
    ) -> Result<Self, FleetError> {
        let platform = PlatformStandIns::start(PlatformSettings::assumed(seed))
            .await
            .context(StandInSnafu)?;
        let mut fleet = Self {
            platform,
            book: NodeBook::default(),
            history,
            adjust,
            engines: Vec::new(),
            nodes: Vec::new(),
            next_life: 0,
            seed,
            profile,
        };
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

    /// Starts one engine and puts it on the machine list.
    pub async fn add_engine(
        &mut self,
        shape: &ServiceShape,
        zone: ZoneName,
    ) -> Result<EngineId, FleetError> {
        let life = self.next_life();
        let id = EngineId::new(format!("{}-{zone}-{life}", shape.service));
        let mut settings = EngineSettings::assumed(
            id.clone(),
            shape.service.clone(),
            shape.kind,
            self.platform.weights.address(),
        );
        (self.adjust)(&mut settings);
        let seed = self.seed + life as u64;
        let engine = FakeEngine::start(any_port(), settings, self.history.clone(), seed)
            .await
            .context(StandInSnafu)?;
        self.platform.machines.add(Machine {
            id: id.to_string(),
            role: MachineRole::Engine,
            zone,
            service: Some(shape.service.clone()),
            address: engine.address(),
            gossip_address: None,
            state: MachineState::Live,
        });
        self.engines.push(engine);
        Ok(id)
    }

    /// Starts one node in a zone and puts it on the machine list.
    pub async fn add_node(&mut self, zone: ZoneName, bounds: Bounds) -> Result<NodeId, FleetError> {
        let id = NodeId::new(format!("{zone}-node-{}", self.next_life()));
        let sockets = NodeSockets::bind(any_port(), any_port())
            .await
            .context(NodeStartSnafu)?;
        let settings = NodeSettings {
            node: id.clone(),
            zone: zone.clone(),
            http_address: sockets.http_address(),
            gossip_address: sockets.gossip_address(),
            platform: self.platform.addresses().for_nodes,
            bounds,
        };
        self.platform.machines.add(Machine {
            id: id.to_string(),
            role: MachineRole::Node,
            zone: zone.clone(),
            service: None,
            address: sockets.http_address(),
            gossip_address: Some(sockets.gossip_address()),
            state: MachineState::Live,
        });
        let node = Node::start_on(sockets, settings);
        self.book.add(BookEntry {
            node: id.clone(),
            zone,
            address: node.http_address(),
        });
        self.nodes.push(node);
        Ok(id)
    }

    /// Applies the profile's file once, through the first node; true if it was
    /// accepted.
    pub async fn apply_profile(&self) -> bool {
        let request = ApplyRequest {
            apply: ApplyId::from("first"),
            file: self.profile.file.to_owned(),
            text: self.profile.text.to_owned(),
            base_revision: None,
        };
        let answer: JsonAnswer<ApplyAccepted> = send_json(
            &HttpClient::new(),
            Method::POST,
            self.nodes[0].http_address(),
            "/v1/configuration",
            Some(&request),
            APPLY_TIMEOUT,
        )
        .await;
        answer.value().is_some()
    }

    /// Ends an engine as a crash would.
    pub fn crash_engine(&mut self, id: &EngineId) {
        self.history
            .record(EventBody::EngineKilled { engine: id.clone() });
        self.engines.retain(|engine| engine.id() != id);
    }

    /// Stops a node as SIGTERM would, and takes it off the machine list.
    pub async fn stop_node(&mut self, id: &NodeId) {
        let Some(place) = self.nodes.iter().position(|node| node.id() == id) else {
            return;
        };
        let node = self.nodes.remove(place);
        self.book.remove(id);
        self.history
            .record(EventBody::NodeStopping { node: id.clone() });
        self.platform.machines.mark_leaving(id.as_str());
        node.stop().await;
        self.history.record(EventBody::NodeStopped {
            node: id.clone(),
            code: 0,
        });
        self.platform.machines.remove(id.as_str());
    }

    /// The running nodes.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Stops every node.
    pub async fn stop(mut self) {
        while let Some(node) = self.nodes.pop() {
            node.stop().await;
        }
    }

    fn next_life(&mut self) -> usize {
        self.next_life += 1;
        self.next_life
    }
}
