//! Whole deployments: the platform's stand-ins, engines and nodes.

mod local;
mod platform;
mod profile;

pub use local::LocalFleet;
pub use platform::{PlatformAddressBook, PlatformSettings, PlatformStandIns};
pub use profile::{Profile, ProfileName, ServiceShape};
