//! Open-loop load on running nodes.

use crate::workload::{BookEntry, NodeBook, OpenLoopSettings, run_open_loop};
use clap::{Arg, ArgMatches, Command, value_parser};
use sloetrail_types::{NodeId, ZoneName};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

pub(super) fn command() -> Command {
    Command::new("load")
        .about("Sends GET requests to nodes on an open-loop schedule")
        .after_help(
            "Example: sloetrail-lab load --node 127.0.0.1:7600 \
             --path /services/guide-app/app/guide --rate 200 --seconds 10",
        )
        .arg(
            Arg::new("node")
                .long("node")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("path").long("path").required(true))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(value_parser!(f64))
                .default_value("100"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("10"),
        )
        .arg(super::seed_argument())
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let book = NodeBook::default();
    for address in matches.get_many::<SocketAddr>("node").into_iter().flatten() {
        book.add(BookEntry {
            node: NodeId::new(address.to_string()),
            zone: ZoneName::from("unknown"),
            address: *address,
        });
    }
    let settings = OpenLoopSettings {
        path: matches
            .get_one::<String>("path")
            .cloned()
            .unwrap_or_default(),
        rate: *matches.get_one("rate").expect("it has a default"),
        during: Duration::from_secs(*matches.get_one("seconds").expect("it has a default")),
        useful_within: Duration::from_secs(2),
        seed: super::seed_of(matches),
    };
    let report = run_open_loop(settings, &book).await;
    println!(
        "{}",
        serde_json::to_string(&report).expect("reports are plain data")
    );
    ExitCode::SUCCESS
}
