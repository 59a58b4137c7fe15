//! The lab as a library; `main` only calls [`run`].
//!
//! `standins` are the platform's services, engines and back ends; `workload`
//! drives nodes as callers, trainers and operators do and records what they see;
//! `fleet` starts whole deployments, in one process or in many; `commands` are
//! the tools on the command line.

mod commands;
pub mod experiment;
pub mod fleet;
pub mod history_log;
pub mod standins;
pub mod workload;

pub use commands::run;
