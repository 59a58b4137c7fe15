//! Numbered result codes and the problem documents that carry them.
//!
//! Every refusal or failure reported by a sloetrail program carries one
//! [`ResultCode`], which determines its number, [`Kind`] and HTTP status.
//! `docs/RESULT-CODES.md` documents the same table; a test compares the two.

mod code;
mod problem;

pub use code::{Kind, ResultCode};
pub use problem::{PROBLEM_CONTENT_TYPE, Problem};

#[cfg(test)]
mod tests;
