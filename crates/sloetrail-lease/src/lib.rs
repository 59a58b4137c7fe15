//! Ownership leases with epochs.
//!
//! A resource has at most one owner: the holder named in its lease record, a row of the
//! platform's table. The holder renews the record. A candidate that has seen the record
//! unchanged for longer than the lease duration, on its own clock, takes the lease over under
//! the next epoch. Clocks of different nodes are never compared.
//!
//! Invariant: each new holder has a higher epoch, also after a deletion of the record: candidates
//! know an epoch that no deleted lease exceeds. The lease alone does not protect data: a
//! holder that was suspended may still act as the owner. Each of its writes and orders
//! therefore carries its epoch, and stale ones are refused.

mod record;
mod watcher;

pub use record::LeaseRecord;
pub use watcher::{LeaseAction, LeaseWatcher, ObservedLease};

#[cfg(test)]
mod tests;
