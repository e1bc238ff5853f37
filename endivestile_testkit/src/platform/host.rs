//! Entry hosts as processes on the stand-in for the users' platform.

use std::io;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::Arc;

use crate::deploy::{DaemonCommand, HostProcess};
use crate::net::Topology;

/// Address that binds any free port.
const ANY_PORT: &str = "127.0.0.1:0";

/// An entry host's process; dropping it kills the process.
#[derive(Debug)]
pub struct PlatformHost {
    process: HostProcess,
}

impl PlatformHost {
    /// Starts the process; `more` are further settings.
    ///
    /// # Errors
    /// Those of the start.
    pub fn start(
        daemon: &DaemonCommand,
        store: SocketAddr,
        name: &str,
        zone: &str,
        more: &[String],
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
        settings.extend_from_slice(more);
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let zones = Arc::new(Topology::default());
        let process = HostProcess::start(name, unknown, daemon, settings, &zones)?;
        Ok(Self { process })
    }

    /// Returns the value of `key` in the latest line that holds `part`.
    pub fn log_value(&self, part: &str, key: &str) -> Option<String> {
        let log = self.process.log();
        let line = log.iter().rev().find(|line| line.contains(part))?;
        line.split(' ').find_map(|word| word.strip_prefix(key)).map(str::to_owned)
    }

    /// Returns how many lines hold `part`, over all restarts.
    pub fn count_lines(&self, part: &str) -> usize {
        self.process.log().iter().filter(|line| line.contains(part)).count()
    }

    /// Returns the lines that it logged, over all restarts.
    pub fn log(&self) -> Vec<String> {
        self.process.log()
    }

    /// Returns the address for callers of the latest start; none before it listens.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.log_value("event=started", "http=")?.parse().ok()
    }

    /// Returns where its links listen since the latest start; none before they do.
    pub fn link_address(&self) -> Option<SocketAddr> {
        self.log_value("event=started", "links=")?.parse().ok()
    }

    /// Returns the address of its page of counts; none before it listens.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.log_value("event=page_served", "address=")?.parse().ok()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: PlatformSignal) {
        match signal {
            PlatformSignal::Pause => self.process.pause(),
            PlatformSignal::Resume => self.process.resume(),
            PlatformSignal::Stop => self.process.terminate(),
            PlatformSignal::Reload => self.process.reload(),
        }
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Waits for the end of the process; none when it took too long.
    pub fn wait_exit(&mut self, limit_s: u64) -> Option<ExitStatus> {
        self.process.wait_exit(limit_s)
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Starts the process anew; it is another incarnation.
    ///
    /// # Errors
    /// Those of the start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process.restart()
    }
}

/// A signal to a host's process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlatformSignal {
    /// Pauses it.
    Pause,
    /// Lets it go on.
    Resume,
    /// Asks for a graceful shutdown.
    Stop,
    /// Says that the settings have changed.
    Reload,
}
