//! Callers, trainers and operators that record what they see.

mod callers;
mod http_json;
mod node_book;
mod open_loop;
mod operator;
mod trainer;

pub use callers::{CallerSettings, CallerTotals, run_callers};
pub use http_json::{JsonAnswer, send_json};
pub use node_book::{BookEntry, NodeBook};
pub use open_loop::{OpenLoopReport, OpenLoopSettings, run_open_loop};
pub use operator::{ApplyResult, apply_file, read_revisions, run_racing_operators};
pub use trainer::{TrainerReport, TrainerSettings, run_trainer};
