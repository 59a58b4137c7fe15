//! Definition of the command line.

use clap::{Arg, Command, value_parser};
use std::net::SocketAddr;

pub(crate) fn command() -> Command {
    Command::new("sloetrail")
        .about("Operates a sloetrail deployment")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
        .subcommand(
            Command::new("validate")
                .about("Checks a service file without contacting a node")
                .after_help("Example: sloetrail validate examples/maelir.toml")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("check-configuration")
                .about("Checks a configuration of serving nodes and prints the numbers that are not used as written")
                .after_help("Example: sloetrail check-configuration configuration.json")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("plan")
                .about("Shows what an apply would change")
                .after_help(
                    "Example: sloetrail plan --node 127.0.0.1:7600 examples/maelir.toml",
                )
                .arg(node_arg())
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a service file atomically")
                .after_help(
                    "Example: sloetrail apply --node 127.0.0.1:7600 --base 7 examples/maelir.toml\n\
                     Exit code 4: the outcome is unknown; read it back with `sloetrail get --apply ID`.",
                )
                .arg(node_arg())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Refuse unless this is the current revision"),
                )
                .arg(
                    Arg::new("id")
                        .long("id")
                        .value_name("ID")
                        .help("Apply id; generated if absent"),
                )
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("get")
                .about("Reads the configuration in force in each zone, or the result of one apply")
                .after_help("Example: sloetrail get --node 127.0.0.1:7600")
                .arg(node_arg())
                .arg(
                    Arg::new("apply")
                        .long("apply")
                        .value_name("ID")
                        .help("Read the result of this apply"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows a node, its zone and its services")
                .after_help("Example: sloetrail status --node 127.0.0.1:7600")
                .arg(node_arg()),
        )
        .subcommand(
            Command::new("drain")
                .about("Stops sending new work to an engine and lets its current work finish")
                .after_help("Example: sloetrail drain --node 127.0.0.1:7600 vision-lm-3")
                .arg(node_arg())
                .arg(engine_arg()),
        )
        .subcommand(
            Command::new("resume")
                .about("Returns a drained engine to service")
                .after_help("Example: sloetrail resume --node 127.0.0.1:7600 vision-lm-3")
                .arg(node_arg())
                .arg(engine_arg()),
        )
        .subcommand(
            Command::new("explain")
                .about("Prints what a result code means")
                .after_help("Example: sloetrail explain 1107")
                .arg(
                    Arg::new("code")
                        .required(true)
                        .value_name("CODE")
                        .value_parser(value_parser!(u16)),
                ),
        )
        .subcommand(
            Command::new("explain-request")
                .about("Prints the timeline of one request, batch or item from the logs of several nodes")
                .after_help("Example: sloetrail explain-request 9c41d07be2a35f68 node-1.log node-2.log")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .value_name("ID")
                        .help("Id of a request, a batch, an item or a reward call"),
                )
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("step-report")
                .about("Breaks down the duration of training steps, from the logs of several nodes")
                .after_help("Example: sloetrail step-report node-1.log node-2.log")
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("usage")
                .about("Lists reported and missing usage windows, from the logs of several nodes")
                .after_help("Example: sloetrail usage node-1.log node-2.log")
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("zones")
                .about("Shows the progress of zone evacuations, from the metrics of several nodes")
                .after_help("Example: sloetrail zones 127.0.0.1:9464 127.0.0.2:9464")
                .arg(
                    Arg::new("addresses")
                        .required(true)
                        .num_args(1..)
                        .value_name("METRICS_ADDRESS")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Metrics addresses of nodes"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Checks the invariants of a recorded history")
                .after_help("Example: sloetrail check history.jsonl --only I4,I5")
                .arg(
                    Arg::new("only")
                        .long("only")
                        .value_name("NAMES")
                        .value_delimiter(',')
                        .help("Check only these invariants"),
                )
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("replay")
                .about("Replays a trace and compares its outcomes with the expected ones")
                .after_help("Example: sloetrail replay traces/withdrawn-sample.jsonl")
                .arg(file_arg()),
        )
}

fn file_arg() -> Arg {
    Arg::new("file").required(true).value_name("FILE")
}

fn logs_arg() -> Arg {
    Arg::new("logs")
        .required(true)
        .num_args(1..)
        .value_name("LOG")
        .help("Log files of nodes, in any order")
}

fn engine_arg() -> Arg {
    Arg::new("engine").required(true).value_name("ENGINE")
}

fn node_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .value_delimiter(',')
        .required(true)
        .help("One or more node addresses, tried in order until one answers")
}
