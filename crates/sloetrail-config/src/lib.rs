//! Service files and node settings.
//!
//! A text goes through two steps: `raw` holds the shape of the file as serde
//! reads it, with the place of every value; checking turns it into the typed
//! form ([`Configuration`], [`NodeSettings`]), in which every bound holds and
//! every reference leads somewhere. An error names file, line, field and code,
//! and nothing of a file with an error is ever used.

mod checks;
mod configuration;
mod difference;
mod error;
mod raw;
mod settings;

pub use configuration::{Configuration, Run, Service, ServiceKind};
pub use difference::{Change, difference};
pub use error::ConfigError;
pub use settings::{Bounds, NodeSettings, PlatformAddresses, SettingsOverrides};

#[cfg(test)]
mod tests;
