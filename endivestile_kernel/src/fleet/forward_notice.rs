//! The notice to a job's front that tasks of the job may run under another owner.

/// Whether the front of a job knows that tasks of the job may be forwarded.
///
/// A successor of this owner cannot clear the workers of other owners, so a front that loses this
/// owner has to wait for the leases there. It has to know that before a task is forwarded, since
/// this owner may be lost right afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ForwardNotice {
    /// The front was not notified.
    #[default]
    Unsent,
    /// The front was notified and has not acknowledged it.
    Sent,
    /// The front has acknowledged the notice.
    Acknowledged,
}

/// What an owner does with a task that it could forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardStep {
    /// Notify the front, and keep the task meanwhile.
    Notify,
    /// Keep the task until the front acknowledges the notice.
    Wait,
    /// Forward the task.
    Forward,
}

impl ForwardNotice {
    /// Returns what to do with a task; `own_front` if this host is the front too, so that both are
    /// lost together.
    pub fn step(self, own_front: bool) -> ForwardStep {
        match self {
            Self::Unsent if !own_front => ForwardStep::Notify,
            Self::Sent if !own_front => ForwardStep::Wait,
            _ => ForwardStep::Forward,
        }
    }
}
