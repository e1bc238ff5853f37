//! Endpoints: backends as members of a pool.

use super::run_time::RunTime;

/// Steps of the sort key per doubling of the run time. Run times within 4% count as
/// equal, and the backend with fewer tasks goes first.
const STEPS_PER_OCTAVE: f64 = 16.0;

/// State of one backend in one pool.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Index of the backend.
    pub(crate) backend: u32,
    /// Index of the rack, to spread the tasks of a job.
    pub(crate) rack: u32,
    /// Learned run time.
    pub(crate) run_time: RunTime,
    /// Natural logarithm of the time for which overdue tasks have been running, in
    /// microseconds.
    pub(crate) overdue_ln: Option<f64>,
    /// Band that counts its capacity.
    pub(crate) band: usize,
    /// Capacity counted in the band, 0 while not usable.
    pub(crate) units: u32,
    /// Whether it accepts new tasks.
    pub(crate) usable: bool,
    /// Whether it is usable and its last answer was a failure.
    pub(crate) failing: bool,
    /// Number of tasks running on the backend.
    pub(crate) running: u32,
    /// Number of its last start, counted over the pool.
    pub(crate) last_start: u32,
    /// Key among the free endpoints, `None` without a free slot.
    pub(crate) free_key: Option<EndpointKey>,
}

impl Endpoint {
    /// Creates an endpoint without capacity.
    pub(crate) fn new(backend: u32, rack: u32, run_time: RunTime) -> Self {
        Self {
            backend,
            rack,
            run_time,
            overdue_ln: None,
            band: 0,
            units: 0,
            usable: false,
            failing: false,
            running: 0,
            last_start: 0,
            free_key: None,
        }
    }
}

/// Sort key of the free endpoints of a pool: faster first, then fewer tasks, then
/// the one whose last start is longest ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointKey {
    order: u64,
    at: u32,
}

impl EndpointKey {
    /// Creates the key of endpoint `at` from the logarithm of its run time.
    pub(crate) fn new(ln: f64, running: u32, last_start: u32, at: usize) -> Self {
        let run_time_step = (ln * std::f64::consts::LOG2_E * STEPS_PER_OCTAVE).max(0.0) as u64;
        let order = run_time_step.min(0xffff) << 48 | u64::from(running.min(0xffff)) << 32;
        Self { order: order | u64::from(last_start), at: at as u32 }
    }

    /// Returns the index of the endpoint.
    pub(crate) const fn at(self) -> usize {
        self.at as usize
    }

    /// Returns the run time in steps.
    pub(crate) const fn run_time_step(self) -> u64 {
        self.order >> 48
    }
}
