use super::{OutgoingRequest, classify_head};
use crate::dialect::Dialect;
use crate::native_dialect::NativeDialect;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// Classifies the head of an answer to request `r1`.
fn classified(status: u16, echoed: Option<&'static str>, says_not_run: bool) -> &'static str {
    let dialect = NativeDialect::default();
    let names = dialect.headers();
    let outgoing = OutgoingRequest {
        request_id: "r1".to_owned(),
        method: Method::POST,
        path_and_query: "/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut head = HeaderMap::new();
    head.insert(names.signature.clone(), HeaderValue::from_static("signed"));
    if let Some(echoed) = echoed {
        head.insert(names.request_id.clone(), HeaderValue::from_static(echoed));
    }
    if says_not_run {
        head.insert(names.not_run.clone(), HeaderValue::from_static("1"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    let result = classify_head(status, &head, names, &outgoing);
    result.map_or("accepted", |result| result.as_str())
}

/// Guards against a late refusal of another request that is taken for proof that this one did not run.
#[test]
fn a_refusal_of_another_request_proves_nothing() {
    assert_eq!(classified(503, Some("r0"), true), "lost");
    assert_eq!(classified(421, Some("r0"), false), "lost");
    assert_eq!(classified(200, Some("r0"), false), "lost");
}

#[test]
fn a_refusal_of_this_request_or_without_an_id_is_believed() {
    for echoed in [Some("r1"), None] {
        assert_eq!(classified(503, echoed, true), "not run");
        assert_eq!(classified(421, echoed, false), "wrong instance");
    }
    assert_eq!(classified(200, Some("r1"), false), "accepted");
    assert_eq!(classified(200, None, false), "lost");
}
