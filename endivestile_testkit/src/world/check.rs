//! Guarantees, checked against what backend servers, workers and callers observe.

use std::collections::BTreeMap;

use endivestile_kernel::Answer;

use super::World;
use super::backend::echo;
use super::call::work_text;

/// Time after which a leaving backend server or worker gets no new work, in microseconds.
const LEAVING_GRACE_US: u64 = 5_000_000;
/// Time within which every host adopts an accepted configuration, in microseconds.
const ADOPTION_LIMIT_US: u64 = 14_000_000;

impl World {
    /// Returns all breaches of guarantees so far.
    pub fn check(&mut self) -> Vec<String> {
        let mut breaches = self.breaches.clone();
        breaches.extend(self.double_starts());
        breaches.extend(self.false_refusals());
        breaches.extend(self.starts_on_leaving());
        breaches.extend(self.late_configs());
        breaches
    }

    /// Checks an answer when it is given.
    pub(super) fn check_answer(&mut self, call: u64) {
        let Some(log) = self.calls.get(&call) else { return };
        let Some(answer) = &log.answer else { return };
        let breach = match answer {
            Answer::Complete(results) if log.tasks > 0 => {
                let expected =
                    (0..log.tasks).map(|index| echo(work_text(&log.work_name, index).as_bytes()));
                if results.len() != log.tasks {
                    Some(format!("promise 2: call {call} got a partial answer"))
                } else if !expected.eq(results.iter().cloned()) {
                    Some(format!("promise 3: call {call} got the answer to another call"))
                } else {
                    None
                }
            }
            Answer::Refused(_) if answer.is_not_run() && log.starts > 0 => Some(format!(
                "promise 4: call {call} was refused as not run, but {} started",
                log.work_name
            )),
            _ => None,
        };
        self.breaches.extend(breach);
    }

    /// Work under an id must start at most once.
    fn double_starts(&self) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for start in &self.starts {
            *counts.entry(&start.work).or_default() += 1;
        }
        // An idempotent request without an id may be retried.
        let has_id = |name: &str| {
            let mut calls = self.calls.values();
            calls.any(|call| call.id.is_some() && call.work_name == name)
        };
        let doubled = counts.into_iter().filter(|(work, count)| {
            let name = work.rsplit_once('/').map_or(*work, |(name, _)| name);
            *count > 1 && has_id(name)
        });
        doubled.map(|(work, count)| format!("promise 1: {work} started {count} times")).collect()
    }

    /// Work whose every call was refused as not run must never have started.
    fn false_refusals(&self) -> Vec<String> {
        let mut refused: BTreeMap<&str, bool> = BTreeMap::new();
        for call in self.calls.values().filter(|call| call.tasks > 0) {
            let not_run = call.answer.as_ref().is_some_and(Answer::is_not_run);
            *refused.entry(&call.work_name).or_insert(true) &= not_run;
        }
        let names = refused.into_iter().filter(|(_, refused)| *refused);
        let started = names.filter(|(name, _)| self.count_starts(name) > 0);
        started
            .map(|(name, _)| format!("promise 4: {name} was refused as not run, but started"))
            .collect()
    }

    /// A backend server or worker that has been leaving for a while must get no new work.
    fn starts_on_leaving(&self) -> Vec<String> {
        let late = self.starts.iter().filter(|start| {
            let leaving = self.backends.get(&start.server).and_then(|backend| backend.leaving);
            leaving.is_some_and(|since| start.at > since + LEAVING_GRACE_US)
        });
        late.map(|start| {
            format!("promise 6: {} started on {}, which is leaving", start.work, start.server)
        })
        .collect()
    }

    /// Without faults, every running host must adopt the newest configuration in time.
    fn late_configs(&self) -> Vec<String> {
        let Some(accepted) = self.platform.accepted else { return Vec::new() };
        if accepted + ADOPTION_LIMIT_US > self.now || self.faulty {
            return Vec::new();
        }
        let newest = self.platform.revision;
        let running = self.sim_hosts.iter().filter(|(_, sim_host)| sim_host.is_running());
        let late = running.filter(|(host, _)| self.revision(host) < newest);
        late.map(|(host, _)| format!("promise 8: {host} has an old configuration")).collect()
    }
}
