//! Autoscaling: how many engines a service needs.
//!
//! The owner of a service records the load of its engines ([`Scaler::record_load`]) and the
//! duration of steps relative to their target ([`Scaler::record_step`]). It periodically asks
//! for a new engine count ([`Scaler::decide`]) and distributes it over the zones ([`spread`]).
//!
//! Idle engines cost money, and new engines take seconds to start. The count therefore follows
//! the load of the last few steps with headroom: it grows at once, shrinks gradually, and never
//! shrinks while steps use most of their target duration.
//!
//! Where part of the work is bound to regions, a [`FleetScaler`] decides per zone. It runs one
//! scaler for all work and one for each set of regions, which sets a minimum for its zones.
//!
//! This crate does no I/O and reads no clock.

mod fleet;
mod scaler;
mod spread;

pub use fleet::{BoundWork, BoundWorkByRegions, FleetScaler, ZoneLoad, ZoneLoads};
pub use scaler::{Scaler, ServiceEngines};
pub use spread::{ScalingBounds, spread};

#[cfg(test)]
mod tests;
