//! A node's own settings: who it is, where it listens, its bounds.

use crate::error::{ConfigError, Source};
use crate::raw::{RawBounds, RawSettings};
use sloetrail_result::ResultCode;
use sloetrail_types::{NodeId, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

/// Bounds on what a node takes in and how long it trusts what it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest request body, in bytes.
    pub body_limit_bytes: usize,
    /// Largest answer that is passed on, in bytes.
    pub answer_limit_bytes: usize,
    /// Time in which a caller must send its whole request.
    pub request_read_timeout: Duration,
    /// Caller connections open at a time.
    pub connection_limit: usize,
    /// Largest request head, in bytes.
    pub header_limit_bytes: usize,
    /// Time without renewal after which a lease may be taken over.
    pub lease_duration: Duration,
    /// Time for which a configuration counts as in force without confirmation.
    pub configuration_freshness: Duration,
    /// Time for which an engine may be chosen without news of it.
    pub engine_view_freshness: Duration,
    /// Time that a stopping node gives to what is in flight.
    pub drain_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        let source = Source { file: "", text: "" };
        check_bounds(&source, &RawBounds::default()).expect("the defaults are in bounds")
    }
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The machine list.
    pub machines: SocketAddr,
    /// The scoring service.
    pub scoring: SocketAddr,
}

/// A node's checked settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The name of this life of the node.
    pub node: NodeId,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Where it serves HTTP.
    pub http_address: SocketAddr,
    /// Where it exchanges membership messages over UDP.
    pub gossip_address: SocketAddr,
    /// Where the platform is.
    pub platform: PlatformAddresses,
    /// Its bounds.
    pub bounds: Bounds,
}

/// Settings given as flags, which go before the file's.
#[derive(Clone, Debug, Default)]
pub struct SettingsOverrides {
    /// Pairs of a dotted key and its value.
    pub values: Vec<SettingsOverride>,
}

/// One setting given as a flag.
#[derive(Clone, Debug)]
pub struct SettingsOverride {
    /// The key as it stands in the file, such as `platform.table`.
    pub key: String,
    /// The value as text.
    pub value: String,
}

impl SettingsOverrides {
    /// Adds a value for a key.
    pub fn set(&mut self, key: &str, value: &str) {
        self.values.push(SettingsOverride {
            key: key.to_owned(),
            value: value.to_owned(),
        });
    }
}

impl NodeSettings {
    /// Parses and checks a settings text. `file` is its name for error messages.
    pub fn parse(
        file: &str,
        text: &str,
        overrides: &SettingsOverrides,
    ) -> Result<Self, ConfigError> {
        let source = Source { file, text };
        let mut raw: RawSettings = source.parse()?;
        for entry in &overrides.values {
            apply_override(&source, &mut raw, &entry.key, &entry.value)?;
        }
        check_settings(&source, &raw)
    }
}

fn spanned_text(value: &str) -> Option<Spanned<String>> {
    Some(Spanned::new(0..0, value.to_owned()))
}

fn apply_override(
    source: &Source<'_>,
    raw: &mut RawSettings,
    key: &str,
    value: &str,
) -> Result<(), ConfigError> {
    let text_slot = match key {
        "node" => Some(&mut raw.node),
        "zone" => Some(&mut raw.zone),
        "http_address" => Some(&mut raw.http_address),
        "gossip_address" => Some(&mut raw.gossip_address),
        "platform.table" => Some(&mut raw.platform.table),
        "platform.objects" => Some(&mut raw.platform.objects),
        "platform.machines" => Some(&mut raw.platform.machines),
        "platform.scoring" => Some(&mut raw.platform.scoring),
        _ => None,
    };
    if let Some(slot) = text_slot {
        *slot = spanned_text(value);
        return Ok(());
    }
    let Some(slot) = bound_slot(&mut raw.bounds, key) else {
        return Err(source.error(0, key, ResultCode::UnknownField, "no such setting"));
    };
    let Ok(number) = value.parse() else {
        let message = format!("{value:?} is not a whole number");
        return Err(source.error(0, key, ResultCode::WrongType, message));
    };
    *slot = Some(Spanned::new(0..0, number));
    Ok(())
}

