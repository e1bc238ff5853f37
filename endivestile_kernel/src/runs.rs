//! Table of the runs of this host and of the answers of ended ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::answer_cache::{AnswerCache, CachedAnswer};
use crate::run::Run;
use crate::{Answer, SubmissionId, Time};

/// Runs by number, by id and by due time.
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

    /// Returns a run to modify; `due` may only be changed with [`Self::set_due`].
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Run> {
        self.runs.get_mut(&number)
    }

    /// Returns the number of the run of an id.
    pub(crate) fn by_id(&self, id: &SubmissionId) -> Option<u64> {
        self.ids.get(id).copied()
    }

    /// Sets when to give up a run.
    pub(crate) fn set_due(&mut self, number: u64, due: Time) {
        if let Some(run) = self.runs.get_mut(&number) {
            self.due.remove(&(run.due, number));
            run.due = due;
            self.due.insert((due, number));
        }
    }

    /// Ends a run and keeps its answer while the id may be resubmitted.
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

    /// Removes and returns a run.
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

    /// Returns the answers of ended submissions.
    pub(crate) fn answers(&self) -> &AnswerCache {
        &self.answers
    }

    /// Returns the answers of ended submissions, to modify.
    pub(crate) fn answers_mut(&mut self) -> &mut AnswerCache {
        &mut self.answers
    }

    /// Returns the number of a run that is due.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<u64> {
        let &(due, number) = self.due.first()?;
        (due <= now).then_some(number)
    }

    /// Returns when the next run is due or the next answer expires.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let due = self.due.first().map(|&(due, _)| due);
        due.into_iter().chain(self.answers.deadline()).min()
    }

    /// Returns the number of runs that have not ended.
    pub(crate) fn active(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of all submissions on record, including ended ones.
    pub(crate) fn len(&self) -> usize {
        self.runs.len() + self.answers.len()
    }

    /// Returns the numbers of the runs that match `predicate` and have not ended.
    pub(crate) fn select(&self, predicate: impl Fn(&Run) -> bool) -> Vec<u64> {
        let matching = self.runs.iter().filter(|(_, run)| predicate(run));
        matching.map(|(number, _)| *number).collect()
    }
}
