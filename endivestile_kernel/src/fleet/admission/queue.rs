//! Priority queue of the tasks that wait for free capacity, with an index by size.
//!
//! When capacity is scarce, hundreds of tasks wait and most of them fit no worker. The index
//! finds the next task that may fit without looking at those that are too large.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use endivestile_config::model::Name;

use crate::fleet::placement::matching::{Reservation, UsualSizes};
use crate::{Need, Time};

/// Size classes between a processor need and its double. Tasks of 26 to 48 cores fall into 15
/// classes, which differ by at most 6%.
const CLASSES_PER_DOUBLING: u32 = 16;

/// Position of a task in the queue; the lowest goes first.
///
/// Jobs that can still meet their objective go before late ones: under overload, serving
/// late jobs first would make every job late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Whether the job can no longer meet its objective.
    pub late: bool,
    /// Rank among tasks with the same `late`: priority, and an instant.
    pub rank: (u32, Time),
    /// Insertion number; breaks ties first in, first out.
    pub seq: u64,
}

impl QueueKey {
    /// Sorts before all late tasks and after all others.
    pub(crate) const FIRST_LATE: Self = Self { late: true, rank: (0, Time::ZERO), seq: 0 };
}

/// Tasks of about the same size that need the same label. The number of classes is bounded by
/// the sizes that workers can have, not by the number of tasks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeClass {
    /// Class of the processor need: linear within each doubling.
    cpu: u32,
    /// Class of the memory need: one for each doubling.
    memory: u32,
    /// Accelerators.
    accelerators: u16,
    /// Label that a worker must have.
    label: Option<Name>,
}

impl SizeClass {
    /// Returns the class of a need and a required label.
    pub fn of(need: &Need, label: Option<&Name>) -> Self {
        Self {
            cpu: cpu_class(need.cpu_milli),
            memory: u32::BITS - need.memory_mb.leading_zeros(),
            accelerators: need.accelerators,
            label: label.cloned(),
        }
    }

    /// Returns the smallest need in the class: a worker with less free capacity fits none of
    /// its tasks.
    pub fn smallest(&self) -> Need {
        let memory_mb = self.memory.checked_sub(1).map_or(0, |doubling| 1 << doubling);
        Need { cpu_milli: class_floor(self.cpu), memory_mb, accelerators: self.accelerators }
    }

    /// Returns the label that a worker must have.
    pub fn label(&self) -> Option<&Name> {
        self.label.as_ref()
    }
}

fn cpu_class(cpu_milli: u32) -> u32 {
    if cpu_milli < CLASSES_PER_DOUBLING {
        return cpu_milli;
    }
    let shift = cpu_milli.ilog2() - CLASSES_PER_DOUBLING.ilog2();
    shift * CLASSES_PER_DOUBLING + (cpu_milli >> shift)
}

/// Returns the smallest processor need of a class, in thousandths of a core.
fn class_floor(class: u32) -> u32 {
    if class < 2 * CLASSES_PER_DOUBLING {
        return class;
    }
    let shift = class / CLASSES_PER_DOUBLING - 1;
    (class - shift * CLASSES_PER_DOUBLING) << shift
}

#[derive(Debug)]
struct Entry<T> {
    task: T,
    class: SizeClass,
    cpu_milli: u32,
}

/// Waiting tasks of one service.
#[derive(Debug)]
pub struct Queue<T> {
    tasks: BTreeMap<QueueKey, Entry<T>>,
    /// Positions by size; each position is in exactly one class.
    by_size: BTreeMap<SizeClass, BTreeSet<QueueKey>>,
    /// Workers that tasks at the head of the queue wait for.
    reservations: BTreeMap<QueueKey, Reservation>,
    usual: UsualSizes,
    /// Processor need of all waiting tasks, in thousandths of a core.
    cpu_milli: u64,
    seq: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            by_size: BTreeMap::new(),
            reservations: BTreeMap::new(),
            usual: UsualSizes::default(),
            cpu_milli: 0,
            seq: 0,
        }
    }
}

