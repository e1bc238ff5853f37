//! Injectable faults of a machine.

/// Fault of a machine, in effect until another one is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MachineFault {
    /// No fault.
    #[default]
    None,
    /// Closes the port and all connections. Running tasks continue.
    Refuse,
    /// Reads the request, closes the connection and runs the task.
    Close,
    /// Runs the task, sends half of the answer's body and closes the connection.
    Truncate,
    /// Runs the task and delays the answer by this many milliseconds.
    Delay(u64),
    /// Accepts the task and fails it at once with this HTTP status.
    Status(u16),
    /// Rejects tasks as if all slots were in use.
    Busy,
    /// Rejects tasks because the machine is leaving.
    Leaving,
    /// Runs this percentage of the tasks ten times slower.
    Straggle(u8),
    /// Runs tasks, never answers and keeps the connection open.
    Unresponsive,
}

/// Factor by which the run time of a straggler increases.
pub(crate) const STRAGGLER_FACTOR: f64 = 10.0;
