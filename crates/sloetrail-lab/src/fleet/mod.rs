//! Whole deployments: the platform's stand-ins, engines and nodes.

mod child;
mod local;
mod platform;
mod processes;
mod profile;
mod relay;

pub use child::{ChildError, ListeningChild, sibling_program};
pub use local::{FleetError, LocalFleet};
pub use platform::{PlatformAddressBook, PlatformSettings, PlatformStandIns};
pub use processes::{PLATFORM_ZONE, ProcessFleet, ProcessFleetError};
pub use profile::{Profile, ProfileName, ServiceShape};
pub use relay::{Cuts, Direction};
