//! Leases for tasks that only one node at a time may run.
//!
//! Each node runs a [`manager`] for each [`LeaseResource`]. It follows the lease row, competes
//! for the lease when the holder is gone, and renews it while this node holds it. The holder
//! runs a [`LeaseTask`] for one [`Term`]. Every write of a term is conditional on the fence row
//! written by the term's first transaction. Recipients of orders do not check the fence, so
//! orders are sent only within windows committed beforehand ([`order_window`]). A few nodes
//! probe each holder ([`owner_watch`]).

mod manager;
mod order_window;
mod owner_watch;
mod recorded_sets;
mod registration;
mod resource;
mod term;

pub(crate) use manager::LeaseManager;
pub(crate) use order_window::OrderWindow;
pub(crate) use recorded_sets::{RecordedSets, watch_recorded_sets};
pub(crate) use registration::{Deregistration, Registration, deregister, require_registration};
pub(crate) use resource::{BatchSet, LeaseResource, LeaseTask};
pub(crate) use term::Term;
