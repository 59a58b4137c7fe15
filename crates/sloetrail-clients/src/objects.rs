//! The object store: bodies by key.

use crate::http_client::{CallError, HttpClient, accepted, json_request};
use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

const OBJECT_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A client of the object store.
#[derive(Clone)]
pub struct ObjectClient {
    http: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl ObjectClient {
    /// A client that waits `call_timeout` for each answer.
    pub fn new(http: HttpClient, address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            http,
            address,
            call_timeout,
        }
    }

    /// Stores a body. Storing the same body under the same key again is harmless.
    pub async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), CallError> {
        let path = format!("/v1/objects/{key}");
        let request = json_request(Method::PUT, self.address, &path, body)?;
        let response = self.fetch(request).await?;
        accepted(response).map(|_| ())
    }

    /// Reads a body, or nothing if the key is absent.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, CallError> {
        let path = format!("/v1/objects/{key}");
        let request = json_request(Method::GET, self.address, &path, Vec::new())?;
        let response = self.fetch(request).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        accepted(response).map(|response| Some(response.body))
    }

    /// Deletes a body. Deleting an absent one is harmless.
    pub async fn delete(&self, key: &str) -> Result<(), CallError> {
        let path = format!("/v1/objects/{key}");
        let request = json_request(Method::DELETE, self.address, &path, Vec::new())?;
        let response = self.fetch(request).await?;
        accepted(response).map(|_| ())
    }

    async fn fetch(
        &self,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<crate::RawResponse, CallError> {
        self.http
            .fetch(request, self.call_timeout, OBJECT_LIMIT_BYTES)
            .await
    }
}
