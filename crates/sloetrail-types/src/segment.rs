//! Which weights produced which tokens.

use crate::{EngineId, WeightVersion};
use serde::{Deserialize, Serialize};

/// A stretch of a sample's tokens that one engine produced with one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The engine that stamped the tokens.
    pub engine: EngineId,
    /// The version that the engine stamped on them.
    pub version: WeightVersion,
    /// Index of the first token of the stretch, counted from zero.
    pub first_token: u32,
    /// Index of the last token of the stretch, included.
    pub last_token: u32,
}

/// The lowest version among the segments, if there is one.
pub fn oldest_version(segments: &[Segment]) -> Option<WeightVersion> {
    segments.iter().map(|segment| segment.version).min()
}

/// True if the segments follow one another from token zero to `token_count - 1`.
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