impl<T: Copy> Queue<T> {
    /// Adds a task that needs a worker with this much free capacity and the label, if any;
    /// returns its position.
    pub fn push(
        &mut self,
        late: bool,
        rank: (u32, Time),
        (need, label): (&Need, Option<&Name>),
        task: T,
    ) -> QueueKey {
        self.seq += 1;
        let key = QueueKey { late, rank, seq: self.seq };
        let class = SizeClass::of(need, label);
        self.by_size.entry(class.clone()).or_default().insert(key);
        self.cpu_milli += u64::from(need.cpu_milli);
        self.usual.record(need);
        self.tasks.insert(key, Entry { task, class, cpu_milli: need.cpu_milli });
        key
    }

    /// Removes the task at a position, if any, and its reservation.
    pub fn remove(&mut self, key: &QueueKey) {
        let Some(entry) = self.tasks.remove(key) else { return };
        self.reservations.remove(key);
        self.cpu_milli -= u64::from(entry.cpu_milli);
        if let Some(positions) = self.by_size.get_mut(&entry.class) {
            positions.remove(key);
            if positions.is_empty() {
                self.by_size.remove(&entry.class);
            }
        }
    }

    /// Returns the first task after a position, or the first one without a position.
    pub fn next_after(&self, key: Option<QueueKey>) -> Option<(QueueKey, T)> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let first = self.tasks.range((from, Bound::Unbounded)).next();
        first.map(|(key, entry)| (*key, entry.task))
    }

    /// Returns the first task after a position, or the first one without a position, whose
    /// size class `may_fit`. The cost depends on the number of classes, not of tasks.
    pub fn next_fitting(
        &self,
        key: Option<QueueKey>,
        may_fit: impl Fn(&SizeClass) -> bool,
    ) -> Option<(QueueKey, T)> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let classes = self.by_size.iter().filter(|(class, _)| may_fit(class));
        let firsts =
            classes.filter_map(|(_, positions)| positions.range((from, Bound::Unbounded)).next());
        let first = *firsts.min()?;
        self.tasks.get(&first).map(|entry| (first, entry.task))
    }

    /// Returns a need that is not above that of any waiting task.
    pub fn smallest_need(&self) -> Need {
        let needs = self.by_size.keys().map(SizeClass::smallest);
        let smaller = |one: Need, other: Need| Need {
            cpu_milli: one.cpu_milli.min(other.cpu_milli),
            memory_mb: one.memory_mb.min(other.memory_mb),
            accelerators: one.accelerators.min(other.accelerators),
        };
        needs.reduce(smaller).unwrap_or(Need { cpu_milli: 0, memory_mb: 0, accelerators: 0 })
    }

    /// Returns the tasks of late jobs in queue order.
    pub(crate) fn late_tasks(&self) -> impl Iterator<Item = (&QueueKey, &T)> {
        self.tasks.range(QueueKey::FIRST_LATE..).map(|(key, entry)| (key, &entry.task))
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the processor need of all waiting tasks, in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        self.cpu_milli
    }

    /// Returns the sizes of the tasks that were queued lately.
    pub(crate) fn usual(&self) -> &UsualSizes {
        &self.usual
    }

    /// Returns the reservation of the task at a position.
    pub(crate) fn reservation(&self, key: &QueueKey) -> Option<&Reservation> {
        self.reservations.get(key)
    }

    /// Records the reservation of the task at a position.
    pub(crate) fn reserve(&mut self, key: QueueKey, reservation: Reservation) {
        if self.tasks.contains_key(&key) {
            self.reservations.insert(key, reservation);
        }
    }

    /// Returns how many positions of the queue are in no size class, in several, or in a class
    /// without a task; 0 unless the index is wrong.
    pub fn misplaced(&self) -> usize {
        let wrong = |(key, entry): &(&QueueKey, &Entry<T>)| {
            let classes = self.by_size.iter().filter(|(_, positions)| positions.contains(key));
            !classes.map(|(class, _)| class).eq([&entry.class])
        };
        let indexed: usize = self.by_size.values().map(BTreeSet::len).sum();
        self.tasks.iter().filter(wrong).count() + indexed.abs_diff(self.tasks.len())
    }
}
