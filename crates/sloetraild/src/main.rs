//! The sloetrail node daemon.
//!
//! Reads its settings from a file and flags, starts one node, and shuts down
//! gracefully on SIGTERM or SIGINT.

#![forbid(unsafe_code)]

mod command_line;

use clap::ArgMatches;
use log::LevelFilter;
use sloetrail_config::{ConfigError, NodeSettings};
use sloetrail_node::{LogFormat, Node, start_logging};
use sloetrail_result::ResultCode;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_START_FAILED: u8 = 3;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    let settings = match read_settings(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("sloetraild: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check-settings") {
        println!("settings are sound");
        return ExitCode::SUCCESS;
    }
    run(settings, &matches)
}

fn read_settings(matches: &ArgMatches) -> Result<NodeSettings, ConfigError> {
    let overrides = command_line::overrides(matches);
    let Some(file) = matches.get_one::<String>("settings") else {
        return NodeSettings::parse("flags", "", &overrides);
    };
    let text = std::fs::read_to_string(file).map_err(|error| ConfigError {
        file: file.clone(),
        line: 1,
        field: "-".to_owned(),
        code: ResultCode::FileUnreadable,
        message: error.to_string(),
    })?;
    NodeSettings::parse(file, &text, &overrides)
}

fn run(settings: NodeSettings, matches: &ArgMatches) -> ExitCode {
    let format = match matches.get_one::<String>("log-format").map(String::as_str) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    };
    let level = matches.get_one::<LevelFilter>("log-level");
    let level = level.copied().unwrap_or(LevelFilter::Info);
    if let Err(error) = start_logging(format, level, settings.node.as_str()) {
        eprintln!("sloetraild: {error}");
        return ExitCode::from(EXIT_START_FAILED);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => {
            eprintln!("sloetraild: failed to build the Tokio runtime: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

async fn serve(settings: NodeSettings) -> ExitCode {
    let signals = signal(SignalKind::terminate())
        .and_then(|terminate| Ok((terminate, signal(SignalKind::interrupt())?)));
    let (terminate, interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("sloetraild: failed to install signal handlers: {error}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    match Node::start(settings).await {
        Ok(node) => {
            // Reports the bound ports, which the system chooses if the settings have port 0.
            println!(
                "listening http={} gossip={}",
                node.http_address(),
                node.gossip_address()
            );
            wait_for_stop_signal(terminate, interrupt).await;
            node.stop().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sloetraild: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

async fn wait_for_stop_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
