//! The platform's stand-ins together.

use crate::history_log::HistoryLog;
use crate::standins::{
    CallLog, FaultControl, MachineListStandIn, MachineRewrite, ObjectStandIn, ScoringStandIn,
    TableStandIn, WeightStoreStandIn,
};
use sloetrail_config::PlatformAddresses;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Any free port of the loopback address.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Limits and times of the platform.
#[derive(Clone)]
pub struct PlatformSettings {
    /// Table operations a second.
    pub table_per_second: f64,
    /// Object operations a second.
    pub objects_per_second: f64,
    /// Weight store reads a second.
    pub weight_reads_per_second: f64,
    /// Time of one read of the weight store.
    pub weight_transfer: Duration,
    /// Lag of the machine list.
    pub list_lag: Duration,
    /// Time of scoring one sample.
    pub scoring: Duration,
    /// The first of five ports in a row; ports from the system if absent.
    pub first_port: Option<u16>,
    /// Addresses by reader's zone.
    pub rewrite: MachineRewrite,
    /// Drives the faults' random choices.
    pub seed: u64,
    /// Where calls are written down, if anywhere.
    pub history: Option<HistoryLog>,
}

impl PlatformSettings {
    /// The lab's assumed limits and times.
    pub fn assumed(seed: u64) -> Self {
        Self {
            table_per_second: 2_000.0,
            objects_per_second: 2_000.0,
            weight_reads_per_second: 10.0,
            weight_transfer: Duration::from_millis(300),
            list_lag: Duration::from_millis(500),
            scoring: Duration::from_millis(20),
            first_port: None,
            rewrite: Arc::new(|_, machine| machine),
            seed,
            history: None,
        }
    }
}

/// Where the stand-ins serve.
#[derive(Clone, Debug)]
pub struct PlatformAddressBook {
    /// What nodes need.
    pub for_nodes: PlatformAddresses,
    /// What engines need.
    pub weights: SocketAddr,
}

/// The running stand-ins.
pub struct PlatformStandIns {
    /// The table.
    pub table: TableStandIn,
    /// The object store.
    pub objects: ObjectStandIn,
    /// The machine list.
    pub machines: MachineListStandIn,
    /// The scoring service.
    pub scoring: ScoringStandIn,
    /// The weight store.
    pub weights: WeightStoreStandIn,
}

impl PlatformStandIns {
    /// Starts all of them.
    pub async fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let address = |place: u16| match settings.first_port {
            Some(first) => SocketAddr::from((Ipv4Addr::LOCALHOST, first + place)),
            None => any_port(),
        };
        let faults = |place: u64, stand_in: &'static str| {
            let mut faults = FaultControl::new(settings.seed + place);
            if let Some(history) = settings.history.clone() {
                faults.log_calls(CallLog { history, stand_in });
            }
            faults
        };
        let (lag, rewrite) = (settings.list_lag, settings.rewrite.clone());
        let (rate, transfer) = (settings.weight_reads_per_second, settings.weight_transfer);
        let (table_rate, object_rate) = (settings.table_per_second, settings.objects_per_second);
        let machines = faults(2, "machines");
        let weights = faults(4, "weights");
        Ok(Self {
            table: TableStandIn::start(address(0), table_rate, faults(0, "table")).await?,
            objects: ObjectStandIn::start(address(1), object_rate, faults(1, "objects")).await?,
            machines: MachineListStandIn::start(address(2), lag, rewrite, machines).await?,
            scoring: ScoringStandIn::start(address(3), settings.scoring, faults(3, "scoring"))
                .await?,
            weights: WeightStoreStandIn::start(address(4), rate, transfer, weights).await?,
        })
    }

    /// Where they serve.
    pub fn addresses(&self) -> PlatformAddressBook {
        PlatformAddressBook {
            for_nodes: PlatformAddresses {
                table: self.table.address(),
                objects: self.objects.address(),
                machines: self.machines.address(),
                scoring: self.scoring.address(),
            },
            weights: self.weights.address(),
        }
    }
}
