//! The `check` and `replay` commands.

use crate::failure::Failure;
use clap::ArgMatches;
use sloetrail_history::{CheckBounds, Invariant, Verdict, merge_histories, read_history};
use sloetrail_result::ResultCode;

/// Checks the invariants of a recorded history. Fails if a selected invariant is violated or
/// was not checked.
pub(crate) fn check(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let selected = selected_invariants(matches)?;
    let text = read(matches)?;
    let events = read_history(&text)
        .map_err(|error| Failure::usage(ResultCode::HistoryUnreadable, error.to_string()))?;
    let events = merge_histories(vec![events]);
    let verdicts: Vec<Verdict> = sloetrail_history::check(&events, CheckBounds::default())
        .into_iter()
        .filter(|verdict| selected.contains(&verdict.invariant))
        .collect();
    for verdict in &verdicts {
        match as_json {
            true => println!("{}", serde_json::json!({ "verdict": verdict })),
            false => println!("{verdict}"),
        }
    }
    let failed = verdicts.iter().filter(|verdict| !verdict.holds()).count();
    match failed {
        0 => Ok(()),
        failed => Err(Failure::violated(format!(
            "{failed} of {} invariants are violated or were not checked",
            verdicts.len()
        ))),
    }
}

fn selected_invariants(matches: &ArgMatches) -> Result<Vec<Invariant>, Failure> {
    let Some(names) = matches.get_many::<String>("only") else {
        return Ok(Invariant::ALL.to_vec());
    };
    names
        .map(|name| {
            Invariant::from_name(name).ok_or_else(|| {
                let detail = format!("unknown invariant {name:?}: expected I1 to I9");
                Failure::usage(ResultCode::OutOfBounds, detail)
            })
        })
        .collect()
}

/// Replays a trace and prints outcomes that differ from the expected ones.
pub(crate) fn replay(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let text = read(matches)?;
    let report = sloetrail_history::replay(&text)
        .map_err(|error| Failure::usage(ResultCode::HistoryUnreadable, error.to_string()))?;
    match as_json {
        true => println!("{}", serde_json::json!({ "replay": report })),
        false => {
            println!("{} outcomes compared", report.compared);
            report
                .differences
                .iter()
                .for_each(|difference| println!("  {difference}"));
        }
    }
    match report.agrees() {
        true => Ok(()),
        false => Err(Failure::violated(
            "the replayed outcomes differ from those expected by the trace",
        )),
    }
}

fn read(matches: &ArgMatches) -> Result<String, Failure> {
    let name = matches
        .get_one::<String>("file")
        .expect("clap enforces required arguments");
    std::fs::read_to_string(name)
        .map_err(|error| Failure::usage(ResultCode::FileUnreadable, format!("{name}: {error}")))
}
