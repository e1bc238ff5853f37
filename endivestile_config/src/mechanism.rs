//! Policies of placing that a trial can leave out, to measure what each is worth.

/// One policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Routes with a lower priority number go first.
    Priority,
    /// The other tasks of a job that has begun go before late jobs.
    StartedFirst,
    /// Late jobs whose turn cannot come in time are refused at once.
    Shedding,
    /// The speed of each worker is learnt.
    Speeds,
    /// What the tasks of each route take is learnt.
    Durations,
    /// Runs that make too little progress are begun elsewhere.
    Stalls,
    /// Workers that fail what they start get no more than a probe.
    Health,
    /// Tasks go to placers of other zones while the own one is full.
    Forwarding,
    /// Of two owners drawn, the one with more room gets a job.
    TwoChoices,
    /// An owner is asked in its record before its pool is claimed.
    Challenge,
    /// Hosts with the least pools for their processor time take over first.
    CandidateOrder,
    /// A task is not started on a worker where it would miss its objective.
    Fitting,
    /// A place has to fit with a reserve that shrinks as a job waits.
    Reserve,
    /// Jobs with the least work left go first; without it, those that have to start first.
    LeastWork,
    /// Pools go from owners with many to hosts that could drive more.
    Balance,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 15] = [
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
    ];

    /// Returns the word for settings.
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
        }
    }

    /// Returns the policy of a word.
    pub fn by_label(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|mechanism| mechanism.label() == word)
    }
}

/// The policies in force: all of them, but for trials.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policy {
    left_out: u32,
}

impl Policy {
    /// Leaves one out.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.left_out |= bit(mechanism);
        self
    }

    /// Returns whether one is in force.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.left_out & bit(mechanism) == 0
    }

    /// Returns those that are left out.
    pub fn disabled(self) -> impl Iterator<Item = Mechanism> {
        Mechanism::ALL.into_iter().filter(move |mechanism| !self.has(*mechanism))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
