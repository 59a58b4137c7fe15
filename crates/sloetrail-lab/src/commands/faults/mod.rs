//! Runs a deployment of real processes under injected faults and judges it.

mod injector;
mod kind;
mod outage;
mod run;

use super::{seed_argument, seed_of};
use crate::fleet::ProfileName;
use clap::{Arg, ArgMatches, Command, value_parser};
use kind::FaultKind;
use run::RunSettings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

pub(super) fn command() -> Command {
    Command::new("faults")
        .about("Runs node and engine processes under faults and checks what must hold")
        .after_help("Example: sloetrail-lab faults --seed 1 --profile maelir --seconds 40")
        .arg(seed_argument())
        .arg(
            Arg::new("only")
                .long("only")
                .value_delimiter(',')
                .value_parser(value_parser!(FaultKind))
                .help("Inject only these kinds"),
        )
        .arg(
            Arg::new("profile")
                .long("profile")
                .value_parser(value_parser!(ProfileName))
                .default_value("oyelaran"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("40")
                .help("How long faults are injected"),
        )
        .arg(
            Arg::new("outage-seconds")
                .long("outage-seconds")
                .value_parser(value_parser!(u64))
                .help("Take the store down once for this long and time the recovery, nothing else"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_parser(value_parser!(PathBuf))
                .help("Where logs and histories go; a temporary folder if absent"),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let seed = seed_of(matches);
    let only = matches.get_many::<FaultKind>("only");
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    let own_folder = || {
        let name = format!("sloetrail-faults-{}-{seed}", std::process::id());
        std::env::temp_dir().join(name)
    };
    let settings = RunSettings {
        seed,
        kinds: only.map_or_else(FaultKind::all, |kinds| kinds.copied().collect()),
        profile: *matches.get_one("profile").expect("it has a default"),
        during: Duration::from_secs(*matches.get_one("seconds").expect("it has a default")),
        folder: folder.unwrap_or_else(own_folder),
    };
    let outage = matches.get_one::<u64>("outage-seconds");
    let result = match outage {
        Some(seconds) => outage::run(settings, Duration::from_secs(*seconds)).await,
        None => run::run(settings).await,
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("faults: {reason}");
            ExitCode::FAILURE
        }
    }
}
