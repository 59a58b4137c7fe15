//! Serving configuration and request routing.
//!
//! A serving configuration is read from JSON ([`raw`]) and validated into typed routes and
//! services ([`ServingConfiguration`]). [`RouteTable`] finds the route of a host and path.
//! [`WeightedChoice`] splits the requests of a route among its services. [`Tenants`] maps API
//! keys to tenants, if the configuration has any.
//!
//! This crate performs no I/O and reads no clock.

mod configuration;
mod error;
pub mod raw;
mod route_table;
mod tenants;
mod validation;
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
