//! Handling of changes to the share and its backends.

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
    /// Returns whether the share contains the same backends as before.
    pub(crate) fn same_share(&self, specs: &[BackendSpec]) -> bool {
        let in_share = self.backends.iter().filter(|backend| backend.in_share).count();
        in_share == specs.len()
            && specs.iter().all(|spec| {
                let id = self.backend_ids.get(&spec.name);
                id.is_some_and(|id| self.backends[*id as usize].in_share)
            })
    }

    /// Applies a new share.
    pub(crate) fn rebuild(&mut self, now: Time, specs: &[BackendSpec], out: &mut Vec<PlaceEffect>) {
        for backend in &mut self.backends {
            backend.in_share = false;
        }
        for spec in specs {
            self.upsert_backend(spec);
        }
        self.number_racks();
        self.assign_endpoints();
        self.remove_retired();
        for id in 0..self.backends.len() as u32 {
            self.release_reservation(id);
            self.refresh(id);
        }
        for pool in 0..self.pools.len() as u32 {
            self.return_unrunnable(pool, out);
        }
        self.dispatch_all(now, out);
    }

    fn upsert_backend(&mut self, spec: &BackendSpec) {
        if let Some(&id) = self.backend_ids.get(&spec.name) {
            self.backends[id as usize].update(spec);
            return;
        }
        let mut backend = Backend::new(spec);
        backend.leaving = self.leaving_names.contains(&spec.name);
        let id = self.vacant_ids.pop().unwrap_or(self.backends.len() as u32);
        if id as usize == self.backends.len() {
            self.backends.push(backend);
        } else {
            self.backends[id as usize] = backend;
        }
        self.backend_ids.insert(spec.name.clone(), id);
    }

    /// Removes backends that have left the share and run no more tasks.
    fn remove_retired(&mut self) {
        for (id, backend) in self.backends.iter_mut().enumerate() {
            if backend.in_share || !backend.running.is_empty() {
                continue;
            }
            if self.backend_ids.get(&backend.name) == Some(&(id as u32)) {
                self.backend_ids.remove(&backend.name);
                self.vacant_ids.push(id as u32);
            }
        }
    }

    fn number_racks(&mut self) {
        let mut numbers: HashMap<Name, u32> = HashMap::new();
        self.racks.clear();
        for (id, backend) in self.backends.iter_mut().enumerate().filter(|(_, b)| b.in_share) {
            let next = numbers.len() as u32;
            backend.rack_id = *numbers.entry(backend.rack.clone()).or_insert(next);
            if backend.rack_id == next {
                self.racks.push(Rack::default());
            }
            self.racks[backend.rack_id as usize].backends.push(id as u32);
        }
    }

    /// Assigns the backends of the share to pools.
    fn assign_endpoints(&mut self) {
        for backend in &mut self.backends {
            backend.endpoints.clear();
        }
        for pool in 0..self.pools.len() as u32 {
            if !self.pools[pool as usize].runs_on_workers() {
                self.replace_endpoints(pool, &[]);
            }
        }
        self.assign_services();
        self.assign_workers(PLAIN);
        self.assign_workers(ACCELERATED);
        // Backend indexes are reused: a run time must not outlive its backend.
        for pool in &mut self.pools {
            pool.former_endpoints.clear();
        }
    }

    fn assign_services(&mut self) {
        let services = std::mem::take(&mut self.config.services);
        for (name, service) in &services {
            let pool = self.service_pool(name);
            self.pools[pool as usize].path = service.path.clone();
            let ids = service.servers.iter().filter_map(|server| self.backend_ids.get(server));
            let in_share = |id: &u32| {
                let backend = &self.backends[*id as usize];
                backend.in_share && !backend.worker
            };
            let ids: Vec<u32> = ids.copied().filter(in_share).collect();
            self.replace_endpoints(pool, &ids);
        }
        self.config.services = services;
    }

    fn service_pool(&mut self, name: &Name) -> u32 {
        if let Some(&pool) = self.service_pools.get(name) {
            return pool;
        }
        let pool = self.pools.len() as u32;
        self.pools.push(Pool::new(PoolKind::Service(name.clone())));
        self.service_pools.insert(name.clone(), pool);
        pool
    }

    /// Assigns the workers to a pool of tasks with or without accelerators: those with
    /// fewer accelerators first, then faster ones.
    pub(crate) fn assign_workers(&mut self, pool: u32) {
        let least = u32::from(pool == ACCELERATED);
        let in_share = self.backends.iter().enumerate().filter(|(_, backend)| {
            backend.in_share && backend.worker && backend.capacity.accelerators >= least
        });
        let mut ids: Vec<u32> = in_share.map(|(id, _)| id as u32).collect();
        let run_times = self.run_times(pool);
        let overall = self.pools[pool as usize].overall.mean_ln;
        let ln = |id: &u32| {
            run_times
                .get(id)
                .filter(|known| known.is_known())
                .map_or(overall, |known| known.mean_ln)
        };
        ids.sort_by(|a, b| {
            let accelerators = |id: &u32| self.backends[*id as usize].capacity.accelerators;
            accelerators(a).cmp(&accelerators(b)).then(ln(a).total_cmp(&ln(b)))
        });
        self.replace_endpoints(pool, &ids);
    }

    fn run_times(&self, pool: u32) -> HashMap<u32, RunTime> {
        let endpoints = &self.pools[pool as usize].endpoints;
        let all = self.pools[pool as usize].former_endpoints.iter().chain(endpoints);
        all.map(|endpoint| (endpoint.backend, endpoint.run_time)).collect()
    }

    fn replace_endpoints(&mut self, pool: u32, ids: &[u32]) {
        let run_times = self.run_times(pool);
        let endpoints = ids.iter().map(|id| {
            let run_time = run_times.get(id).copied().unwrap_or_default();
            Endpoint::new(*id, self.backends[*id as usize].rack_id, run_time)
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        for (at, id) in ids.iter().enumerate() {
            let own = &mut self.backends[*id as usize].endpoints;
            own.retain(|(other, _)| *other != pool);
            own.push((pool, at as u32));
        }
        self.pools[pool as usize].replace_endpoints(endpoints);
    }

    /// Updates the capacity of a backend in all its pools.
    pub(crate) fn refresh(&mut self, id: u32) {
        let backend = &self.backends[id as usize];
        let mut state = EndpointState {
            usable: backend.is_usable(),
            failing: backend.health.is_failing(),
            capacity: backend.capacity,
            free: Resources::default(),
            running: backend.running.len() as u32,
        };
        for &(pool, at) in &backend.endpoints {
            state.free = match pool {
                _ if backend.reserved_for.is_some() => Resources::default(),
                PLAIN => backend.free_for_plain(),
                _ => backend.free(),
            };
            self.pools[pool as usize].refresh(at as usize, &state);
        }
    }

    /// Releases the reservation of a backend that is no longer usable.
    fn release_reservation(&mut self, id: u32) {
        let backend = &mut self.backends[id as usize];
        let reserved = if backend.is_usable() { None } else { backend.reserved_for.take() };
        if let Some(task) = reserved.and_then(|slot| self.tasks.get_mut(slot)) {
            task.reserved_worker = None;
        }
    }

    /// Handles that a backend became usable or unusable.
    pub(crate) fn handle_backend_change(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        self.release_reservation(id);
        self.refresh(id);
        for step in 0..self.backends[id as usize].endpoints.len() {
            let (pool, _) = self.backends[id as usize].endpoints[step];
            self.return_unrunnable(pool, out);
        }
        self.dispatch_backend(now, id, out);
    }

    /// Ends the waiting tasks of a pool that no usable backend can run, so that their
    /// homes place them elsewhere.
    fn return_unrunnable(&mut self, id: u32, out: &mut Vec<PlaceEffect>) {
        let pool = &self.pools[id as usize];
        if pool.queue.waiting() == 0 {
            return;
        }
        let all = pool.usable_count == 0;
        let unrunnable: Vec<Resources> =
            pool.waiting_needs.keys().map(|need| Resources::from(*need)).collect();
        let unrunnable: Vec<Resources> =
            unrunnable.into_iter().filter(|demand| !pool.can_run(demand)).collect();
        if !all && unrunnable.is_empty() {
            return;
        }
        let stranded: Vec<u32> = pool
            .queue
            .heads(usize::MAX, usize::MAX)
            .filter(|slot| {
                let demand = self.tasks.get(*slot).map(super::task_table::TaskEntry::demand);
                all || demand.is_some_and(|demand| unrunnable.contains(&demand))
            })
            .collect();
        for slot in stranded {
            self.dequeue(slot);
            self.finish(slot, Outcome::NotRun(Cause::NoBackend), out);
        }
    }
}
