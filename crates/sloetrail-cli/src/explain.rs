//! The `explain` command.

use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_result::{Kind, ResultCode};

/// Prints the meaning of a result code and the recommended action.
pub(crate) fn explain(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let number = *matches
        .get_one::<u16>("code")
        .expect("clap enforces required arguments");
    let Some(code) = ResultCode::from_number(number) else {
        let detail = format!("unknown result code {number}");
        return Err(Failure::usage(ResultCode::OutOfBounds, detail));
    };
    if as_json {
        println!(
            "{}",
            serde_json::json!({
                "code": number, "title": code.title(), "kind": code.kind(),
                "status": code.status(), "meaning": code.meaning(), "action": code.action(),
            })
        );
        return Ok(());
    }
    let kind = match code.kind() {
        Kind::NotRun => "not run: proved, nothing was executed or changed",
        Kind::OutcomeUnknown => "outcome unknown: it may have run",
        Kind::RanAndFailed => "ran and failed",
    };
    println!("{number} {}", code.title());
    println!("  {kind}");
    println!("  {}", code.meaning());
    println!("  {}", code.action());
    Ok(())
}
