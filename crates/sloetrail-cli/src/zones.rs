//! The `zones` command: progress of zone evacuations, from the metrics of several nodes.

use crate::failure::Failure;
use crate::node_metrics::{self, Sample, ScrapeResult};
use clap::ArgMatches;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

const SECONDS: &str = "sloetrail_evacuation_seconds";
const RUNNING: &str = "sloetrail_evacuation_running";

/// State of a zone evacuation, summed over the nodes that answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct EvacuatedZone {
    /// Number of nodes on which the evacuation is in force.
    nodes: usize,
    /// Longest time for which it has been in force on one node.
    seconds: f64,
    /// Live requests and reward calls still running_count in the zone.
    live: u64,
    /// Batch items still running_count in the zone.
    items: u64,
}

#[derive(Debug, Default, PartialEq, Serialize)]
struct ZonesReport {
    zones: BTreeMap<String, EvacuatedZone>,
    /// Number of nodes that answered.
    answered: usize,
    /// Nodes that did not answer, with the reason.
    silent: BTreeMap<SocketAddr, String>,
}

/// Prints the progress of zone evacuations. Fails if no node answers.
pub(crate) async fn zones(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let addresses = matches.get_many::<SocketAddr>("addresses");
    let addresses: Vec<SocketAddr> = addresses.into_iter().flatten().copied().collect();
    let report = gather(node_metrics::scrape_all(&addresses).await);
    if report.answered == 0 {
        let reasons = report.silent.iter();
        let reasons: Vec<String> = reasons
            .map(|(address, reason)| format!("{address}: {reason}"))
            .collect();
        return Err(Failure::unreachable(reasons.join("; ")));
    }
    match as_json {
        true => println!("{}", serde_json::json!({ "evacuations": report })),
        false => print!("{}", as_text(&report)),
    }
    Ok(())
}

fn gather(answers: BTreeMap<SocketAddr, ScrapeResult>) -> ZonesReport {
    let mut report = ZonesReport::default();
    for (address, answer) in answers {
        match answer {
            Ok(samples) => {
                report.answered += 1;
                add_node(&mut report.zones, &samples);
            }
            Err(reason) => {
                report.silent.insert(address, reason);
            }
        }
    }
    report
}

/// Adds the metrics of one node. Ignores work in zones whose evacuation is not in force on
/// that node.
fn add_node(zones: &mut BTreeMap<String, EvacuatedZone>, samples: &[Sample]) {
    let in_force = samples.iter().filter(|sample| sample.name == SECONDS);
    for sample in in_force.filter(|sample| sample.value > 0.0) {
        let Some(name) = sample.labels.get("zone") else {
            continue;
        };
        let zone = zones.entry(name.clone()).or_default();
        zone.nodes += 1;
        zone.seconds = zone.seconds.max(sample.value);
        zone.live += running_count(samples, name, "live");
        zone.items += running_count(samples, name, "items");
    }
}

fn running_count(samples: &[Sample], zone: &str, kind: &str) -> u64 {
    let is_match = |sample: &&Sample| {
        let label = |name: &str| sample.labels.get(name).map(String::as_str);
        sample.name == RUNNING && label("zone") == Some(zone) && label("kind") == Some(kind)
    };
    let found = samples.iter().find(is_match);
    found.map_or(0, |sample| sample.value as u64)
}

fn as_text(report: &ZonesReport) -> String {
    let mut text = String::from("zone, in force on, since, live, items\n");
    for (name, zone) in &report.zones {
        // Writing to a `String` is infallible.
        let _ = writeln!(
            text,
            "{name} {} of {} nodes {:.1} s {} {}",
            zone.nodes, report.answered, zone.seconds, zone.live, zone.items
        );
    }
    for (address, reason) in &report.silent {
        let _ = writeln!(text, "{address} did not answer: {reason}");
    }
    text
}

#[cfg(test)]
mod tests;
