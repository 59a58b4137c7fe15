//! How the callers, engines and operators of a deployment spell things.
//!
//! The product works with its own types; a [`Dialect`] says which headers carry
//! them, where the operator's rows lie and how an engine is asked and ordered.
//! [`crate::native_dialect::NativeDialect`] is the product's own.

use crate::back_end::{BackEnd, EngineStatus, OrderAnswer, VersionOrder};
use crate::table::RowAddress;
use bytes::Bytes;
use http::{HeaderName, Method, StatusCode};
use sloetrail_types::{WeightVersion, ZoneName};
use snafu::Snafu;

/// The names of the headers that carry a request's particulars.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request's id, echoed in the answer.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The back end's signature on an answer.
    pub signature: HeaderName,
    /// The only life of a back end that may run the request.
    pub expected_instance: HeaderName,
    /// The life of the back end that answers.
    pub instance: HeaderName,
    /// Present on an answer to a request that was not run.
    pub not_run: HeaderName,
    /// The only version of the weights that may run the request.
    pub expected_version: HeaderName,
    /// The version of the weights that makes the events from here on; in lower
    /// case it also begins a line within an event.
    pub weight_version: HeaderName,
    /// The number of the last event that is held.
    pub last_event_id: HeaderName,
    /// The rank of a request at an engine, zero first.
    pub priority: HeaderName,
    /// How long a reader waits for news, in milliseconds.
    pub wait_ms: HeaderName,
    /// The caller's estimate of a text's length in tokens.
    pub length_hint: HeaderName,
    /// The secret by which a caller shows its tenant.
    pub api_key: HeaderName,
    /// The tenant, as back ends are told it.
    pub tenant: HeaderName,
    /// The key under which a request that may not repeat runs at most once, however often and
    /// to whatever node it is sent; without a name no request has one.
    pub idempotency_key: Option<HeaderName>,
    /// The version of the configuration that a call was answered under; without a name it is
    /// not told.
    pub configuration_version: Option<HeaderName>,
}

impl HeaderNames {
    /// The product's own names.
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

/// Paths of the calls that trainers and the platform make. A batch's id follows the
/// path.
#[derive(Clone, Debug)]
pub struct CallerPaths {
    /// Reading results (GET) and ending a batch (DELETE).
    pub batches: String,
    /// Reading the body of an item (GET).
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

/// Where the operator's and the back ends' rows lie.
#[derive(Clone, Debug)]
pub struct SourceRows {
    /// The row that holds the configuration.
    pub configuration: RowAddress,
    /// The table that lists the back ends, one row each, in the empty partition.
    pub directory_table: String,
}

/// A version of a model's weights that its trainer has published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightVersion,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The JSON body, which may be empty.
    pub body: Bytes,
}

/// A message that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("cannot be read: {message}"))]
pub struct DialectError {
    /// What is wrong with it.
    pub message: String,
}

/// How a deployment spells things.
pub trait Dialect: Send + Sync {
    /// The names of headers.
    fn headers(&self) -> &HeaderNames;

    /// The paths of batches.
    fn paths(&self) -> &CallerPaths;

    /// True if listed results name which engine made which events of a text. Where they do
    /// not, the engines are not kept either.
    fn lists_segments(&self) -> bool {
        false
    }

    /// The query parameter with which a reader of results names the oldest version that its
    /// trainer takes now; absent where readers cannot.
    fn oldest_version_parameter(&self) -> Option<&str> {
        None
    }

    /// Where the rows lie that others write.
    fn sources(&self) -> &SourceRows;

    /// Reads a back end's row.
    fn back_end(&self, id: &str, value: &[u8]) -> Result<BackEnd, DialectError>;

    /// Reads a row of the configuration's table as a published version, if it is one.
    fn published_version(&self, key: &str, value: &[u8]) -> Option<PublishedVersion>;

    /// Reads the key of a row of the configuration's table as the evacuation of a zone, if it
    /// is one. The row is there for as long as the operator asks for it.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneName>;

    /// The call that asks an engine for its status.
    fn status_call(&self) -> EngineCall;

    /// Reads an engine's status.
    fn status(&self, body: &[u8]) -> Result<EngineStatus, DialectError>;

    /// The call that gives an order.
    fn order_call(&self, order: &VersionOrder) -> EngineCall;

    /// Reads the answer to an order.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;
}
