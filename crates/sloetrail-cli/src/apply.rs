//! The `validate`, `plan` and `apply` commands.

use crate::client::Client;
use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_config::{Change, Configuration, difference};
use sloetrail_node::messages::{ApplyAccepted, ApplyRequest, ConfigurationReport};
use sloetrail_result::ResultCode;
use sloetrail_types::{ApplyId, Revision};
use std::time::{SystemTime, UNIX_EPOCH};

struct ServiceFile {
    name: String,
    text: String,
    configuration: Configuration,
}

fn read_file(matches: &ArgMatches) -> Result<ServiceFile, Failure> {
    let name = matches
        .get_one::<String>("file")
        .expect("clap enforces required arguments");
    let text = std::fs::read_to_string(name)
        .map_err(|error| Failure::usage(ResultCode::FileUnreadable, format!("{name}: {error}")))?;
    let configuration = Configuration::parse(name, &text)?;
    Ok(ServiceFile {
        name: name.clone(),
        text,
        configuration,
    })
}

/// Checks a service file without contacting a node.
pub(crate) fn validate(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let file = read_file(matches)?;
    let configuration = &file.configuration;
    let (zones, services, runs) = (
        configuration.zones.len(),
        configuration.services.len(),
        configuration.runs.len(),
    );
    match as_json {
        true => println!(
            "{}",
            serde_json::json!({ "valid": true, "zones": zones, "services": services, "runs": runs })
        ),
        false => println!(
            "{}: valid ({zones} zones, {services} services, {runs} runs)",
            file.name
        ),
    }
    Ok(())
}

/// Prints the difference between the configuration in force and a service file.
pub(crate) async fn plan(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let file = read_file(matches)?;
    let client = Client::from_arguments(matches);
    let report: ConfigurationReport = client.get("/v1/configuration").await?;
    let current = match report.revision {
        Revision(0) => Configuration::default(),
        _ => Configuration::parse("in force", &report.text)?,
    };
    let changes = difference(&current, &file.configuration);
    if as_json {
        println!(
            "{}",
            serde_json::json!({ "base_revision": report.revision, "changes": changes })
        );
        return Ok(());
    }
    println!("Against revision {}:", report.revision);
    if changes.is_empty() {
        println!("  no change");
    }
    changes.iter().for_each(print_change);
    println!(
        "Apply with: sloetrail apply --base {} {}",
        report.revision, file.name
    );
    Ok(())
}

fn print_change(change: &Change) {
    let sign = match (&change.before, &change.after) {
        (None, Some(_)) => '+',
        (Some(_), None) => '-',
        _ => '~',
    };
    println!("  {sign} {}", change.entry);
    if let Some(before) = &change.before {
        println!("      was {before}");
    }
    if let Some(after) = &change.after {
        println!("      now {after}");
    }
}

/// Applies a service file. Text output starts with the apply id, printed before the request
/// is sent, so that an unknown outcome can be read back.
pub(crate) async fn apply(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let file = read_file(matches)?;
    let id = matches.get_one::<String>("id").cloned();
    let request = ApplyRequest {
        apply: ApplyId::new(id.unwrap_or_else(generate_apply_id)),
        file: file.name,
        text: file.text,
        base_revision: matches.get_one::<u64>("base").copied().map(Revision),
    };
    if !as_json {
        println!("Apply id: {}", request.apply);
    }
    let client = Client::from_arguments(matches);
    let accepted: ApplyAccepted = client.post("/v1/configuration", &request).await?;
    print_accepted(&accepted, as_json);
    Ok(())
}

pub(crate) fn print_accepted(accepted: &ApplyAccepted, as_json: bool) {
    if as_json {
        println!("{}", serde_json::json!({ "accepted": accepted }));
        return;
    }
    let zones: Vec<&str> = accepted.zones.iter().map(|zone| zone.as_str()).collect();
    println!(
        "Accepted as revision {}; in force in {}.",
        accepted.revision,
        zones.join(", ")
    );
}

/// Generates an apply id from the current time and the process id.
fn generate_apply_id() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let microseconds = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    format!("apply-{microseconds:x}-{}", std::process::id())
}