fn bound_slot<'a>(bounds: &'a mut RawBounds, key: &str) -> Option<&'a mut Option<Spanned<u64>>> {
    match key {
        "bounds.body_limit_bytes" => Some(&mut bounds.body_limit_bytes),
        "bounds.answer_limit_bytes" => Some(&mut bounds.answer_limit_bytes),
        "bounds.request_read_timeout_ms" => Some(&mut bounds.request_read_timeout_ms),
        "bounds.connection_limit" => Some(&mut bounds.connection_limit),
        "bounds.header_limit_bytes" => Some(&mut bounds.header_limit_bytes),
        "bounds.lease_duration_ms" => Some(&mut bounds.lease_duration_ms),
        "bounds.configuration_freshness_ms" => Some(&mut bounds.configuration_freshness_ms),
        "bounds.engine_view_freshness_ms" => Some(&mut bounds.engine_view_freshness_ms),
        "bounds.drain_timeout_ms" => Some(&mut bounds.drain_timeout_ms),
        _ => None,
    }
}

fn check_settings(source: &Source<'_>, raw: &RawSettings) -> Result<NodeSettings, ConfigError> {
    let node = source.well_formed_name("node", required(source, "node", &raw.node)?)?;
    let zone = source.well_formed_name("zone", required(source, "zone", &raw.zone)?)?;
    let platform = &raw.platform;
    Ok(NodeSettings {
        node: NodeId::new(node),
        zone: ZoneName::new(zone),
        http_address: address(source, "http_address", &raw.http_address)?,
        gossip_address: address(source, "gossip_address", &raw.gossip_address)?,
        platform: PlatformAddresses {
            table: address(source, "platform.table", &platform.table)?,
            objects: address(source, "platform.objects", &platform.objects)?,
            machines: address(source, "platform.machines", &platform.machines)?,
            scoring: address(source, "platform.scoring", &platform.scoring)?,
        },
        bounds: check_bounds(source, &raw.bounds)?,
    })
}

fn required<'a>(
    source: &Source<'_>,
    field: &str,
    value: &'a Option<Spanned<String>>,
) -> Result<&'a Spanned<String>, ConfigError> {
    value.as_ref().ok_or_else(|| {
        source.error(
            0,
            field,
            ResultCode::WrongType,
            "this setting is required, in the file or as a flag",
        )
    })
}

fn address(
    source: &Source<'_>,
    field: &str,
    value: &Option<Spanned<String>>,
) -> Result<SocketAddr, ConfigError> {
    let spanned = required(source, field, value)?;
    spanned.get_ref().parse().map_err(|_| {
        let message = format!("{:?} is not an IP number and a port", spanned.get_ref());
        source.error(
            spanned.span().start,
            field,
            ResultCode::OutOfBounds,
            message,
        )
    })
}

fn check_bounds(source: &Source<'_>, raw: &RawBounds) -> Result<Bounds, ConfigError> {
    let size = |field: &str, value: &Option<Spanned<u64>>, default, range| {
        source
            .bounded(field, value, default, range)
            .map(|number| number as usize)
    };
    let time = |field: &str, value: &Option<Spanned<u64>>, default, range| {
        source
            .bounded(field, value, default, range)
            .map(Duration::from_millis)
    };
    Ok(Bounds {
        body_limit_bytes: size(
            "bounds.body_limit_bytes",
            &raw.body_limit_bytes,
            1_048_576,
            1..=268_435_456,
        )?,
        answer_limit_bytes: size(
            "bounds.answer_limit_bytes",
            &raw.answer_limit_bytes,
            16_777_216,
            1..=268_435_456,
        )?,
        request_read_timeout: time(
            "bounds.request_read_timeout_ms",
            &raw.request_read_timeout_ms,
            10_000,
            10..=600_000,
        )?,
        connection_limit: size(
            "bounds.connection_limit",
            &raw.connection_limit,
            4_096,
            1..=65_536,
        )?,
        header_limit_bytes: size(
            "bounds.header_limit_bytes",
            &raw.header_limit_bytes,
            32_768,
            8_192..=1_048_576,
        )?,
        lease_duration: time(
            "bounds.lease_duration_ms",
            &raw.lease_duration_ms,
            3_000,
            200..=600_000,
        )?,
        configuration_freshness: time(
            "bounds.configuration_freshness_ms",
            &raw.configuration_freshness_ms,
            4_000,
            500..=60_000,
        )?,
        engine_view_freshness: time(
            "bounds.engine_view_freshness_ms",
            &raw.engine_view_freshness_ms,
            6_000,
            200..=60_000,
        )?,
        drain_timeout: time(
            "bounds.drain_timeout_ms",
            &raw.drain_timeout_ms,
            30_000,
            0..=3_600_000,
        )?,
    })
}
