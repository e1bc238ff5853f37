//! Faults of one machine.

/// What goes wrong at a machine, until another fault is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MachineFault {
    /// Nothing.
    #[default]
    None,
    /// The port is closed and open connections are cut; running tasks go on.
    Refuse,
    /// Takes the task, closes the connection after reading the request, and runs it.
    Close,
    /// Runs the task, sends half of the answer and closes the connection.
    Truncate,
    /// Runs the task and answers this many milliseconds late.
    Delay(u64),
    /// Takes the task and fails it at once with this status.
    Status(u16),
    /// Says that it is full and starts nothing.
    Busy,
    /// Says that it is leaving and starts nothing.
    Leaving,
    /// Runs this many in a hundred tasks ten times slower.
    Straggle(u8),
    /// Runs tasks and never answers.
    Silent,
}

/// Factor by which a straggling task takes longer.
pub(crate) const STRAGGLE: f64 = 10.0;
