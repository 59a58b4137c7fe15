//! The lab's command line.

mod bench;
mod demo;
mod engine;
mod experiment;
mod faults;
mod load;
mod platform;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::future::Future;
use std::process::ExitCode;

fn command_line() -> Command {
    Command::new("sloetrail-lab")
        .about("Stand-ins, load, faults and measurements for sloetrail")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("demo")
                .about("Runs the whole path in one process and checks what must hold")
                .after_help("Example: sloetrail-lab demo --json")
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("End with one line of JSON"),
                )
                .arg(seed_argument()),
        )
        .subcommand(engine::command())
        .subcommand(faults::command())
        .subcommand(bench::command())
        .subcommand(experiment::command())
        .subcommand(load::command())
        .subcommand(platform::command())
}

fn seed_argument() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Drives every random choice")
}

fn seed_of(matches: &ArgMatches) -> u64 {
    *matches.get_one("seed").expect("it has a default")
}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let matches = command_line().get_matches();
    match matches.subcommand() {
        Some(("demo", matches)) => block_on(demo::run(seed_of(matches), matches.get_flag("json"))),
        Some(("engine", matches)) => block_on(engine::run(matches)),
        Some(("platform", matches)) => block_on(platform::run(matches)),
        Some(("load", matches)) => block_on(load::run(matches)),
        Some(("experiment", matches)) => experiment::run(matches),
        Some(("bench", matches)) => block_on(bench::run(matches)),
        Some(("faults", matches)) => block_on(faults::run(matches)),
        _ => ExitCode::FAILURE,
    }
}

fn block_on(command: impl Future<Output = ExitCode>) -> ExitCode {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts")
        .block_on(command)
}
