//! One pass over a queue when capacity is scarce: which task is tried next, and when to stop.
//!
//! The first tasks are tried in queue order and keep reservations. Behind them, only tasks
//! whose size fits the capacity that is left are tried. A pass tries a limited number of tasks
//! that then get no worker, so its cost does not grow with the length of the queue.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;

use crate::fleet::admission::queue::{Queue, QueueKey, SizeClass};
use crate::fleet::placement::matching::{
    Conditions, NoMatch, Reservation, TaskView, UsualRange, WorkerView, choose_worker,
    reserve_worker,
};
use crate::{Need, Time};

/// Number of steps at the head of the queue that are tried whatever their size, and that
/// reserve a worker.
const HEAD_MISSES: u32 = 6;
/// Number of tasks at the head of the queue that are visited; bounds the visits to tasks of a
/// step that does not fit.
const HEAD_VISITS: u32 = 48;
/// Number of tasks behind the head that may get no worker although their size fits, for
/// example because only slow workers are free.
const FITTING_MISSES: u32 = 8;
/// The same for the tasks of late jobs, which slow workers can still serve.
const LATE_MISSES: u32 = 4;
/// Number of tasks of one size class that may get no worker; then the class is skipped.
const CLASS_MISSES: u32 = 2;

/// State of one pass over a queue.
#[derive(Debug)]
pub struct Round {
    conditions: Conditions,
    /// Workers with free capacity.
    workers: Vec<WorkerView>,
    /// All workers, once a task ahead needs a reservation.
    all: Option<Vec<WorkerView>>,
    /// Workers that are reserved for tasks that this pass has tried.
    reserved: BTreeSet<Name>,
    /// Position of the last task that was tried and remains queued.
    position: Option<QueueKey>,
    head_misses: u32,
    head_visits: u32,
    fitting_misses: u32,
    late_misses: u32,
    class_misses: BTreeMap<SizeClass, u32>,
}

impl Round {
    /// Starts a pass with the workers that have free capacity. `waiting_cpu` is the processor
    /// need of all waiting tasks, in thousandths of a core.
    pub fn new(
        now: Time,
        workers: Vec<WorkerView>,
        usual: Option<UsualRange>,
        waiting_cpu: u64,
    ) -> Self {
        let free: u64 = workers.iter().map(|worker| u64::from(worker.free.cpu_milli)).sum();
        Self {
            conditions: Conditions { now, usual, scarce: waiting_cpu > free, late_behind: false },
            workers,
            all: None,
            reserved: BTreeSet::new(),
            position: None,
            head_misses: 0,
            head_visits: 0,
            fitting_misses: 0,
            late_misses: 0,
            class_misses: BTreeMap::new(),
        }
    }

    /// Returns whether the next task is one of those that are tried whatever their size.
    pub fn at_head(&self) -> bool {
        self.head_misses < HEAD_MISSES && self.head_visits < HEAD_VISITS
    }

    /// Returns the next task to try.
    pub fn next<T: Copy>(&self, queue: &Queue<T>) -> Option<(QueueKey, T)> {
        if self.at_head() {
            return queue.next_after(self.position);
        }
        let position = match self.position {
            Some(position) if !position.late && self.fitting_misses >= FITTING_MISSES => {
                Some(QueueKey::FIRST_LATE)
            }
            position => position,
        };
        let found = queue.next_fitting(position, |class| self.may_fit(class));
        found.filter(|(key, _)| !key.late || self.may_serve_late())
    }

    /// Returns whether tasks of late jobs are tried behind the head.
    ///
    /// There they get only workers that tasks which meet their objective cannot use. If they
    /// got any capacity that the tasks ahead do not fit, late jobs, which are worth little,
    /// would take the place of jobs that arrive milliseconds later.
    fn may_serve_late(&self) -> bool {
        let mut workers = self.workers.iter();
        self.late_misses < LATE_MISSES && workers.any(|worker| !worker.serves_objectives())
    }

    /// Returns whether a task of a size class may fit on a worker.
    fn may_fit(&self, class: &SizeClass) -> bool {
        let need = class.smallest();
        let skipped = self.class_misses.get(class).is_some_and(|misses| *misses >= CLASS_MISSES);
        !skipped && self.workers.iter().any(|worker| worker.offers(&need, class.label()))
    }

    /// Chooses the worker for a task.
    pub fn choose(&self, task: &TaskView<'_>) -> Result<&WorkerView, NoMatch> {
        let conditions = Conditions { late_behind: !self.at_head(), ..self.conditions };
        choose_worker(&conditions, task, &self.workers)
    }

    /// Passes over a task of a step that got no worker before.
    pub fn skip(&mut self, key: QueueKey, class: &SizeClass) {
        self.position = Some(key);
        if self.at_head() {
            self.head_visits += 1;
        } else {
            *self.class_misses.entry(class.clone()).or_default() += 1;
        }
    }

    /// Records that a task got no worker and remains queued.
    pub fn miss(&mut self, key: QueueKey, class: &SizeClass) {
        let at_head = self.at_head();
        self.skip(key, class);
        if at_head {
            self.head_misses += 1;
        } else if key.late {
            self.late_misses += 1;
        } else {
            self.fitting_misses += 1;
        }
    }

    /// Returns whether a task that remains queued was passed over.
    pub fn passed_over(&self) -> bool {
        self.position.is_some()
    }

    /// Replaces the view of a worker on which a task was started.
    pub fn update(&mut self, view: WorkerView) {
        if let Some(worker) = self.workers.iter_mut().find(|worker| worker.id == view.id) {
            *worker = WorkerView { reserved_at: worker.reserved_at, ..view };
        }
        self.all = None;
    }

    /// Returns the reservation that a task keeps: the former one until its time has passed, or
    /// that of the worker that will first have capacity. `all_workers` is called at most once
    /// between two starts.
    pub fn reserve(
        &mut self,
        former: Option<&Reservation>,
        task: &TaskView<'_>,
        all_workers: impl FnOnce() -> Vec<WorkerView>,
    ) -> Reservation {
        let now = self.conditions.now;
        let taken =
            |it: &Reservation| it.worker.as_ref().is_some_and(|at| self.reserved.contains(at));
        let reservation = match former.filter(|it| it.at > now && !taken(it)) {
            Some(kept) => kept.clone(),
            None => {
                let workers = self.all.get_or_insert_with(all_workers);
                reserve_worker(now, task, workers, |worker| self.reserved.contains(worker))
            }
        };
        if let Some(worker) = &reservation.worker {
            if let Some(view) = self.workers.iter_mut().find(|view| view.id == *worker) {
                view.reserved_at = reservation.at;
            }
            self.reserved.insert(worker.clone());
        }
        reservation
    }
}

impl WorkerView {
    fn offers(&self, need: &Need, label: Option<&Name>) -> bool {
        self.has_room(need) && label.is_none_or(|label| self.labels.contains(label))
    }
}
