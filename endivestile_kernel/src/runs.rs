//! The table of runs, with what it may forget and when.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::run::{Run, RunState};
use crate::{Answer, Cause, Class, Refusal, SubmissionId, Time};

/// Bytes of results kept for resubmissions at most.
const KEPT_BYTES: usize = 48 << 20;

/// Runs by number and by id, ordered by what is due.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: BTreeMap<u64, Run>,
    ids: HashMap<SubmissionId, u64>,
    due: BTreeSet<(Time, u64)>,
    kept: VecDeque<(u64, usize)>,
    bytes: usize,
    next: u64,
    active: BTreeSet<u64>,
}

impl Runs {
    /// Adds a run and returns its number.
    pub(crate) fn add(&mut self, run: Run) -> u64 {
        self.next += 1;
        let number = self.next;
        if let Some(id) = &run.submission.id {
            self.ids.insert(id.clone(), number);
        }
        self.due.insert((run.due, number));
        self.active.insert(number);
        self.runs.insert(number, run);
        number
    }

    /// Returns a run.
    pub(crate) fn get(&self, number: u64) -> Option<&Run> {
        self.runs.get(&number)
    }

    /// Returns a run to change; its due instant changes by [`Self::postpone`] only.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Run> {
        self.runs.get_mut(&number)
    }

    /// Returns the number of the run of an id.
    pub(crate) fn by_id(&self, id: &SubmissionId) -> Option<u64> {
        self.ids.get(id).copied()
    }

    /// Sets when the next step of a run is due.
    pub(crate) fn postpone(&mut self, number: u64, due: Time) {
        if let Some(run) = self.runs.get_mut(&number) {
            self.due.remove(&(run.due, number));
            run.due = due;
            self.due.insert((due, number));
        }
    }

    /// Ends a run: its answer is kept while the id may be resubmitted.
    pub(crate) fn end(&mut self, number: u64, answer: Arc<Answer>) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        if matches!(run.state, RunState::Ended(_)) {
            return;
        }
        self.active.remove(&number);
        let keep = run.keep;
        let size = answer.payload();
        run.state = RunState::Ended(answer);
        run.tasks = Vec::new();
        if run.submission.id.is_none() || keep == Time::ZERO {
            self.remove(number);
            return;
        }
        self.slim(number);
        self.postpone(number, keep);
        self.kept.push_back((number, size));
        self.bytes += size;
        self.trim();
    }

    /// Forgets a run.
    pub(crate) fn remove(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else { return };
        self.due.remove(&(run.due, number));
        self.active.remove(&number);
        if let Some(id) = &run.submission.id
            && self.ids.get(id) == Some(&number)
        {
            self.ids.remove(id);
        }
    }

    /// Returns the next run that is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<u64> {
        let &(due, number) = self.due.first()?;
        (due <= now).then_some(number)
    }

    /// Returns when the next step is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.due.first().map(|&(due, _)| due)
    }

    /// Returns the runs that have not ended.
    pub(crate) fn active(&self) -> usize {
        self.active.len()
    }

    /// Returns all runs, ended ones among them.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns the numbers of the runs that have not ended and that `pick` picks.
    pub(crate) fn select(&self, pick: impl Fn(&Run) -> bool) -> Vec<u64> {
        let picks = |number: &&u64| self.runs.get(number).is_some_and(&pick);
        self.active.iter().filter(picks).copied().collect()
    }

    /// Drops the work of an ended run: only its digest and answer are needed.
    fn slim(&mut self, number: u64) {
        if let Some(run) = self.runs.get_mut(&number) {
            let submission = Arc::make_mut(&mut run.submission);
            submission.tasks = Vec::new();
            run.waiters = Vec::new();
        }
    }

    /// Drops the oldest results beyond the bound. Without it, large answers
    /// kept for a whole window would exhaust the host's memory; a caller that
    /// comes back for a dropped one is told that it is no longer held.
    fn trim(&mut self) {
        while self.bytes > KEPT_BYTES {
            let Some((number, size)) = self.kept.pop_front() else { return };
            self.bytes -= size;
            let Some(run) = self.runs.get_mut(&number) else { continue };
            if size > 0 {
                let refusal =
                    Refusal { class: Class::Unknown, cause: Cause::Expired, retry: Time::NEVER };
                run.state = RunState::Ended(Arc::new(Answer::Refused(refusal)));
            }
        }
    }
}
