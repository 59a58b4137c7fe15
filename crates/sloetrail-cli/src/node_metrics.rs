//! The metrics of nodes, as their metrics addresses tell them.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sloetrail_clients::{CallError, HttpClient};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// A node tells its metrics from memory; one that takes longer is as good as gone.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The metrics of a node with 64 routes and services are a tenth of this.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// One value of a gauge or counter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sample {
    pub(crate) name: String,
    pub(crate) labels: BTreeMap<String, String>,
    pub(crate) value: f64,
}

impl Sample {
    /// Reads a line in the text format; nothing for a comment or a line of another form. The
    /// labels that nodes give hold no quotes and no commas.
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

/// What the lines of an answer tell.
pub(crate) fn parse(text: &str) -> Vec<Sample> {
    text.lines().filter_map(Sample::parse).collect()
}

/// What became of the question to one node.
pub(crate) type Answer = Result<Vec<Sample>, String>;

/// Asks all nodes at the same time.
pub(crate) async fn ask(addresses: &[SocketAddr]) -> BTreeMap<SocketAddr, Answer> {
    let http = HttpClient::new();
    let mut asked = JoinSet::new();
    for address in addresses.iter().copied() {
        let http = http.clone();
        asked.spawn(async move { (address, ask_one(&http, address).await) });
    }
    asked.join_all().await.into_iter().collect()
}

async fn ask_one(http: &HttpClient, address: SocketAddr) -> Answer {
    let request = Request::builder()
        .uri(format!("http://{address}/metrics"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let answer = http.fetch(request, TIMEOUT, ANSWER_LIMIT_BYTES).await;
    let answer = answer.map_err(|error| match error {
        CallError::NotExecuted { reason } | CallError::Unknown { reason } => reason,
    })?;
    match answer.status.is_success() {
        true => Ok(parse(&String::from_utf8_lossy(&answer.body))),
        false => Err(format!("status {}", answer.status)),
    }
}

#[cfg(test)]
mod tests;
