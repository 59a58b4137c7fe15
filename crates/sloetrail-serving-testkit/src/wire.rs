//! The wire format in which a fake engine reads orders and reports its status.

use serde_json::{Value, json};
use sloetrail_serving::dialect::HeaderNames;
use std::collections::BTreeMap;

/// An order as parsed by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadOrder {
    pub model: String,
    pub version: u64,
    /// The lease holder that gives the order.
    pub holder: String,
    pub fence: u64,
    /// The order is valid only if the engine has accepted this many orders before.
    pub orders_taken: u64,
    /// True if running items are to end first.
    pub waits_for_runs: bool,
}

/// The engine side of a dialect.
pub trait EngineWire: Send + Sync {
    fn headers(&self) -> HeaderNames;
    fn status_path(&self) -> String;
    /// The body of a status response.
    fn status(&self, versions: &BTreeMap<String, u64>, busy: bool, orders_taken: u64) -> Value;
    fn order_path(&self) -> String;
    /// Parses an order. None if it is malformed.
    fn order(&self, body: &[u8]) -> Option<ReadOrder>;
    /// The table and value of the directory row of a back end. The key is the id of the back end.
    fn row(&self, listing: &Listing) -> (String, Value);
    /// The key and value of the row that publishes a version.
    fn published(&self, model: &str, version: u64) -> (String, Value);
    /// The key of the row that requests the evacuation of a zone.
    fn evacuation(&self, zone: &str) -> String;
}

/// The contents of the directory row of a back end.
#[derive(Clone, Debug)]
pub struct Listing {
    pub service: String,
    pub address: String,
    pub zone: String,
    /// The maximum number of concurrent requests.
    pub slots: usize,
    /// True if the back end accepts no new work.
    pub draining: bool,
    /// The rest of the cold period in milliseconds.
    pub cold_left_ms: u64,
    /// The weight version of each model.
    pub versions: BTreeMap<String, u64>,
    pub software: String,
    /// Start of this incarnation in Unix milliseconds.
    pub started_ms: u64,
}

/// The native dialect.
pub struct NativeWire;

impl EngineWire for NativeWire {
    fn headers(&self) -> HeaderNames {
        HeaderNames::native()
    }

    fn status_path(&self) -> String {
        "/v1/status".to_owned()
    }

    fn status(&self, versions: &BTreeMap<String, u64>, busy: bool, orders_taken: u64) -> Value {
        json!({"versions": versions, "busy": busy, "orders_taken": orders_taken})
    }

    fn order_path(&self) -> String {
        "/v1/orders".to_owned()
    }

    fn order(&self, body: &[u8]) -> Option<ReadOrder> {
        let order: Value = serde_json::from_slice(body).ok()?;
        Some(ReadOrder {
            model: order["model"].as_str()?.to_owned(),
            version: order["version"].as_u64()?,
            holder: order["holder"].as_str()?.to_owned(),
            fence: order["fence"].as_u64()?,
            orders_taken: order["orders_taken"].as_u64()?,
            waits_for_runs: order["change"] == "wait",
        })
    }

    fn row(&self, listing: &Listing) -> (String, Value) {
        let value = json!({
            "service": listing.service, "address": listing.address, "zone": listing.zone,
            "slots": listing.slots, "draining": listing.draining, "versions": listing.versions,
            "cold_left_ms": listing.cold_left_ms, "software": listing.software,
            "started_ms": listing.started_ms,
        });
        ("back_ends".to_owned(), value)
    }

    fn published(&self, model: &str, version: u64) -> (String, Value) {
        let value = json!({"model": model, "version": version});
        (format!("versions/{model}"), value)
    }

    fn evacuation(&self, zone: &str) -> String {
        format!("evacuations/{zone}")
    }
}
