//! Starts, observes and stops the process of one entry host.

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

/// Command line that starts the daemon, without the daemon's own arguments.
#[derive(Debug, Clone)]
pub struct DaemonCommand {
    /// Path of the executable.
    pub program: PathBuf,
    /// Arguments that precede those of the daemon.
    pub args: Vec<OsString>,
}

impl DaemonCommand {
    /// Creates a command for an executable that accepts the daemon's arguments directly.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self { program: program.into(), args: vec![] }
    }

    /// Starts the daemon with settings of the form `section.key=value`.
    fn spawn(&self, settings: &[String]) -> io::Result<Child> {
        let mut command = Command::new(&self.program);
        command.args(&self.args);
        for setting in settings {
            command.arg("--set").arg(setting);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
    }
}

/// The process of one entry host. Dropping it kills the process.
#[derive(Debug)]
pub struct HostProcess {
    /// Name of the host.
    name: String,
    /// Address of the caller interface.
    http: SocketAddr,
    /// Command that starts the process.
    daemon: DaemonCommand,
    /// Settings of the form `section.key=value`.
    settings: Vec<String>,
    /// The current process.
    child: Child,
    /// Topology in which the id of each new process is registered.
    topology: Arc<Topology>,
    /// Log lines of all incarnations.
    log: Arc<Mutex<Vec<String>>>,
}

impl HostProcess {
    /// Starts the process.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub(crate) fn start(
        name: &str,
        http: SocketAddr,
        daemon: &DaemonCommand,
        settings: Vec<String>,
        topology: &Arc<Topology>,
    ) -> io::Result<Self> {
        let log = Arc::default();
        let child = collect_log(daemon.spawn(&settings)?, &log);
        topology.set_host_pid(name, child.id());
        let (name, topology) = (name.to_owned(), Arc::clone(topology));
        Ok(Self { name, http, daemon: daemon.clone(), settings, child, topology, log })
    }

    /// Returns the name of the host.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address of the caller interface.
    pub fn address(&self) -> SocketAddr {
        self.http
    }

    /// Returns the URL of a path on the host.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.http)
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log lines of all incarnations.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Returns whether a GET of the path succeeds within one second.
    pub fn responds(&self, path: &str) -> bool {
        let agent: Agent = Agent::config_builder()
            .timeout_global(Some(std::time::Duration::from_secs(1)))
            .build()
            .into();
        agent.get(self.url(path)).call().is_ok()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the host reports ready. Returns false when its process ends
    /// or `limit_s` seconds pass first.
    pub fn wait_ready(&mut self, limit_s: u64) -> bool {
        let mut exited = false;
        let done = wait_for(limit_s, || {
            exited = !self.is_running();
            exited || self.responds("/ready")
        });
        done && !exited
    }

    /// Kills the process without a shutdown, like a crash.
    pub fn kill(&mut self) {
        // Both calls fail when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        Signal::Stop.send(self.pid());
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        Signal::Continue.send(self.pid());
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) {
        Signal::Terminate.send(self.pid());
    }

    /// Requests that the process reload its settings.
    pub fn reload(&self) {
        Signal::Reload.send(self.pid());
    }

    /// Waits up to `limit_s` seconds for the process to exit. Returns `None` on timeout.
    pub fn wait_exit(&mut self, limit_s: u64) -> Option<ExitStatus> {
        let mut status = None;
        wait_for(limit_s, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status
    }

    /// Adds a setting that takes effect at the next start.
    pub fn add_setting(&mut self, assignment: &str) {
        self.settings.push(assignment.to_owned());
    }

    /// Kills the process if it is running and starts a new incarnation.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = collect_log(self.daemon.spawn(&self.settings)?, &self.log);
        self.topology.set_host_pid(&self.name, self.child.id());
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

/// Collects the lines of a process's standard output on a thread.
fn collect_log(mut child: Child, log: &Arc<Mutex<Vec<String>>>) -> Child {
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
