//! The `check-configuration` command.

use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_result::ResultCode;
use sloetrail_routing::ServingConfiguration;

/// Checks the configuration of serving nodes without contacting a node. Prints the numbers that
/// nodes do not use as written, which is no failure.
pub(crate) fn check(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let name = matches
        .get_one::<String>("file")
        .expect("clap enforces required arguments");
    let json = std::fs::read(name)
        .map_err(|error| Failure::usage(ResultCode::FileUnreadable, format!("{name}: {error}")))?;
    let configuration = ServingConfiguration::parse(&json)
        .map_err(|error| Failure::usage(ResultCode::WrongType, format!("{name}: {error}")))?;
    let (routes, services) = (
        configuration.routes.iter().count(),
        configuration.services.len(),
    );
    let held = &configuration.held_numbers;
    if as_json {
        let held: Vec<_> = held
            .iter()
            .map(|held| {
                serde_json::json!({
                    "field": held.field, "given": held.given, "used": held.used
                })
            })
            .collect();
        let report = serde_json::json!({
            "valid": true, "routes": routes, "services": services, "held": held
        });
        println!("{report}");
        return Ok(());
    }
    println!("{name}: valid ({routes} routes, {services} services)");
    for held in held {
        println!("  {held}");
    }
    Ok(())
}
