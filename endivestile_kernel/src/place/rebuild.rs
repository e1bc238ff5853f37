//! Changes of the share and of its back ends.

use std::collections::HashMap;

use endivestile_config::model::Name;

use super::backend::Backend;
use super::effect::PlaceEffect;
use super::endpoint::Endpoint;
use super::placer::{ACCELERATED, PLAIN, Placer};
use super::pool::{EndpointState, Pool, PoolKind};
use super::rack::Rack;
use super::resources::Resources;
use super::run_time::RunTime;
use super::share::BackendSpec;
use crate::{Cause, Outcome, Time};

impl Placer {
    /// Returns whether the share holds the same back ends as before.
    pub(crate) fn same_share(&self, specs: &[BackendSpec]) -> bool {
        let listed = self.backends.iter().filter(|backend| backend.listed).count();
        listed == specs.len()
            && specs.iter().all(|spec| {
                let id = self.by_name.get(&spec.name);
                id.is_some_and(|id| self.backends[*id as usize].listed)
            })
    }

    /// Takes over another share.
    pub(crate) fn rebuild(&mut self, now: Time, specs: &[BackendSpec], out: &mut Vec<PlaceEffect>) {
        for backend in &mut self.backends {
            backend.listed = false;
        }
        for spec in specs {
            self.list(spec);
        }
        self.number_racks();
        self.seat_all();
        self.retire();
        for id in 0..self.backends.len() as u32 {
            self.release_kept(id);
            self.refresh(id);
        }
        for pool in 0..self.pools.len() as u32 {
            self.bounce(pool, out);
        }
        self.dispatch_all(now, out);
    }

    fn list(&mut self, spec: &BackendSpec) {
        if let Some(&id) = self.by_name.get(&spec.name) {
            self.backends[id as usize].update(spec);
            return;
        }
        let mut backend = Backend::new(spec);
        backend.leaving = self.leaving.contains(&spec.name);
        let id = self.vacant.pop().unwrap_or(self.backends.len() as u32);
        if id as usize == self.backends.len() {
            self.backends.push(backend);
        } else {
            self.backends[id as usize] = backend;
        }
        self.by_name.insert(spec.name.clone(), id);
    }

    /// Forgets back ends that have left the share and run nothing any more.
    fn retire(&mut self) {
        for (id, backend) in self.backends.iter_mut().enumerate() {
            if backend.listed || !backend.running.is_empty() {
                continue;
            }
            if self.by_name.get(&backend.name) == Some(&(id as u32)) {
                self.by_name.remove(&backend.name);
                self.vacant.push(id as u32);
            }
        }
    }

    fn number_racks(&mut self) {
        let mut numbers: HashMap<Name, u32> = HashMap::new();
        self.racks.clear();
        for (id, backend) in self.backends.iter_mut().enumerate().filter(|(_, b)| b.listed) {
            let next = numbers.len() as u32;
            backend.rack_id = *numbers.entry(backend.rack.clone()).or_insert(next);
            if backend.rack_id == next {
                self.racks.push(Rack::default());
            }
            self.racks[backend.rack_id as usize].backends.push(id as u32);
        }
    }

    /// Gives every listed back end its seats.
    fn seat_all(&mut self) {
        for backend in &mut self.backends {
            backend.seats.clear();
        }
        for pool in 0..self.pools.len() as u32 {
            if !self.pools[pool as usize].on_workers() {
                self.reseat(pool, &[]);
            }
        }
        self.seat_services();
        self.seat_workers(PLAIN);
        self.seat_workers(ACCELERATED);
        // Slots of back ends are used anew: no speed may outlive its back end.
        for pool in &mut self.pools {
            pool.former.clear();
        }
    }

    fn seat_services(&mut self) {
        let services = std::mem::take(&mut self.config.services);
        for (name, service) in &services {
            let pool = self.service_pool(name);
            self.pools[pool as usize].path = service.path.clone();
            let ids = service.servers.iter().filter_map(|server| self.by_name.get(server));
            let listed = |id: &u32| {
                let backend = &self.backends[*id as usize];
                backend.listed && !backend.worker
            };
            let ids: Vec<u32> = ids.copied().filter(listed).collect();
            self.reseat(pool, &ids);
        }
        self.config.services = services;
    }

