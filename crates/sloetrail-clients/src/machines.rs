//! The platform's list of machines. It lags: it adds candidates and marks leavers.

use crate::http_client::{CallError, HttpClient};
use serde::{Deserialize, Serialize};
use sloetrail_types::{ServiceName, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A sloetrail node.
    Node,
    /// A back end of a service.
    Engine,
}

/// What the list says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The name of this life of the machine.
    pub id: String,
    /// What runs on it.
    pub role: MachineRole,
    /// Its zone.
    pub zone: ZoneName,
    /// The service of a back end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where a node takes membership messages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gossip_address: Option<SocketAddr>,
    /// Its state.
    pub state: MachineState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Grows with each change.
    pub version: u64,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// A client of the machine list.
#[derive(Clone)]
pub struct MachineListClient {
    http: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl MachineListClient {
    /// A client that waits `call_timeout` for each answer.
    pub fn new(http: HttpClient, address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            http,
            address,
            call_timeout,
        }
    }

    /// Reads the list with the addresses to use from `zone`; nothing if it is not
    /// newer than the version that is held.
    pub async fn read(
        &self,
        zone: &ZoneName,
        newer_than: u64,
    ) -> Result<Option<MachineList>, CallError> {
        let path = format!("/v1/machines?zone={zone}&newer_than={newer_than}");
        self.http
            .get_json(self.address, &path, self.call_timeout)
            .await
    }
}
