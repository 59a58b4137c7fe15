//! The native dialect: JSON messages and the default names.

use crate::back_end::{BackEnd, EngineStatus, OrderAnswer, VersionChange, VersionOrder};
use crate::dialect::{
    CallerPaths, Dialect, DialectError, EngineCall, HeaderNames, PublishedVersion, SourceRows,
};
use crate::table::RowAddress;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, ServiceName, WeightVersion, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const PUBLISHED_VERSION_PREFIX: &str = "versions/";
const EVACUATION_PREFIX: &str = "evacuations/";
const OLDEST_VERSION_PARAMETER: &str = "oldest_version";

pub struct NativeDialect {
    headers: HeaderNames,
    paths: CallerPaths,
    sources: SourceRows,
}

impl NativeDialect {
    /// Replaces the header names.
    #[must_use]
    pub fn with_headers(mut self, headers: HeaderNames) -> Self {
        self.headers = headers;
        self
    }
}

impl Default for NativeDialect {
    fn default() -> Self {
        Self {
            headers: HeaderNames::native(),
            paths: CallerPaths::default(),
            sources: SourceRows {
                configuration: RowAddress::new("operator", "", "configuration"),
                directory_table: "back_ends".to_owned(),
            },
        }
    }
}

#[derive(Deserialize)]
struct BackEndRow {
    service: ServiceName,
    address: SocketAddr,
    zone: ZoneName,
    slots: usize,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    cold_left_ms: u64,
    #[serde(default)]
    versions: BTreeMap<String, WeightVersion>,
    #[serde(default)]
    software: Option<String>,
    #[serde(default)]
    started_ms: Option<u64>,
}

#[derive(Deserialize)]
struct PublishedRow {
    model: String,
    version: WeightVersion,
}

#[derive(Deserialize)]
struct StatusAnswer {
    versions: BTreeMap<String, WeightVersion>,
    busy: bool,
    orders_taken: u64,
    #[serde(default)]
    started_ms: Option<u64>,
}

#[derive(Serialize)]
struct OrderMessage<'a> {
    model: &'a str,
    version: WeightVersion,
    change: &'a str,
    holder: &'a str,
    fence: u64,
    orders_taken: u64,
}

impl Dialect for NativeDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn paths(&self) -> &CallerPaths {
        &self.paths
    }

    fn lists_segments(&self) -> bool {
        true
    }

    fn oldest_version_parameter(&self) -> Option<&str> {
        Some(OLDEST_VERSION_PARAMETER)
    }

    fn sources(&self) -> &SourceRows {
        &self.sources
    }

    fn back_end(&self, id: &str, value: &[u8]) -> Result<BackEnd, DialectError> {
        let row: BackEndRow = decode(value)?;
        let back_end = BackEnd {
            id: EngineId::of_incarnation(id, row.started_ms),
            instance: id.to_owned(),
            started_ms: row.started_ms,
            service: row.service,
            address: row.address,
            zone: row.zone,
            slots: row.slots,
            draining: row.draining,
            cold_remaining: Duration::from_millis(row.cold_left_ms),
            versions: row.versions,
            software: row.software,
        };
        back_end.checked()
    }

    fn published_version(&self, key: &str, value: &[u8]) -> Option<PublishedVersion> {
        key.strip_prefix(PUBLISHED_VERSION_PREFIX)?;
        let row: PublishedRow = decode(value).ok()?;
        let PublishedRow { model, version } = row;
        Some(PublishedVersion { model, version })
    }

    fn evacuated_zone(&self, key: &str) -> Option<ZoneName> {
        key.strip_prefix(EVACUATION_PREFIX).map(ZoneName::from)
    }

    fn status_call(&self) -> EngineCall {
        EngineCall {
            method: Method::GET,
            path: "/v1/status".to_owned(),
            body: Bytes::new(),
        }
    }

    fn status(&self, body: &[u8]) -> Result<EngineStatus, DialectError> {
        let answer: StatusAnswer = decode(body)?;
        Ok(EngineStatus {
            versions: answer.versions,
            busy: answer.busy,
            orders_taken: answer.orders_taken,
            started_ms: answer.started_ms,
        })
    }

    fn order_call(&self, order: &VersionOrder) -> EngineCall {
        let message = OrderMessage {
            model: &order.model,
            version: order.version,
            change: match order.change {
                VersionChange::Continue => "continue",
                VersionChange::Wait => "wait",
            },
            holder: &order.holder,
            fence: order.fence,
            orders_taken: order.orders_taken,
        };
        EngineCall {
            method: Method::POST,
            path: "/v1/orders".to_owned(),
            body: Bytes::from(serde_json::to_vec(&message).unwrap_or_default()),
        }
    }

    fn order_answer(&self, status: StatusCode) -> OrderAnswer {
        match status {
            StatusCode::ACCEPTED => OrderAnswer::Accepted,
            StatusCode::OK => OrderAnswer::AlreadyInForce,
            StatusCode::CONFLICT => OrderAnswer::Conflict,
            StatusCode::PRECONDITION_FAILED => OrderAnswer::Fenced,
            _ => OrderAnswer::Refused,
        }
    }
}

fn decode<'a, Message: Deserialize<'a>>(value: &'a [u8]) -> Result<Message, DialectError> {
    serde_json::from_slice(value).map_err(|error| DialectError {
        message: error.to_string(),
    })
}
