//! The table of runs, with what it may forget and when.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::answer_cache::{AnswerCache, CachedAnswer};
use crate::run::Run;
use crate::{Answer, SubmissionId, Time};

/// Runs by number and by id, ordered by what is due.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: BTreeMap<u64, Run>,
    ids: HashMap<SubmissionId, u64>,
    due: BTreeSet<(Time, u64)>,
    answers: AnswerCache,
    next: u64,
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
        self.runs.insert(number, run);
        number
    }

    /// Returns a run.
    pub(crate) fn get(&self, number: u64) -> Option<&Run> {
        self.runs.get(&number)
    }

    /// Returns a run to change; its due instant changes by [`Self::set_due`] only.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Run> {
        self.runs.get_mut(&number)
    }

    /// Returns the number of the run of an id.
    pub(crate) fn by_id(&self, id: &SubmissionId) -> Option<u64> {
        self.ids.get(id).copied()
    }

    /// Sets when the next step of a run is due.
    pub(crate) fn set_due(&mut self, number: u64, due: Time) {
        if let Some(run) = self.runs.get_mut(&number) {
            self.due.remove(&(run.due, number));
            run.due = due;
            self.due.insert((due, number));
        }
    }

    /// Ends a run: its answer is kept while the id may be resubmitted.
    pub(crate) fn end(&mut self, number: u64, answer: Arc<Answer>) {
        let Some(run) = self.remove(number) else { return };
        let Some(id) = &run.submission.id else { return };
        if run.keep_until != Time::ZERO {
            self.answers.insert(
                id,
                CachedAnswer { digest: run.digest, answer, keep_until: run.keep_until },
            );
        }
    }

    /// Takes a run out.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Run> {
        let run = self.runs.remove(&number)?;
        self.due.remove(&(run.due, number));
        if let Some(id) = &run.submission.id
            && self.ids.get(id) == Some(&number)
        {
            self.ids.remove(id);
        }
        Some(run)
    }

    /// Returns the submissions that have ended.
    pub(crate) fn answers(&self) -> &AnswerCache {
        &self.answers
    }

    /// Returns the submissions that have ended, to change.
    pub(crate) fn answers_mut(&mut self) -> &mut AnswerCache {
        &mut self.answers
    }

    /// Returns the next run that is due.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<u64> {
        let &(due, number) = self.due.first()?;
        (due <= now).then_some(number)
    }

    /// Returns when the next step is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let due = self.due.first().map(|&(due, _)| due);
        due.into_iter().chain(self.answers.deadline()).min()
    }

    /// Returns the runs that have not ended.
    pub(crate) fn active(&self) -> usize {
        self.runs.len()
    }

    /// Returns all submissions known, ended ones among them.
    pub(crate) fn len(&self) -> usize {
        self.runs.len() + self.answers.len()
    }

    /// Returns the numbers of the runs that have not ended and that `pick` picks.
    pub(crate) fn select(&self, pick: impl Fn(&Run) -> bool) -> Vec<u64> {
        let picked = self.runs.iter().filter(|(_, run)| pick(run));
        picked.map(|(number, _)| *number).collect()
    }
}
