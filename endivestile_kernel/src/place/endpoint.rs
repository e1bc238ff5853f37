//! A back end's place in one pool.

use super::run_time::RunTime;

/// Steps of the preference key per doubling of the run time: run times within
/// 4% count as equal, and the back end with fewer tasks goes first.
const STEPS_PER_OCTAVE: f64 = 16.0;

/// One back end in one pool.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Slot of the back end.
    pub(crate) backend: u32,
    /// Rack, to spread a job's tasks.
    pub(crate) rack: u32,
    /// Run times learnt.
    pub(crate) run_time: RunTime,
    /// Believed run time while tasks are overdue, as a natural logarithm.
    pub(crate) overdue_ln: Option<f64>,
    /// Band in which its capacity is counted.
    pub(crate) band: usize,
    /// Capacity counted in the band, 0 while not usable.
    pub(crate) units: u32,
    /// Whether new tasks may go there.
    pub(crate) usable: bool,
    /// Whether it is usable and its last answer was a failure.
    pub(crate) failing: bool,
    /// Tasks running on the back end.
    pub(crate) running: u32,
    /// Number of the start in the pool that was its last.
    pub(crate) last_start: u32,
    /// Key among the free seats, none when it has no free slot.
    pub(crate) free_key: Option<EndpointKey>,
}

impl Endpoint {
    /// Makes a seat without capacity.
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

/// Order among the free seats of a pool: faster first, then fewer tasks, then
/// the one whose last task started longest ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointKey {
    order: u64,
    at: u32,
}

impl EndpointKey {
    /// Makes the key of seat `at` from the logarithm of its run time.
    pub(crate) fn new(ln: f64, running: u32, last_start: u32, at: usize) -> Self {
        let run_time_step = (ln * std::f64::consts::LOG2_E * STEPS_PER_OCTAVE).max(0.0) as u64;
        let order = run_time_step.min(0xffff) << 48 | u64::from(running.min(0xffff)) << 32;
        Self { order: order | u64::from(last_start), at: at as u32 }
    }

    /// Returns the seat.
    pub(crate) const fn at(self) -> usize {
        self.at as usize
    }

    /// Returns the step of the run time.
    pub(crate) const fn run_time_step(self) -> u64 {
        self.order >> 48
    }
}