    fn service_pool(&mut self, name: &Name) -> u32 {
        if let Some(&pool) = self.services.get(name) {
            return pool;
        }
        let pool = self.pools.len() as u32;
        self.pools.push(Pool::new(PoolKind::Service(name.clone())));
        self.services.insert(name.clone(), pool);
        pool
    }

    /// Seats the workers of a class: fewer accelerators first, then the faster.
    pub(crate) fn seat_workers(&mut self, pool: u32) {
        let least = u32::from(pool == ACCELERATED);
        let listed = self.backends.iter().enumerate().filter(|(_, backend)| {
            backend.listed && backend.worker && backend.total.accelerators >= least
        });
        let mut ids: Vec<u32> = listed.map(|(id, _)| id as u32).collect();
        let speeds = self.speeds(pool);
        let common = self.pools[pool as usize].common.ln;
        let ln = |id: &u32| speeds.get(id).filter(|s| s.known()).map_or(common, |s| s.ln);
        ids.sort_by(|a, b| {
            let accelerators = |id: &u32| self.backends[*id as usize].total.accelerators;
            accelerators(a).cmp(&accelerators(b)).then(ln(a).total_cmp(&ln(b)))
        });
        self.reseat(pool, &ids);
    }

    fn speeds(&self, pool: u32) -> HashMap<u32, RunTime> {
        let seats = &self.pools[pool as usize].seats;
        let all = self.pools[pool as usize].former.iter().chain(seats);
        all.map(|seat| (seat.backend, seat.speed)).collect()
    }

    fn reseat(&mut self, pool: u32, ids: &[u32]) {
        let speeds = self.speeds(pool);
        let seats = ids.iter().map(|id| {
            let speed = speeds.get(id).copied().unwrap_or_default();
            Endpoint::new(*id, self.backends[*id as usize].rack_id, speed)
        });
        let seats: Vec<Endpoint> = seats.collect();
        for (at, id) in ids.iter().enumerate() {
            let own = &mut self.backends[*id as usize].seats;
            own.retain(|(other, _)| *other != pool);
            own.push((pool, at as u32));
        }
        self.pools[pool as usize].reseat(seats);
    }

    /// Counts the room of a back end anew in all its pools.
    pub(crate) fn refresh(&mut self, id: u32) {
        let backend = &self.backends[id as usize];
        let mut state = EndpointState {
            usable: backend.usable(),
            sour: backend.health.sour(),
            total: backend.total,
            free: Resources::default(),
            running: backend.running.len() as u32,
        };
        for &(pool, at) in &backend.seats {
            state.free = match pool {
                _ if backend.kept.is_some() => Resources::default(),
                PLAIN => backend.free_plain(),
                _ => backend.free(),
            };
            self.pools[pool as usize].refresh(at as usize, &state);
        }
    }

    /// Keeps a back end that is not usable free for nobody.
    fn release_kept(&mut self, id: u32) {
        let backend = &mut self.backends[id as usize];
        let kept = if backend.usable() { None } else { backend.kept.take() };
        if let Some(held) = kept.and_then(|slot| self.held.get_mut(slot)) {
            held.kept = None;
        }
    }

    /// Takes in that a back end became usable or stopped being so.
    pub(crate) fn changed(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        self.release_kept(id);
        self.refresh(id);
        for step in 0..self.backends[id as usize].seats.len() {
            let (pool, _) = self.backends[id as usize].seats[step];
            self.bounce(pool, out);
        }
        self.dispatch_served(now, id, out);
    }

    /// Ends the waiting tasks of a pool that no usable back end can run, so
    /// that their homes place them elsewhere.
    fn bounce(&mut self, id: u32, out: &mut Vec<PlaceEffect>) {
        let pool = &self.pools[id as usize];
        if pool.queue.waiting() == 0 {
            return;
        }
        let all = pool.usable == 0;
        let lost: Vec<Resources> = pool.needs.keys().map(|need| Resources::from(*need)).collect();
        let lost: Vec<Resources> = lost.into_iter().filter(|want| !pool.could_run(want)).collect();
        if !all && lost.is_empty() {
            return;
        }
        let stranded: Vec<u32> = pool
            .queue
            .heads(usize::MAX, usize::MAX)
            .filter(|slot| {
                let want = self.held.get(*slot).map(super::task_table::TaskEntry::want);
                all || want.is_some_and(|want| lost.contains(&want))
            })
            .collect();
        for slot in stranded {
            self.unqueue(slot);
            self.settle(slot, Outcome::NotRun(Cause::NoBackend), out);
        }
    }
}
