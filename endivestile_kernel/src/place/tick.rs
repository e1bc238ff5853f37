//! Timer handling of the placer.

use super::completion::peer_note;
use super::effect::PlaceEffect;
use super::placer::{ACCELERATED, PLAIN, Placer};
use super::timer::Timer;
use crate::Time;

/// Interval between adjustments of stale run times, in milliseconds.
const REVISIT_INTERVAL_MS: u64 = 5_000;

/// Time without a new sample after which a run time is stale, in milliseconds.
const STALE_AFTER_MS: u64 = 20_000;

/// Delay before checking the probe of another backend of the rack, in milliseconds.
const RACK_PROBE_RECHECK_MS: u64 = 50;

/// Weight by which a stale run time moves towards the overall one at each
/// adjustment.
const DRIFT_WEIGHT: f64 = 0.25;

impl Placer {
    /// Handles all expired timers.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        while let Some(&(expiry, timer)) = self.timers.first() {
            if expiry > now {
                return;
            }
            self.timers.pop_first();
            self.handle_timer(now, expiry, timer, out);
        }
    }

    /// Returns when the next timer expires.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(expiry, _)| *expiry).filter(|expiry| *expiry != Time::NEVER)
    }

    fn handle_timer(&mut self, now: Time, expiry: Time, timer: Timer, out: &mut Vec<PlaceEffect>) {
        match timer {
            Timer::Expire(slot) => self.expire(now, slot, out),
            Timer::WaitLimit(pool) => self.dispatch(now, pool, out),
            Timer::Probe(id) => self.probe(now, expiry, id, out),
            Timer::Unblock(id) => {
                let backend = &mut self.backends[id as usize];
                if backend.blocked_until() != Some(expiry) {
                    return;
                }
                backend.unblock();
                self.refresh(id);
                self.dispatch_backend(now, id, out);
            }
            Timer::RevisitRunTimes => self.revisit_run_times(now, out),
        }
    }

    /// Ends the ejection of a backend so that a task probes it, unless another backend
    /// of its rack is being probed.
    fn probe(&mut self, now: Time, expiry: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        if self.backends[id as usize].health.ejected_until() != Some(expiry) {
            return;
        }
        if let Some(until) = self.rack_probe_wait(now, id) {
            self.backends[id as usize].health.postpone_probe(until);
            self.timers.insert((until, Timer::Probe(id)));
            return;
        }
        let backend = &mut self.backends[id as usize];
        backend.health.start_probe();
        let note = peer_note("back_end_probed", &backend.name, String::from("ejection ended"));
        out.push(PlaceEffect::Log(note));
        self.handle_backend_change(now, id, out);
    }

    /// Returns when to check again if another backend of the rack is being probed on
    /// behalf of `id`.
    fn rack_probe_wait(&mut self, now: Time, id: u32) -> Option<Time> {
        let rack = self.racks.get_mut(self.backends[id as usize].rack_id as usize)?;
        let prober = rack.prober.filter(|prober| *prober != id)?;
        let backend = &self.backends[prober as usize];
        if backend.leaving || !backend.in_share || backend.health.is_confirmed() {
            rack.prober = None;
            return None;
        }
        let until = backend.health.ejected_until().filter(|until| *until > now);
        Some(until.unwrap_or(now).after_ms(RACK_PROBE_RECHECK_MS))
    }

    /// Arms the next adjustment of stale run times.
    pub(crate) fn arm_revisit(&mut self, now: Time) {
        if self.revisit_at.is_none() {
            let expiry = now.after_ms(REVISIT_INTERVAL_MS);
            self.revisit_at = Some(expiry);
            self.timers.insert((expiry, Timer::RevisitRunTimes));
        }
    }

    /// Moves stale run times that are slower than the overall one towards it, and sorts
    /// the workers again.
    ///
    /// A backend that was slow once gets no tasks while others are free, so it would
    /// never show that it has become fast again.
    fn revisit_run_times(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        self.revisit_at = None;
        for pool in &mut self.pools {
            let overall = pool.overall.mean_ln;
            for endpoint in &mut pool.endpoints {
                let run_time = &mut endpoint.run_time;
                if run_time.is_known()
                    && run_time.last_sample.after_ms(STALE_AFTER_MS) <= now
                    && run_time.mean_ln > overall
                {
                    run_time.mean_ln += (overall - run_time.mean_ln) * DRIFT_WEIGHT;
                }
                endpoint.overdue_ln = None;
            }
        }
        self.assign_workers(PLAIN);
        self.assign_workers(ACCELERATED);
        for id in 0..self.backends.len() as u32 {
            self.refresh(id);
        }
        self.dispatch_all(now, out);
        if !self.is_idle() {
            self.arm_revisit(now);
        }
    }
}
