//! The `drain` and `resume` commands.

use crate::client::Client;
use crate::failure::Failure;
use clap::ArgMatches;

pub(crate) async fn drain(matches: &ArgMatches) -> Result<(), Failure> {
    send_engine_command(matches, "drain", "takes no new work").await
}

/// Returns a drained engine to service.
pub(crate) async fn resume(matches: &ArgMatches) -> Result<(), Failure> {
    send_engine_command(matches, "resume", "takes work again").await
}

async fn send_engine_command(
    matches: &ArgMatches,
    verb: &str,
    effect: &str,
) -> Result<(), Failure> {
    let engine = matches
        .get_one::<String>("engine")
        .expect("clap enforces required arguments");
    let client = Client::from_arguments(matches);
    let path = format!("/v1/engines/{engine}/{verb}");
    client.post_empty(&path).await?;
    println!("Engine {engine} {effect}.");
    Ok(())
}
