//! Command line of the daemon: one flag per setting.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use log::LevelFilter;
use sloetrail_config::SettingsOverrides;

/// Maps a key of the settings file to a flag.
struct SettingFlag {
    key: &'static str,
    flag: &'static str,
    help: &'static str,
}

const SETTING_FLAGS: &[SettingFlag] = &[
    SettingFlag {
        key: "node",
        flag: "node",
        help: "Name of this incarnation of the node; must never be reused",
    },
    SettingFlag {
        key: "zone",
        flag: "zone",
        help: "Zone that the node runs in",
    },
    SettingFlag {
        key: "http_address",
        flag: "http-address",
        help: "IP address and port of the HTTP server",
    },
    SettingFlag {
        key: "gossip_address",
        flag: "gossip-address",
        help: "IP address and UDP port for membership messages",
    },
    SettingFlag {
        key: "platform.table",
        flag: "platform-table",
        help: "Address of the table service",
    },
    SettingFlag {
        key: "platform.objects",
        flag: "platform-objects",
        help: "Address of the object store",
    },
    SettingFlag {
        key: "platform.machines",
        flag: "platform-machines",
        help: "Address of the machine list",
    },
    SettingFlag {
        key: "platform.scoring",
        flag: "platform-scoring",
        help: "Address of the scoring service",
    },
    SettingFlag {
        key: "bounds.body_limit_bytes",
        flag: "body-limit-bytes",
        help: "Maximum size of a request body",
    },
    SettingFlag {
        key: "bounds.answer_limit_bytes",
        flag: "answer-limit-bytes",
        help: "Maximum size of a forwarded response",
    },
    SettingFlag {
        key: "bounds.request_read_timeout_ms",
        flag: "request-read-timeout-ms",
        help: "Timeout for reading a complete request",
    },
    SettingFlag {
        key: "bounds.connection_limit",
        flag: "connection-limit",
        help: "Maximum number of open client connections",
    },
    SettingFlag {
        key: "bounds.header_limit_bytes",
        flag: "header-limit-bytes",
        help: "Maximum size of a request head",
    },
    SettingFlag {
        key: "bounds.lease_duration_ms",
        flag: "lease-duration-ms",
        help: "Time without renewal after which a lease may be taken over",
    },
    SettingFlag {
        key: "bounds.configuration_freshness_ms",
        flag: "configuration-freshness-ms",
        help: "Time for which a configuration stays valid without confirmation",
    },
    SettingFlag {
        key: "bounds.engine_view_freshness_ms",
        flag: "engine-view-freshness-ms",
        help: "Time for which an engine may be selected without an update of its state",
    },
    SettingFlag {
        key: "bounds.drain_timeout_ms",
        flag: "drain-timeout-ms",
        help: "Time that a stopping node allows for requests in flight",
    },
];

pub(crate) fn command() -> Command {
    let settings = SETTING_FLAGS.iter().map(|setting| {
        Arg::new(setting.key)
            .long(setting.flag)
            .value_name("VALUE")
            .help(setting.help)
            .help_heading("Settings (these override the settings file)")
    });
    Command::new("sloetraild")
        .about("The sloetrail node daemon")
        .version(clap::crate_version!())
        .after_help("Example: sloetraild --settings node.toml --zone rvk")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file (TOML); see examples/node.toml"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Log format"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_parser(value_parser!(LevelFilter))
                .default_value("info")
                .help("Log level: off, error, warn, info, debug or trace"),
        )
        .args(settings)
}

/// Returns the settings given as flags.
pub(crate) fn overrides(matches: &ArgMatches) -> SettingsOverrides {
    let mut overrides = SettingsOverrides::default();
    for setting in SETTING_FLAGS {
        if let Some(value) = matches.get_one::<String>(setting.key) {
            overrides.set(setting.key, value);
        }
    }
    overrides
}
