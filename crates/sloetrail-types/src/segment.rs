//! The weight version of each token of a sample.

use crate::{EngineId, WeightVersion};
use serde::{Deserialize, Serialize};

/// Consecutive tokens of a sample that one engine generated with one weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub engine: EngineId,
    /// The version reported by the engine.
    pub version: WeightVersion,
    /// The zero-based index of the first token.
    pub first_token: u32,
    /// The zero-based index of the last token, inclusive.
    pub last_token: u32,
}

/// Returns the lowest version of the segments, or None if there are no segments.
pub fn oldest_version(segments: &[Segment]) -> Option<WeightVersion> {
    segments.iter().map(|segment| segment.version).min()
}

/// Returns true if the segments are contiguous from token 0 to `token_count - 1`.
pub fn segments_cover(segments: &[Segment], token_count: u32) -> bool {
    let mut next_token = 0;
    for segment in segments {
        if segment.first_token != next_token || segment.last_token < segment.first_token {
            return false;
        }
        next_token = segment.last_token + 1;
    }
    next_token == token_count
}
