//! The length that a trainer hints for an item.

use http::HeaderName;
use sloetrail_batch::SubmittedItem;

/// Returns the hint in the item's headers, or its tokens if there is none.
pub(crate) fn hinted_length(item: &SubmittedItem, hint_header: &HeaderName) -> u64 {
    let hinted = item
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case(hint_header.as_str()))
        .and_then(|(_, value)| value.trim().parse().ok());
    hinted.unwrap_or(item.tokens)
}
