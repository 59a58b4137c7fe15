//! Operating system processes of a deployment.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a process could not be started or signalled.
#[derive(Debug, Snafu)]
pub enum ChildError {
    /// The program is not built.
    #[snafu(display("{} is not built: run `cargo build --workspace` with the same profile", path.display()))]
    NotBuilt {
        /// Where it should be.
        path: PathBuf,
    },
    /// The system refused.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process did not say where it listens.
    #[snafu(display("{name} did not say where it listens"))]
    Silent {
        /// The process.
        name: String,
    },
}

/// A running process that said where it listens. Dropping it kills it.
pub struct ListeningChild {
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
}

/// A program of this workspace, beside the running one.
pub fn sibling_program(name: &str) -> Result<PathBuf, ChildError> {
    let own = std::env::current_exe().context(SystemSnafu {
        what: "finding the running program",
    })?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join(name));
    let first = own.with_file_name(name);
    candidates
        .find(|path| path.is_file())
        .ok_or(ChildError::NotBuilt { path: first })
}

impl ListeningChild {
    /// Starts a program and waits for its line `listening NAME=ADDRESS ...`. What
    /// it logs goes to a file.
    pub async fn start(
        program: &Path,
        arguments: &[String],
        log_file: &Path,
        name: &str,
    ) -> Result<Self, ChildError> {
        let what = format!("starting {name}");
        let log = File::create(log_file).context(SystemSnafu { what: &what })?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .context(SystemSnafu { what })?;
        let output = child.stdout.take().expect("it is piped");
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = line else {
            return SilentSnafu { name }.fail();
        };
        let addresses: BTreeMap<String, SocketAddr> = line
            .split_whitespace()
            .filter_map(|word| {
                let (key, address) = word.split_once('=')?;
                Some((key.to_owned(), address.parse().ok()?))
            })
            .collect();
        if addresses.is_empty() {
            return SilentSnafu { name }.fail();
        }
        Ok(Self { child, addresses })
    }

    /// Where it listens.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            // The process may have ended meanwhile.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(mut self) {
        // The process may have ended meanwhile.
        let _ = self.child.kill().await;
    }

    /// Asks it to stop and waits for its exit code; -1 if a signal or the timeout
    /// ended it.
    pub async fn terminate(mut self, timeout: Duration) -> i32 {
        self.signal(Signal::SIGTERM);
        match tokio::time::timeout(timeout, self.child.wait()).await {
            Ok(Ok(status)) => status.code().unwrap_or(-1),
            _ => -1,
        }
    }
}
