//! Scheduling mechanisms, which experiments can disable to measure the effect of each.

/// A scheduling mechanism.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Jobs of routes with a lower priority number run first.
    Priority,
    /// The remaining tasks of a started job run before late jobs.
    StartedFirst,
    /// Late jobs that cannot start in time are refused at once.
    Shedding,
    /// The speed of each worker is learned.
    Speeds,
    /// The duration of each route's tasks is learned.
    Durations,
    /// Runs with too little progress are stopped and restarted elsewhere.
    Stalls,
    /// Workers whose runs fail get only a probe.
    Health,
    /// Tasks are forwarded to schedulers of other zones while the own zone is full.
    Forwarding,
    /// Of two randomly drawn owners, the one with more spare capacity gets a job.
    TwoChoices,
    /// An owner is challenged through its ownership record before its pool is claimed.
    Challenge,
    /// Hosts with the fewest pools per core take over first.
    CandidateOrder,
    /// A task is not started on a worker where it would miss its objective.
    Fitting,
    /// A run has to fit with a margin on its duration, which shrinks while the job waits.
    Reserve,
    /// Jobs with the least remaining work run first; without it, those that must start first.
    LeastWork,
    /// Pools are transferred from owners with many pools to hosts that could own more.
    Balance,
    /// Jobs are admitted or rejected on arrival, by a forecast of their completion.
    Forecast,
    /// The whole queue is searched for a task that fits the free capacity.
    Backfill,
    /// Jobs are sent to another zone before a queue forms in their own.
    ZoneBalance,
    /// A job whose task has crashed several workers is given up.
    CrashLimit,
    /// The capacity of workers may change while they run.
    CapacityChanges,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 20] = [
        Self::Priority,
        Self::StartedFirst,
        Self::Shedding,
        Self::Speeds,
        Self::Durations,
        Self::Stalls,
        Self::Health,
        Self::Forwarding,
        Self::TwoChoices,
        Self::Challenge,
        Self::CandidateOrder,
        Self::Fitting,
        Self::Reserve,
        Self::LeastWork,
        Self::Balance,
        Self::Forecast,
        Self::Backfill,
        Self::ZoneBalance,
        Self::CrashLimit,
        Self::CapacityChanges,
    ];

    /// Mechanisms that are disabled unless the settings enable them.
    const OPTIONAL: [Self; 5] = [
        Self::Forecast,
        Self::Backfill,
        Self::ZoneBalance,
        Self::CrashLimit,
        Self::CapacityChanges,
    ];

    /// Returns the name used in settings.
    pub fn label(self) -> &'static str {
        match self {
            Self::Priority => "priority",
            Self::StartedFirst => "begun-first",
            Self::Shedding => "shedding",
            Self::Speeds => "speeds",
            Self::Durations => "durations",
            Self::Stalls => "stalls",
            Self::Health => "health",
            Self::Forwarding => "forwarding",
            Self::TwoChoices => "two-choices",
            Self::Challenge => "challenge",
            Self::CandidateOrder => "heir-order",
            Self::Fitting => "fitting",
            Self::Reserve => "reserve",
            Self::LeastWork => "least-work",
            Self::Balance => "balance",
            Self::Forecast => "forecast",
            Self::Backfill => "backfill",
            Self::ZoneBalance => "zone-balance",
            Self::CrashLimit => "crash-limit",
            Self::CapacityChanges => "capacity-changes",
        }
    }

    /// Returns the mechanism with this name in the settings.
    pub fn by_label(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|mechanism| mechanism.label() == name)
    }
}

/// The set of enabled mechanisms. By default those that every deployment needs are enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Bit set of the disabled mechanisms.
    disabled: u32,
}

impl Default for Policy {
    fn default() -> Self {
        let disabled = Mechanism::OPTIONAL.into_iter().map(bit).fold(0, |all, one| all | one);
        Self { disabled }
    }
}

impl Policy {
    /// Returns the policy with a mechanism enabled.
    #[must_use]
    pub fn with(mut self, mechanism: Mechanism) -> Self {
        self.disabled &= !bit(mechanism);
        self
    }

    /// Returns the policy with a mechanism disabled.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.disabled |= bit(mechanism);
        self
    }

    /// Returns whether a mechanism is enabled.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.disabled & bit(mechanism) == 0
    }

    /// Returns the mechanisms that are enabled by default and disabled here.
    pub fn disabled(self) -> impl Iterator<Item = Mechanism> {
        let default = Self::default();
        let all = Mechanism::ALL.into_iter();
        all.filter(move |mechanism| default.has(*mechanism) && !self.has(*mechanism))
    }

    /// Returns the mechanisms that are disabled by default and enabled here.
    pub fn enabled(self) -> impl Iterator<Item = Mechanism> {
        Mechanism::OPTIONAL.into_iter().filter(move |mechanism| self.has(*mechanism))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
