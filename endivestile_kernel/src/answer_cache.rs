//! Answers of ended submissions, kept for resubmissions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::{Answer, Cause, Class, Refusal, SubmissionId, Time};

/// Maximum size of the results kept for resubmissions, in bytes.
const MAX_RESULT_BYTES: usize = 48 << 20;
/// Interval in whose multiples ids expire, in microseconds.
const EXPIRY_STEP_US: u64 = 1_000_000;

/// Record of an ended submission.
#[derive(Debug)]
pub(crate) struct CachedAnswer {
    /// Digest of the submission.
    pub(crate) digest: u64,
    /// Its answer.
    pub(crate) answer: Arc<Answer>,
    /// When it may be dropped.
    pub(crate) keep_until: Time,
}

/// Ended submissions by id.
///
/// At the target load one host keeps hundreds of thousands of them. Therefore only digest and
/// answer are kept, and ids expire in steps of one second.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    ended: HashMap<Name, CachedAnswer>,
    expiry: BTreeMap<u64, Vec<Name>>,
    result_sizes: VecDeque<(Name, usize)>,
    result_bytes: usize,
}

impl AnswerCache {
    /// Adds an answer, to be kept until its expiry.
    pub(crate) fn insert(&mut self, id: &SubmissionId, ended: CachedAnswer) {
        let name = id.text().clone();
        let size = ended.answer.payload();
        self.expiry.entry(expiry_step(ended.keep_until)).or_default().push(name.clone());
        if size > 0 {
            self.result_sizes.push_back((name.clone(), size));
            self.result_bytes += size;
        }
        self.ended.insert(name, ended);
        self.trim();
    }

    /// Returns the record of an id.
    pub(crate) fn get(&self, id: &SubmissionId) -> Option<&CachedAnswer> {
        self.ended.get(id.text())
    }

    /// Removes the record of an id that is about to be started.
    pub(crate) fn remove(&mut self, id: &SubmissionId) {
        self.ended.remove(id.text());
    }

    /// Removes the ids that have expired.
    pub(crate) fn evict_expired(&mut self, now: Time) {
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key() * EXPIRY_STEP_US > now.as_micros() {
                return;
            }
            for name in entry.remove() {
                // An id that was started again after "not run" has a later expiry.
                if self.ended.get(&name).is_some_and(|ended| ended.keep_until <= now) {
                    self.ended.remove(&name);
                }
            }
        }
    }

    /// Returns when the next ids expire.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let (step, _) = self.expiry.first_key_value()?;
        Some(Time::from_micros(step * EXPIRY_STEP_US))
    }

    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.ended.len()
    }

    /// Drops the oldest results beyond [`MAX_RESULT_BYTES`]. Without this limit, large answers kept
    /// for a whole window would exhaust the host's memory. Callers that resubmit an id whose
    /// results were dropped are refused with [`Cause::Expired`].
    fn trim(&mut self) {
        while self.result_bytes > MAX_RESULT_BYTES {
            let Some((name, size)) = self.result_sizes.pop_front() else { return };
            self.result_bytes -= size;
            if let Some(ended) = self.ended.get_mut(&name) {
                let (class, cause) = (Class::Unknown, Cause::Expired);
                let refusal = Refusal { class, cause, retry: Time::NEVER };
                ended.answer = Arc::new(Answer::Refused(refusal));
            }
        }
    }
}

/// Returns the first step that ends no earlier than `keep_until`.
fn expiry_step(keep_until: Time) -> u64 {
    keep_until.as_micros().div_ceil(EXPIRY_STEP_US)
}
