//! `explain-request`.

use crate::failure::Failure;
use crate::log_story::{as_text, gather};
use clap::ArgMatches;
use sloetrail_result::ResultCode;

/// Prints the story of an id from log files.
pub(crate) fn explain_request(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let id = matches.get_one::<String>("id").expect("it is required");
    let files = matches.get_many::<String>("logs").expect("it is required");
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read(file).map_err(|error| {
            Failure::usage(ResultCode::FileUnreadable, format!("{file}: {error}"))
        })?;
        texts.push(String::from_utf8_lossy(&text).into_owned());
    }
    let story = gather(id, texts.iter().map(String::as_str));
    if as_json {
        let json = serde_json::to_string(&story).unwrap_or_default();
        println!("{json}");
        return Ok(());
    }
    print!("{}", as_text(id, &story));
    Ok(())
}
