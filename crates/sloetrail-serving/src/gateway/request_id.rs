//! The id of a request: its sender's, or one from the node.

use super::headers;
use crate::dialect::HeaderNames;
use http::HeaderMap;

/// The id of a request.
///
/// Invariant: it is never empty, so that a back end that echoes it has read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestId {
    text: String,
    is_of_sender: bool,
}

impl RequestId {
    /// The id that the sender gave, or a new one that no other request has.
    pub(super) fn of(head: &HeaderMap, names: &HeaderNames) -> Self {
        match headers::text(head, &names.request_id) {
            Some(given) if !given.is_empty() => Self {
                text: given.to_owned(),
                is_of_sender: true,
            },
            _ => Self {
                text: format!("{:032x}", rand::random::<u128>()),
                is_of_sender: false,
            },
        }
    }

    /// The id.
    pub(super) fn as_str(&self) -> &str {
        &self.text
    }

    /// The id as the name of a batch, which its trainer alone gives; empty if it gave none.
    pub(super) fn of_batch(&self) -> &str {
        match self.is_of_sender {
            true => &self.text,
            false => "",
        }
    }
}
