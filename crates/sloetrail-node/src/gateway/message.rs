//! A caller's request and its answer, as the parts of the gateway hand them on.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use sloetrail_config::Service;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::digest;

const KEY_HEADER: &str = "idempotency-key";
const KEY_LENGTH_LIMIT: usize = 200;

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// True if running it twice does what running it once does.
    pub(super) fn may_repeat(&self, service: &Service) -> bool {
        let idempotent = matches!(
            self.method,
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
        );
        idempotent || (self.method == Method::POST && service.repeatable_posts)
    }

    pub(super) fn key(&self) -> Result<Option<String>, Problem> {
        let Some(value) = self.headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = value.to_str().unwrap_or_default();
        let sound = !key.is_empty()
            && key.len() <= KEY_LENGTH_LIMIT
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if sound {
            return Ok(Some(key.to_owned()));
        }
        Err(Problem::new(
            ResultCode::InvalidKey,
            "the key must be 1 to 200 visible ASCII characters",
        ))
    }

    pub(super) fn digest(&self) -> u64 {
        let mut bytes = format!("{} {}\n", self.method, self.path_and_query).into_bytes();
        bytes.extend_from_slice(&self.body);
        digest(&bytes)
    }
}

/// An engine's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
