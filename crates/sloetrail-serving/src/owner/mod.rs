//! The owner of a service's batches: one node at a time.
//!
//! Each node keeps an eye on the lease of each service that runs batches
//! ([`lease_keeper`]). The holder runs a [`service_owner::ServiceOwner`]: it loads the
//! open batches from the table, sends items to engines ([`run`]), has whole texts
//! scored ([`reward`]), commits results in groups ([`committer`]) and brings the
//! engines to the published versions ([`rollout_plan`], [`weights`]). Every write of a term is
//! conditional on the fence row that the term's first transaction wrote; orders to
//! engines are given only within windows that were committed before ([`order_window`]).

mod assignment;
mod committer;
mod engine;
mod engines;
mod event;
mod item_story;
mod lease_keeper;
mod loading;
mod order_window;
mod owner_watch;
mod pace;
mod publications;
mod reward;
mod rollout_plan;
mod run;
mod service_owner;
mod sweeper;
mod term;
mod usage;
mod weights;

pub(crate) use lease_keeper::supervise;
