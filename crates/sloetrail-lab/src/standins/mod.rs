//! Stand-ins of the platform's services, engines and back ends.
//!
//! Each is a small HTTP server that can be told to fail over `/lab/faults` and
//! that logs what truly happened to the history.

pub mod engine;
mod fault_layer;
mod machines;
mod objects;
mod rate_limit;
mod scoring;
mod server;
mod stand_in;
mod table;
mod weights;

pub use fault_layer::{CallLog, FaultControl, Faults};
pub use machines::{MachineListStandIn, MachineRewrite};
pub use objects::ObjectStandIn;
pub use scoring::ScoringStandIn;
pub use server::Served;
pub use stand_in::StandIn;
pub use table::TableStandIn;
pub use weights::WeightStoreStandIn;
