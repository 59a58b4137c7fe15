//! Scraping and parsing of node metrics.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sloetrail_clients::{CallError, HttpClient};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// A node answers from memory; one that takes longer counts as unreachable.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(3);
/// About ten times the metrics of a node with 64 routes and services.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A value of a gauge or counter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sample {
    pub(crate) name: String,
    pub(crate) labels: BTreeMap<String, String>,
    pub(crate) value: f64,
}

impl Sample {
    /// Parses a line of the Prometheus text format. Returns None for comments and malformed
    /// lines. Label values with quotes or commas are not supported; nodes never export them.
    fn parse(line: &str) -> Option<Self> {
        let (series, value) = line.rsplit_once(' ')?;
        let value = value.parse().ok()?;
        let (name, labels) = match series.split_once('{') {
            Some((name, labels)) => (name, labels.strip_suffix('}')?),
            None => (series, ""),
        };
        let labels = labels.split(',').filter_map(|label| {
            let (key, value) = label.split_once('=')?;
            Some((key.to_owned(), value.trim_matches('"').to_owned()))
        });
        Some(Self {
            name: name.to_owned(),
            labels: labels.collect(),
            value,
        })
    }
}

/// Parses a response in the Prometheus text format and skips lines without a sample.
pub(crate) fn parse(text: &str) -> Vec<Sample> {
    text.lines().filter_map(Sample::parse).collect()
}

/// The samples of one node, or the reason why it could not be scraped.
pub(crate) type ScrapeResult = Result<Vec<Sample>, String>;

/// Scrapes all nodes concurrently.
pub(crate) async fn scrape_all(addresses: &[SocketAddr]) -> BTreeMap<SocketAddr, ScrapeResult> {
    let http = HttpClient::new();
    let mut scrapes = JoinSet::new();
    for address in addresses.iter().copied() {
        let http = http.clone();
        scrapes.spawn(async move { (address, scrape(&http, address).await) });
    }
    scrapes.join_all().await.into_iter().collect()
}

async fn scrape(http: &HttpClient, address: SocketAddr) -> ScrapeResult {
    let request = Request::builder()
        .uri(format!("http://{address}/metrics"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let response = http
        .fetch(request, SCRAPE_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    let response = response.map_err(|error| match error {
        CallError::NotExecuted { reason } | CallError::Unknown { reason } => reason,
    })?;
    match response.status.is_success() {
        true => Ok(parse(&String::from_utf8_lossy(&response.body))),
        false => Err(format!(
            "expected a success status, got {}",
            response.status
        )),
    }
}

#[cfg(test)]
mod tests;
