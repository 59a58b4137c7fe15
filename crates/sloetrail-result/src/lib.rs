//! Numbered result codes and the problem documents that carry them.
//!
//! Every refusal or failure that leaves a sloetrail program names one
//! [`ResultCode`]. The code fixes its number, its [`Kind`] and its HTTP status,
//! so the three kinds can never be mixed. `docs/RESULT-CODES.md` is the same
//! table for people; a test holds the two together.

mod code;
mod problem;

pub use code::{Kind, ResultCode};
pub use problem::{PROBLEM_CONTENT_TYPE, Problem};

#[cfg(test)]
mod tests;
