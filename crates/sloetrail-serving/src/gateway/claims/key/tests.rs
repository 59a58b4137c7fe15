use super::IdempotencyKey;
use http::{HeaderMap, HeaderName, HeaderValue};
use sloetrail_types::TenantName;

const NAME: HeaderName = HeaderName::from_static("idempotency-key");

fn headers(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(NAME, HeaderValue::from_bytes(value).expect("a value"));
    }
    headers
}

fn is_refused(values: &[&[u8]]) -> bool {
    IdempotencyKey::read(&headers(values), &NAME).is_err()
}

fn digest(key: &str, tenant: Option<&str>) -> u128 {
    let read = IdempotencyKey::read(&headers(&[key.as_bytes()]), &NAME);
    let key = read.unwrap_or_default().expect("a key");
    key.digest(tenant.map(TenantName::from).as_ref())
}

#[test]
fn a_request_without_the_header_has_no_key() {
    let read = IdempotencyKey::read(&HeaderMap::new(), &NAME);
    assert!(matches!(read, Ok(None)));
}

#[test]
fn an_invalid_key_is_refused_and_not_ignored() {
    assert!(is_refused(&[b""]));
    assert!(is_refused(&[b"two words"]));
    assert!(is_refused(&["k\u{e4}".as_bytes()]));
    assert!(is_refused(&[&[b'k'; 201]]));
    assert!(is_refused(&[b"one", b"two"]));
    assert!(!is_refused(&[&[b'k'; 200]]));
}

#[test]
fn digests_differ_by_key_and_tenant() {
    let digests = [
        digest("k", None),
        digest("k", Some("a")),
        digest("k", Some("b")),
        digest("ak", None),
        digest("l", None),
    ];
    let distinct: std::collections::BTreeSet<u128> = digests.into_iter().collect();
    assert_eq!(distinct.len(), digests.len());
    assert_eq!(digest("k", Some("a")), digests[1]);
}
