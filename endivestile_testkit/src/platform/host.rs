//! Runs entry hosts as processes against the stand-in for the users' platform.

use std::io;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::Arc;

use crate::deploy::{DaemonCommand, HostProcess};
use crate::net::Topology;

/// Listen address with an ephemeral port.
const ANY_PORT: &str = "127.0.0.1:0";

/// The process of one entry host. Dropping it kills the process.
#[derive(Debug)]
pub struct PlatformHost {
    process: HostProcess,
}

impl PlatformHost {
    /// Starts the process with additional settings of the form `section.key=value`.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub fn start(
        daemon: &DaemonCommand,
        store: SocketAddr,
        name: &str,
        zone: &str,
        extra_settings: &[String],
    ) -> io::Result<Self> {
        let mut settings = vec![
            format!("host.name={name}"),
            format!("host.zone={zone}"),
            format!("host.http={ANY_PORT}"),
            format!("host.peers={ANY_PORT}"),
            format!("store.addresses={store}"),
            format!("metrics.page={ANY_PORT}"),
            "platform.adapter=fenced-workers".to_owned(),
        ];
        settings.extend_from_slice(extra_settings);
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let topology = Arc::new(Topology::default());
        let process = HostProcess::start(name, unknown_address, daemon, settings, &topology)?;
        Ok(Self { process })
    }

    /// Returns the text after `key` in the latest log line that contains `part`.
    /// `key` includes the equals sign.
    pub fn log_value(&self, part: &str, key: &str) -> Option<String> {
        let log = self.process.log();
        let line = log.iter().rev().find(|line| line.contains(part))?;
        line.split(' ').find_map(|word| word.strip_prefix(key)).map(str::to_owned)
    }

    /// Returns the number of log lines of all incarnations that contain `part`.
    pub fn count_lines(&self, part: &str) -> usize {
        self.process.log().iter().filter(|line| line.contains(part)).count()
    }

    /// Returns the log lines of all incarnations.
    pub fn log(&self) -> Vec<String> {
        self.process.log()
    }

    /// Returns the address of the caller interface after the latest start, or `None`
    /// before the first.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.log_value("event=started", "http=")?.parse().ok()
    }

    /// Returns the listen address for peers after the latest start, or `None` before
    /// the first.
    pub fn link_address(&self) -> Option<SocketAddr> {
        self.log_value("event=started", "links=")?.parse().ok()
    }

    /// Returns the address of the metrics page, or `None` before it is served.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.log_value("event=page_served", "address=")?.parse().ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: PlatformSignal) {
        match signal {
            PlatformSignal::Pause => self.process.pause(),
            PlatformSignal::Resume => self.process.resume(),
            PlatformSignal::Stop => self.process.terminate(),
            PlatformSignal::Reload => self.process.reload(),
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Waits up to `limit_s` seconds for the process to exit. Returns `None` on timeout.
    pub fn wait_exit(&mut self, limit_s: u64) -> Option<ExitStatus> {
        self.process.wait_exit(limit_s)
    }

    /// Kills the process without a shutdown.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Kills the process if it is running and starts a new incarnation.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process.restart()
    }
}

/// A signal to a host process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlatformSignal {
    /// Pauses the process.
    Pause,
    /// Resumes the process.
    Resume,
    /// Requests a graceful shutdown.
    Stop,
    /// Requests a reload of the settings.
    Reload,
}
