//! Signals to processes of the rig.

use std::process::Command;

/// A signal to one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Pauses it.
    Stop,
    /// Lets it go on.
    Continue,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Says that the settings have changed.
    Reload,
}

impl Signal {
    /// Sends the signal by the shell's `kill`, as the standard library has only SIGKILL.
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
