//! A host's part in the ownership of its zone's workers.

/// A host's part in the ownership of its zone's workers; a greater one needs the ownership
/// records and the list of workers more urgently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolRole {
    /// Other hosts own the workers of its zone.
    Observer,
    /// Other hosts own the workers of its zone, and it is claiming a pool.
    Claimant,
    /// The workers of its zone have no owner: it may claim them.
    Candidate,
    /// It owns workers, and must not start tasks on those that are leaving.
    Owner,
}
