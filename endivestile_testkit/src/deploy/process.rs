//! One entry host as a process.

use std::ffi::OsString;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use ureq::Agent;

use super::signal::Signal;
use super::wait_for;
use crate::lock::lock;
use crate::net::Topology;

/// How a daemon is started, before its own arguments.
#[derive(Debug, Clone)]
pub struct DaemonCommand {
    /// Executable.
    pub program: PathBuf,
    /// First arguments.
    pub args: Vec<OsString>,
}

impl DaemonCommand {
    /// Names an executable that takes the daemon's arguments itself.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self { program: program.into(), args: vec![] }
    }

    /// Starts the daemon with settings given as `section.key=value`.
    fn spawn(&self, settings: &[String]) -> io::Result<Child> {
        let mut command = Command::new(&self.program);
        command.args(&self.args);
        for setting in settings {
            command.arg("--set").arg(setting);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
    }
}

/// An entry host's process; dropping it kills the process.
#[derive(Debug)]
pub struct HostProcess {
    /// Name of the host.
    name: String,
    /// Address for callers.
    http: SocketAddr,
    /// How it is started.
    daemon: DaemonCommand,
    /// Its settings.
    settings: Vec<String>,
    /// The process.
    child: Child,
    /// Topology, which are told each new process.
    zones: Arc<Topology>,
    /// What it logged, over all restarts.
    log: Arc<Mutex<Vec<String>>>,
}

impl HostProcess {
    /// Starts the process.
    ///
    /// # Errors
    /// Those of the start, and a daemon that ended before it listened.
    pub(crate) fn start(
        name: &str,
        http: SocketAddr,
        daemon: &DaemonCommand,
        settings: Vec<String>,
        zones: &Arc<Topology>,
    ) -> io::Result<Self> {
        let log = Arc::default();
        let child = follow(daemon.spawn(&settings)?, &log);
        zones.set_host_pid(name, child.id());
        let (name, zones) = (name.to_owned(), Arc::clone(zones));
        Ok(Self { name, http, daemon: daemon.clone(), settings, child, zones, log })
    }

    /// Returns the name of the host.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.http
    }

    /// Returns the URL of a path at the host.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.http)
    }

    /// Returns the process's id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that it logged, over all restarts.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Tells whether a path answers with status 200 now.
    pub fn responds(&self, path: &str) -> bool {
        let agent: Agent = Agent::config_builder()
            .timeout_global(Some(std::time::Duration::from_secs(1)))
            .build()
            .into();
        agent.get(self.url(path)).call().is_ok()
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the host takes work; false when it ended or took too long.
    pub fn wait_ready(&mut self, limit_s: u64) -> bool {
        let mut ended = false;
        let ready = wait_for(limit_s, || {
            ended = !self.is_running();
            ended || self.responds("/ready")
        });
        ready && !ended
    }

    /// Kills the process at once, as a crash does.
    pub fn kill(&mut self) {
        // A process that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process.
    pub fn pause(&self) {
        Signal::Stop.send(self.pid());
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        Signal::Continue.send(self.pid());
    }

    /// Asks the process for a graceful shutdown.
    pub fn terminate(&self) {
        Signal::Terminate.send(self.pid());
    }

    /// Tells the process that its settings have changed.
    pub fn reload(&self) {
        Signal::Reload.send(self.pid());
    }

    /// Waits for the end of the process; none when it took too long.
    pub fn wait_exit(&mut self, limit_s: u64) -> Option<ExitStatus> {
        let mut status = None;
        wait_for(limit_s, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status
    }

    /// Adds a setting, in force from the next start on.
    pub fn add_setting(&mut self, assignment: &str) {
        self.settings.push(assignment.to_owned());
    }

    /// Starts the process anew after its end; it is another incarnation.
    ///
    /// # Errors
    /// Those of the start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = follow(self.daemon.spawn(&self.settings)?, &self.log);
        self.zones.set_host_pid(&self.name, self.child.id());
        Ok(())
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let log = self.log();
            let tail = log.len().saturating_sub(20);
            for line in &log[tail..] {
                eprintln!("{}: {line}", self.name);
            }
        }
    }
}

/// Collects what a process logs.
fn follow(mut child: Child, log: &Arc<Mutex<Vec<String>>>) -> Child {
    if let Some(output) = child.stdout.take() {
        let log = Arc::clone(log);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                lock(&log).push(line);
            }
        });
    }
    child
}
