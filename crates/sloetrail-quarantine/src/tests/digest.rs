//! Digests of requests, and their text form.

use crate::{RequestDigest, RequestParts};

fn request(body: &str) -> RequestParts<'_> {
    RequestParts {
        tenant: b"tenant",
        host: b"a.example",
        method: b"POST",
        path_and_query: b"/live/x",
        body: body.as_bytes(),
    }
}

#[test]
fn each_part_changes_the_digest() {
    let same = RequestDigest::of(request("body"));
    assert_eq!(RequestDigest::of(request("body")), same);
    let others = [
        RequestParts {
            tenant: b"other",
            ..request("body")
        },
        RequestParts {
            host: b"b.example",
            ..request("body")
        },
        RequestParts {
            method: b"PUT",
            ..request("body")
        },
        RequestParts {
            path_and_query: b"/live/y",
            ..request("body")
        },
        RequestParts {
            path_and_query: b"/live/xb",
            ..request("ody")
        },
        request("bodies"),
    ];
    for other in others {
        assert_ne!(RequestDigest::of(other), same, "{other:?}");
    }
}

#[test]
fn digests_round_trip_and_malformed_texts_are_rejected() {
    let digest = RequestDigest::of(request("body"));
    assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    for text in [
        "",
        "12",
        "+1234567890123456789012345678901",
        "g2345678901234567890123456789012",
    ] {
        assert_eq!(RequestDigest::parse(text), None, "{text}");
    }
    let json = serde_json::to_string(&digest).expect("a text");
    assert_eq!(
        serde_json::from_str::<RequestDigest>(&json).ok(),
        Some(digest)
    );
}
