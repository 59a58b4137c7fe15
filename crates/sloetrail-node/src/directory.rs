//! The machine list as the node uses it.

use sloetrail_clients::{Machine, MachineList, MachineRole, MachineState};
use sloetrail_membership::PeerNode;
use sloetrail_types::{NodeId, ServiceName, ZoneName};
use std::net::SocketAddr;

/// The newest machine list that the node has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    list: MachineList,
}

impl Directory {
    pub(crate) fn new(list: MachineList) -> Self {
        Self { list }
    }

    pub(crate) fn version(&self) -> u64 {
        self.list.version
    }

    pub(crate) fn list(&self) -> &MachineList {
        &self.list
    }

    /// The other nodes; those marked as leaving still take messages.
    pub(crate) fn nodes(&self) -> Vec<PeerNode> {
        self.machines(MachineRole::Node)
            .map(|machine| PeerNode {
                id: NodeId::new(machine.id.clone()),
                zone: machine.zone.clone(),
            })
            .collect()
    }

    /// The nodes of a zone that the list does not mark as leaving.
    pub(crate) fn nodes_in(&self, zone: &ZoneName) -> Vec<NodeId> {
        self.machines(MachineRole::Node)
            .filter(|machine| machine.zone == *zone && !is_leaving(machine))
            .map(|machine| NodeId::new(machine.id.clone()))
            .collect()
    }

    pub(crate) fn node_http(&self, node: &NodeId) -> Option<SocketAddr> {
        self.node(node).map(|machine| machine.address)
    }

    pub(crate) fn node_gossip(&self, node: &NodeId) -> Option<SocketAddr> {
        self.node(node).and_then(|machine| machine.gossip_address)
    }

    /// Every back end.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &Machine> {
        self.machines(MachineRole::Engine)
    }

    /// The back ends of one service.
    pub(crate) fn engines_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Machine> {
        self.engines()
            .filter(move |machine| machine.service.as_ref() == Some(service))
    }

    /// The back ends of one zone.
    pub(crate) fn engines_in<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a Machine> {
        self.engines().filter(move |machine| machine.zone == *zone)
    }

    pub(crate) fn engine(&self, id: &str) -> Option<&Machine> {
        self.engines().find(|machine| machine.id == id)
    }

    fn machines(&self, role: MachineRole) -> impl Iterator<Item = &Machine> {
        self.list
            .machines
            .iter()
            .filter(move |machine| machine.role == role)
    }

    fn node(&self, node: &NodeId) -> Option<&Machine> {
        self.machines(MachineRole::Node)
            .find(|machine| machine.id == node.as_str())
    }
}

/// True if the list marks a machine as leaving.
pub(crate) fn is_leaving(machine: &Machine) -> bool {
    machine.state == MachineState::Leaving
}
