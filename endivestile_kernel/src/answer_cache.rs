//! Answers kept for callers that come back.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::{Answer, Cause, Class, Refusal, SubmissionId, Time};

/// Bytes of results kept for resubmissions at most.
const KEPT_BYTES: usize = 48 << 20;
/// Width of the steps in which ids are forgotten, in microseconds.
const STEP_US: u64 = 1_000_000;

/// What is left of a submission that has ended.
#[derive(Debug)]
pub(crate) struct CachedAnswer {
    /// Digest of the submission.
    pub(crate) digest: u64,
    /// Its answer.
    pub(crate) answer: Arc<Answer>,
    /// When it may be forgotten.
    pub(crate) keep_until: Time,
}

/// Submissions that have ended, by id.
///
/// At the target one host remembers hundreds of thousands of them: so only the
/// digest and the answer are kept, and ids are forgotten by the second.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    ended: HashMap<Name, CachedAnswer>,
    forget: BTreeMap<u64, Vec<Name>>,
    results: VecDeque<(Name, usize)>,
    bytes: usize,
}

impl AnswerCache {
    /// Keeps an answer until its time has come.
    pub(crate) fn insert(&mut self, id: &SubmissionId, ended: CachedAnswer) {
        let name = id.text().clone();
        let size = ended.answer.payload();
        self.forget.entry(step(ended.keep_until)).or_default().push(name.clone());
        if size > 0 {
            self.results.push_back((name.clone(), size));
            self.bytes += size;
        }
        self.ended.insert(name, ended);
        self.trim();
    }

    /// Returns what is kept of an id.
    pub(crate) fn get(&self, id: &SubmissionId) -> Option<&CachedAnswer> {
        self.ended.get(id.text())
    }

    /// Drops what is kept of an id, which is about to be started.
    pub(crate) fn remove(&mut self, id: &SubmissionId) {
        self.ended.remove(id.text());
    }

    /// Forgets the ids whose time has come.
    pub(crate) fn evict_expired(&mut self, now: Time) {
        while let Some(entry) = self.forget.first_entry() {
            if entry.key() * STEP_US > now.as_micros() {
                return;
            }
            for name in entry.remove() {
                // An id that was started again after "not run" has a later time.
                if self.ended.get(&name).is_some_and(|ended| ended.keep_until <= now) {
                    self.ended.remove(&name);
                }
            }
        }
    }

    /// Returns when there is something to forget.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let (step, _) = self.forget.first_key_value()?;
        Some(Time::from_micros(step * STEP_US))
    }

    /// Returns how many ids are kept.
    pub(crate) fn len(&self) -> usize {
        self.ended.len()
    }

    /// Drops the oldest results beyond the bound. Without it, large answers
    /// kept for a whole window would exhaust the host's memory; a caller that
    /// comes back for a dropped one is told that it is no longer held.
    fn trim(&mut self) {
        while self.bytes > KEPT_BYTES {
            let Some((name, size)) = self.results.pop_front() else { return };
            self.bytes -= size;
            if let Some(ended) = self.ended.get_mut(&name) {
                let (class, cause) = (Class::Unknown, Cause::Expired);
                let refusal = Refusal { class, cause, retry: Time::NEVER };
                ended.answer = Arc::new(Answer::Refused(refusal));
            }
        }
    }
}

/// Returns the first step that ends no earlier than `keep`.
fn step(keep_until: Time) -> u64 {
    keep_until.as_micros().div_ceil(STEP_US)
}
