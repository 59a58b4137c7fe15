//! Reading, writing and filtering of HTTP headers.

use crate::dialect::HeaderNames;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Returns the end-to-end headers: all but hop-by-hop headers, `Expect` and `Content-Length`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !connection_options.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
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

/// The header names listed in `Connection`, which are hop-by-hop too.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// The time that the caller waits for its answer, if it sent one.
pub(crate) fn caller_timeout(headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
    number(headers, &names.deadline_ms).map(Duration::from_millis)
}

/// The `Host` without its port; empty if missing.
pub(crate) fn host(headers: &HeaderMap) -> &str {
    let host = text(headers, &HOST).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

pub(crate) fn set_number(headers: &mut HeaderMap, name: &HeaderName, value: u64) {
    headers.insert(name.clone(), HeaderValue::from(value));
}

/// Sets a header, unless the text is not a valid header value.
pub(crate) fn set_text(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}
