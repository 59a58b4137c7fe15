//! Idempotency keys of callers.

use http::{HeaderMap, HeaderName, HeaderValue};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{TenantName, digest_of_parts};

/// Longer than any random id, and short enough that keys cost little memory.
const MAX_KEY_BYTES: usize = 200;

/// An idempotency key.
///
/// Implements neither `Debug` nor `Display`, so that it cannot appear in logs, rows, answers or
/// requests to back ends.
pub(super) struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Reads the key from a request's headers. None if the header is absent.
    ///
    /// # Errors
    ///
    /// If there are several keys, or the value is not 1 to 200 visible ASCII characters.
    pub(super) fn read(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Self>, Problem> {
        let mut values = headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(Problem::new(
                ResultCode::InvalidKey,
                "expected one idempotency key, got several",
            ));
        }
        Self::check(value).map(Some)
    }

    fn check(value: &HeaderValue) -> Result<Self, Problem> {
        let text = value.to_str().unwrap_or_default();
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_visible {
            let detail = format!(
                "an idempotency key must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
            );
            return Err(Problem::new(ResultCode::InvalidKey, detail));
        }
        Ok(Self(text.to_owned()))
    }

    /// Digest that represents the key in the table. Includes the tenant, so that equal keys of
    /// different tenants do not collide.
    pub(super) fn digest(&self, tenant: Option<&TenantName>) -> u128 {
        let tenant = tenant.map_or("", TenantName::as_str);
        digest_of_parts(&[tenant.as_bytes(), self.0.as_bytes()])
    }
}

#[cfg(test)]
mod tests;
