//! Signals sent to host processes.

use std::process::Command;

/// A POSIX signal to a host process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Pauses the process.
    Stop,
    /// Resumes the process.
    Continue,
    /// Requests a graceful shutdown.
    Terminate,
    /// Requests a reload of the settings.
    Reload,
}

impl Signal {
    /// Sends the signal through the shell's `kill`, as the standard library supports only SIGKILL.
    pub(crate) fn send(self, pid: u32) {
        let name = match self {
            Self::Stop => "STOP",
            Self::Continue => "CONT",
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
        };
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill -{name} {pid} failed");
    }
}
