//! Headers on their way through a node.

use crate::dialect::HeaderNames;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The headers that go along: all but those of a single connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
        CONTENT_LENGTH,
    ]
    .contains(name)
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// A header's value as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A header's value as a whole number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// The time that a caller waits, if it says so.
pub(crate) fn caller_timeout(headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
    number(headers, &names.deadline_ms).map(Duration::from_millis)
}

/// The `Host` of a request without its port.
pub(crate) fn host(headers: &HeaderMap) -> &str {
    let host = text(headers, &HOST).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Sets a header to a number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: &HeaderName, value: u64) {
    headers.insert(name.clone(), HeaderValue::from(value));
}

/// Sets a header to a text; a text that no header can carry is left out.
pub(crate) fn set_text(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}
