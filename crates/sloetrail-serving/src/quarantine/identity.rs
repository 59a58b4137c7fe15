//! Identity of a request, independent of its request id.

use crate::dialect::HeaderNames;
use crate::gateway::attempt::OutgoingRequest;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method};
use sloetrail_batch::SubmittedItem;
use sloetrail_quarantine::{RequestDigest, RequestParts};
use sloetrail_types::TenantName;
use std::sync::OnceLock;

/// Who asked for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller that waits for the answer. The request may crash the back ends that run it.
    Caller,
    /// An accepted batch, for an item or its reward call. It is owed and never the cause of a crash.
    Batch,
}

/// The parts of a request that its digest covers. The digest is computed on first use, which
/// happens only after a back end of the service has crashed.
pub(crate) struct RequestIdentity {
    origin: RequestOrigin,
    tenant: Option<HeaderValue>,
    host: Option<HeaderValue>,
    method: Method,
    path_and_query: String,
    body: Bytes,
    digest: OnceLock<RequestDigest>,
}

impl RequestIdentity {
    /// Identifies a request as it is sent to back ends.
    pub(crate) fn of(
        origin: RequestOrigin,
        outgoing: &OutgoingRequest,
        names: &HeaderNames,
    ) -> Self {
        Self {
            origin,
            tenant: outgoing.headers.get(&names.tenant).cloned(),
            host: outgoing.headers.get(HOST).cloned(),
            method: outgoing.method.clone(),
            path_and_query: outgoing.path_and_query.clone(),
            body: outgoing.body.clone(),
            digest: OnceLock::new(),
        }
    }

    pub(crate) fn of_item(tenant: Option<&TenantName>, host: &str, item: &SubmittedItem) -> Self {
        let tenant = tenant.map(|tenant| HeaderValue::from_str(tenant.as_str()));
        Self {
            origin: RequestOrigin::Batch,
            tenant: tenant.and_then(Result::ok),
            host: HeaderValue::from_str(host).ok(),
            method: Method::POST,
            path_and_query: item.path.clone(),
            body: item.body.clone(),
            digest: OnceLock::new(),
        }
    }

    /// True if the request may crash the back ends that run it.
    pub(super) fn is_suspect(&self) -> bool {
        self.origin == RequestOrigin::Caller
    }

    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            RequestDigest::of(RequestParts {
                tenant: bytes_of(self.tenant.as_ref()),
                host: bytes_of(self.host.as_ref()),
                method: self.method.as_str().as_bytes(),
                path_and_query: self.path_and_query.as_bytes(),
                body: &self.body,
            })
        })
    }
}

fn bytes_of(value: Option<&HeaderValue>) -> &[u8] {
    value.map_or(b"", HeaderValue::as_bytes)
}
