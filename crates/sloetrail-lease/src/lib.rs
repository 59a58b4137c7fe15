//! Ownership leases with epochs.
//!
//! A resource has at most one owner at a time: the holder named in its lease
//! record, a row of the platform's table. A holder renews the record; a
//! candidate that has watched the same record for longer than the lease
//! duration, on its own clock, writes itself in with the next epoch. No two
//! clocks are ever compared.
//!
//! Invariant: the epoch of a record grows with each new holder. The lease alone
//! never protects data. A holder that was frozen finds out by refusal, because
//! each of its writes and orders carries its epoch.

mod record;
mod watcher;

pub use record::LeaseRecord;
pub use watcher::{LeaseAction, LeaseWatcher, ObservedLease};

#[cfg(test)]
mod tests;
