//! Leases: work that one node at a time may do.
//!
//! Each node has a [`manager`] for each [`LeaseResource`], which follows the lease's row,
//! competes for the lease when its holder is gone and renews it while it holds it. The
//! holder runs a [`LeaseTask`] for one [`Term`]. Every write of a term is conditional on the
//! fence row that the term's first transaction wrote; what a holder sends to others, who
//! do not look at the fence, it sends within windows that were committed before
//! ([`order_window`]). A few nodes watch over each holder ([`owner_watch`]).

mod leased_sets;
mod manager;
mod order_window;
mod owner_watch;
mod resource;
mod term;

pub(crate) use leased_sets::{LeasedSets, watch_leased_sets};
pub(crate) use manager::LeaseManager;
pub(crate) use order_window::OrderWindow;
pub(crate) use resource::{BatchSet, LeaseResource, LeaseTask};
pub(crate) use term::Term;
