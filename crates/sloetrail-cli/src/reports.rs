//! The `get` and `status` commands.

use crate::apply::print_accepted;
use crate::client::Client;
use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_node::messages::{ApplyAccepted, ConfigurationReport, StatusReport, ZoneReport};

/// Prints the configuration in force in each zone, or the result of one apply.
pub(crate) async fn get(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let client = Client::from_arguments(matches);
    if let Some(apply) = matches.get_one::<String>("apply") {
        let accepted: ApplyAccepted = client.get(&format!("/v1/applies/{apply}")).await?;
        print_accepted(&accepted, as_json);
        return Ok(());
    }
    let report: ConfigurationReport = client.get("/v1/configuration").await?;
    if as_json {
        println!("{}", serde_json::json!({ "configuration": report }));
        return Ok(());
    }
    let confirmed = match report.confirmed {
        true => "confirmed",
        false => "not confirmed: the node could not reach the table or a majority of zones",
    };
    println!(
        "Node {}: revision {} ({confirmed})",
        report.node, report.revision
    );
    report.zones.iter().for_each(print_zone);
    Ok(())
}

fn print_zone(zone: &ZoneReport) {
    match (zone.revision, zone.heard_ms_ago) {
        (Some(revision), Some(age)) => {
            println!(
                "  {:<16} revision {revision}, heard from {age} ms ago",
                zone.zone
            );
        }
        (_, Some(age)) => println!(
            "  {:<16} not asked, last heard from {age} ms ago",
            zone.zone
        ),
        _ => println!("  {:<16} not asked, never heard from", zone.zone),
    }
}

/// Prints the status of a node, its zone, its services and what it owns.
pub(crate) async fn status(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let client = Client::from_arguments(matches);
    let report: StatusReport = client.get("/v1/status").await?;
    if as_json {
        println!("{}", serde_json::json!({ "status": report }));
        return Ok(());
    }
    println!(
        "Node {} in {}: {}, revision {}, {} nodes alive in the zone",
        report.node,
        report.zone,
        report.phase,
        report.revision,
        report.members.len()
    );
    for service in &report.services {
        println!(
            "  {}: {} engines listed, {} available on this node, {} requests in flight, {} waiting",
            service.service, service.listed, service.available, service.in_flight, service.waiting
        );
        for engine in &service.engines {
            let version = engine
                .version
                .map_or("-".to_owned(), |version| version.to_string());
            println!(
                "    {:<32} {:<12} {:<12} weights {version}",
                engine.engine, engine.zone, engine.state
            );
        }
    }
    for run in &report.owned_runs {
        println!("  owns run {run}");
    }
    for service in &report.owned_services {
        println!("  owns service {service}");
    }
    Ok(())
}
