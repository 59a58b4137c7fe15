//! Reading of log files.

use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_result::ResultCode;

/// Reads the files of the `logs` argument. Invalid UTF-8 is replaced.
pub(crate) fn read_logs(matches: &ArgMatches) -> Result<Vec<String>, Failure> {
    let files = matches
        .get_many::<String>("logs")
        .expect("clap enforces required arguments");
    let read = |file: &String| {
        let text = std::fs::read(file).map_err(|error| {
            Failure::usage(ResultCode::FileUnreadable, format!("{file}: {error}"))
        })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    };
    files.map(read).collect()
}
