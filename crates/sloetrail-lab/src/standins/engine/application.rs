//! The answers of an ordinary application.

use serde::{Deserialize, Serialize};

const FILLER: &str = "0123456789abcdef";

/// An application's answer: the marker of the request and a filler whose length
/// the answer states, so that a part of it can be told from the whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationAnswer {
    /// The marker that the caller sent.
    pub marker: String,
    /// The length of the filler.
    pub length: usize,
    /// The filler.
    pub filler: String,
}

impl ApplicationAnswer {
    /// The answer to a marker.
    pub fn new(marker: &str, length: usize) -> Self {
        let filler: String = FILLER.chars().cycle().take(length).collect();
        Self {
            marker: marker.to_owned(),
            length,
            filler,
        }
    }

    /// True if the filler is all there.
    pub fn is_whole(&self) -> bool {
        *self == Self::new(&self.marker, self.length)
    }
}
