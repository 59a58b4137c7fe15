//! The wire format of a deployment.
//!
//! The serving code uses its own types. A [`Dialect`] maps them to the headers, table rows and
//! engine calls of a deployment; [`crate::native_dialect::NativeDialect`] is the default.

use crate::back_end::{BackEnd, EngineStatus, OrderAnswer, VersionOrder};
use crate::table::RowAddress;
use bytes::Bytes;
use http::{HeaderName, Method, StatusCode};
use sloetrail_types::{WeightVersion, ZoneName};
use snafu::Snafu;

/// The names of the headers that carry request metadata.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request's id, echoed in the answer.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The back end's signature on an answer.
    pub signature: HeaderName,
    /// The only incarnation of a back end that may run the request.
    pub expected_instance: HeaderName,
    /// The incarnation of the back end that answers.
    pub instance: HeaderName,
    /// Present on an answer to a request that was not run.
    pub not_run: HeaderName,
    /// The only weight version that may run the request.
    pub expected_version: HeaderName,
    /// The weight version that produces the events from here on. In lower case it is also a field
    /// of an event.
    pub weight_version: HeaderName,
    /// The number of the last event that the reader has received.
    pub last_event_id: HeaderName,
    /// The rank of a request at an engine, zero first.
    pub priority: HeaderName,
    /// How long a reader waits for new results, in milliseconds.
    pub wait_ms: HeaderName,
    /// The caller's estimate of a text's length in tokens.
    pub length_hint: HeaderName,
    /// The secret that identifies the caller's tenant.
    pub api_key: HeaderName,
    /// The tenant, sent to back ends.
    pub tenant: HeaderName,
    /// The key under which a request runs at most once, across repeats and nodes. None disables
    /// idempotency keys.
    pub idempotency_key: Option<HeaderName>,
    /// The configuration version under which a call was answered. None omits the header.
    pub configuration_version: Option<HeaderName>,
}

impl HeaderNames {
    /// Returns the names of the native dialect.
    pub fn native() -> Self {
        Self {
            request_id: HeaderName::from_static("sloetrail-request-id"),
            deadline_ms: HeaderName::from_static("sloetrail-deadline-ms"),
            signature: HeaderName::from_static("sloetrail-signature"),
            expected_instance: HeaderName::from_static("sloetrail-expected-engine"),
            instance: HeaderName::from_static("sloetrail-engine"),
            not_run: HeaderName::from_static("sloetrail-not-run"),
            expected_version: HeaderName::from_static("sloetrail-expected-version"),
            weight_version: HeaderName::from_static("sloetrail-weight-version"),
            last_event_id: HeaderName::from_static("last-event-id"),
            priority: HeaderName::from_static("sloetrail-priority"),
            wait_ms: HeaderName::from_static("sloetrail-wait-ms"),
            length_hint: HeaderName::from_static("sloetrail-length-hint"),
            api_key: HeaderName::from_static("sloetrail-api-key"),
            tenant: HeaderName::from_static("sloetrail-tenant"),
            idempotency_key: Some(HeaderName::from_static("idempotency-key")),
            configuration_version: Some(HeaderName::from_static("sloetrail-configuration-version")),
        }
    }
}

/// Paths of the calls of trainers and the platform. The id of the batch follows the path.
#[derive(Clone, Debug)]
pub struct CallerPaths {
    /// Reads results (GET) or ends a batch (DELETE).
    pub batches: String,
    /// Reads the body of an item (GET).
    pub batch_items: String,
}

impl Default for CallerPaths {
    fn default() -> Self {
        Self {
            batches: "/v1/batches/".to_owned(),
            batch_items: "/v1/batch-items/".to_owned(),
        }
    }
}

/// Locations of the rows that operators and back ends write.
#[derive(Clone, Debug)]
pub struct SourceRows {
    pub configuration: RowAddress,
    /// The table with one row for each back end, in the empty partition.
    pub directory_table: String,
}

/// A weight version that a trainer has published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    pub model: String,
    pub version: WeightVersion,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    pub method: Method,
    pub path: String,
    /// The JSON body; may be empty.
    pub body: Bytes,
}

/// A message that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("cannot be read: {message}"))]
pub struct DialectError {
    pub message: String,
}

/// Maps the types of the serving code to the wire format of a deployment.
pub trait Dialect: Send + Sync {
    fn headers(&self) -> &HeaderNames;

    fn paths(&self) -> &CallerPaths;

    /// True if results list the engine of each segment of a text. Otherwise the engines are not
    /// stored either.
    fn lists_segments(&self) -> bool {
        false
    }

    /// The query parameter for the oldest version that a reader of results accepts; None if
    /// readers cannot name one.
    fn oldest_version_parameter(&self) -> Option<&str> {
        None
    }

    fn sources(&self) -> &SourceRows;

    fn back_end(&self, id: &str, value: &[u8]) -> Result<BackEnd, DialectError>;

    /// Decodes a row of the configuration table as a published version; None if it is another
    /// row.
    fn published_version(&self, key: &str, value: &[u8]) -> Option<PublishedVersion>;

    /// Returns the zone that a row key of the configuration table evacuates; None if it is another
    /// row. The evacuation lasts as long as the row exists.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneName>;

    /// The call that requests the status of an engine.
    fn status_call(&self) -> EngineCall;

    fn status(&self, body: &[u8]) -> Result<EngineStatus, DialectError>;

    /// The call that orders an engine to change its weight version.
    fn order_call(&self, order: &VersionOrder) -> EngineCall;

    fn order_answer(&self, status: StatusCode) -> OrderAnswer;
}
