//! How many engines a service needs.
//!
//! The owner of a service tells a [`Scaler`] what its engines do ([`Scaler::record_load`])
//! and how long steps take beside the time that they have ([`Scaler::record_step`]). From
//! time to time it asks whether another number of engines is wanted
//! ([`Scaler::decide`]), which is then spread over the zones ([`spread`]).
//!
//! Engines are paid for while they have nothing to do, and new ones take seconds to
//! start. So the number follows the work of the last few steps with room to spare: up at
//! once, down slowly, and never down while steps take most of their time.
//!
//! Where part of the work is bound to regions, a [`FleetScaler`] decides by zone: one
//! scaler for all work, and one for each set of regions, which keeps or raises the numbers
//! of its zones.
//!
//! Nothing here does I/O or reads a clock.

mod fleet;
mod scaler;
mod spread;

pub use fleet::{BoundWork, BoundWorkByRegions, FleetScaler, ZoneLoad, ZoneLoads};
pub use scaler::{Scaler, ServiceEngines};
pub use spread::{ScalingBounds, spread};

#[cfg(test)]
mod tests;
