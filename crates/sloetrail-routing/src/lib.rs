//! Which service a request goes to.
//!
//! A serving configuration arrives as JSON ([`raw`]), is checked into typed routes
//! and services ([`ServingConfiguration`]) and is then asked, for a host and a
//! path, for the route ([`RouteTable`]). A route that names several services is
//! shared out by [`WeightedChoice`]. Where a configuration names tenants, a caller is known
//! by its key ([`Tenants`]).
//!
//! Nothing here does I/O or reads a clock.

mod configuration;
mod error;
pub mod raw;
mod route_table;
mod tenants;
mod weighted_choice;

pub use configuration::{
    ColdBounds, ModelService, RequestLimits, Route, RouteKind, RouteName, ServingConfiguration,
    ServingService, WeightedService,
};
pub use error::ConfigurationError;
pub use route_table::RouteTable;
pub use tenants::{Tenant, Tenants};
pub use weighted_choice::WeightedChoice;

#[cfg(test)]
mod tests;
