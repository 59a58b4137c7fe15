//! The key under which a caller sends a request, and sends it again.

use http::{HeaderMap, HeaderName, HeaderValue};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{TenantName, digest_of_parts};

/// Longer than any random id, and short enough that keys cost nothing.
const KEY_BYTES_LIMIT: usize = 200;

/// An idempotency key.
///
/// It has no form for people on purpose: it stands in no line, row, answer or request.
pub(super) struct IdempotencyKey(String);

impl IdempotencyKey {
    /// The key that a request carries, if it carries one.
    ///
    /// # Errors
    ///
    /// If there are several, or what is there is not one to 200 visible ASCII characters.
    pub(super) fn read(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Self>, Problem> {
        let mut values = headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(Problem::new(
                ResultCode::InvalidKey,
                "there are several keys",
            ));
        }
        Self::check(value).map(Some)
    }

    fn check(value: &HeaderValue) -> Result<Self, Problem> {
        let text = value.to_str().unwrap_or_default();
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > KEY_BYTES_LIMIT || !is_visible {
            let detail = format!("a key has 1 to {KEY_BYTES_LIMIT} visible ASCII characters");
            return Err(Problem::new(ResultCode::InvalidKey, detail));
        }
        Ok(Self(text.to_owned()))
    }

    /// What stands for the key in the table. Tenants do not meet in their keys.
    pub(super) fn digest(&self, tenant: Option<&TenantName>) -> u128 {
        let tenant = tenant.map_or("", TenantName::as_str);
        digest_of_parts(&[tenant.as_bytes(), self.0.as_bytes()])
    }
}

#[cfg(test)]
mod tests;
