//! The `explain-request` command.

use crate::failure::Failure;
use crate::log_files::read_logs;
use crate::log_timeline::{as_text, gather};
use clap::ArgMatches;

/// Prints the timeline of an id from log files.
pub(crate) fn explain_request(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let id = matches
        .get_one::<String>("id")
        .expect("clap enforces required arguments");
    let texts = read_logs(matches)?;
    let timeline = gather(id, texts.iter().map(String::as_str));
    if as_json {
        let json = serde_json::to_string(&timeline).unwrap_or_default();
        println!("{json}");
        return Ok(());
    }
    print!("{}", as_text(id, &timeline));
    Ok(())
}
