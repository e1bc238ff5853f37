//! Weighted fair queue of the waiting tasks of a pool.

use std::collections::BTreeSet;

use super::team_queue::{Rank, TeamQueue};

/// Waiting tasks of a pool, fair between teams.
///
/// The team with the least service relative to its weight goes first. A team that
/// was idle starts at the virtual time of the others, so that it cannot accumulate
/// idle time for a later burst.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Queues by index of the team.
    queues: Vec<TeamQueue>,
    by_vtime: BTreeSet<(u64, u32)>,
    clock: u64,
    waiting: u32,
    waiting_weight: u64,
}

impl FairQueue {
    /// Returns the number of waiting tasks.
    pub(crate) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting tasks of a team.
    pub(crate) fn waiting_of(&self, team: u32) -> usize {
        self.queues.get(team as usize).map_or(0, |queue| queue.tasks.len())
    }

    /// Returns the share of the pool that a team gets while it has waiting tasks.
    pub(crate) fn share(&self, team: u32, weight: u32) -> f64 {
        let own = f64::from(weight.max(1));
        let others = if self.waiting_of(team) > 0 {
            (self.waiting_weight as f64 - own).max(0.0)
        } else {
            self.waiting_weight as f64
        };
        own / (own + others)
    }

    /// Adds a task.
    pub(crate) fn push(&mut self, team: u32, weight: u32, rank: Rank, task: u32) {
        let clock = self.by_vtime.first().map_or(self.clock, |(vtime, _)| *vtime);
        if self.queues.len() <= team as usize {
            self.queues.resize_with(team as usize + 1, TeamQueue::default);
        }
        let queue = &mut self.queues[team as usize];
        if queue.tasks.is_empty() {
            queue.weight = weight.max(1);
            queue.vtime = queue.vtime.max(clock);
            self.by_vtime.insert((queue.vtime, team));
            self.waiting_weight += u64::from(queue.weight);
        }
        if queue.tasks.insert(rank, task).is_none() {
            self.waiting += 1;
        }
    }

    /// Removes a task.
    pub(crate) fn remove(&mut self, team: u32, rank: &Rank) {
        let Some(queue) = self.queues.get_mut(team as usize) else { return };
        if queue.tasks.remove(rank).is_none() {
            return;
        }
        self.waiting -= 1;
        if queue.tasks.is_empty() {
            self.by_vtime.remove(&(queue.vtime, team));
            self.waiting_weight -= u64::from(queue.weight);
        }
    }

    /// Adds `cost` microseconds to the service of a team.
    pub(crate) fn charge(&mut self, team: u32, cost: u64) {
        let Some(queue) = self.queues.get_mut(team as usize) else { return };
        let next = queue.vtime.saturating_add(cost / u64::from(queue.weight.max(1)));
        self.clock = self.clock.max(queue.vtime);
        Self::set_vtime(&mut self.by_vtime, queue, team, next);
    }

    /// Subtracts `cost` microseconds from the service of a team.
    pub(crate) fn refund(&mut self, team: u32, cost: u64) {
        let Some(queue) = self.queues.get_mut(team as usize) else { return };
        let next = queue.vtime.saturating_sub(cost / u64::from(queue.weight.max(1)));
        Self::set_vtime(&mut self.by_vtime, queue, team, next);
    }

    fn set_vtime(by_vtime: &mut BTreeSet<(u64, u32)>, queue: &mut TeamQueue, team: u32, next: u64) {
        if !queue.tasks.is_empty() {
            by_vtime.remove(&(queue.vtime, team));
            by_vtime.insert((next, team));
        }
        queue.vtime = next;
    }

    /// Returns the first tasks in fair order, at most `per_team` of each of at most
    /// `teams` teams.
    pub(crate) fn heads(&self, teams: usize, per_team: usize) -> impl Iterator<Item = u32> + '_ {
        self.by_vtime
            .iter()
            .take(teams)
            .filter_map(|(_, team)| self.queues.get(*team as usize))
            .flat_map(move |queue| queue.tasks.values().take(per_team).copied())
    }

    /// Returns the newest task of the team with the longest queue relative to its
    /// weight, if that is more than one task longer than that of `team`.
    pub(crate) fn newest_of_longest_queue(&self, team: u32, weight: u32) -> Option<u32> {
        let own = self.waiting_of(team) as u64 * 1_000 / u64::from(weight.max(1));
        let (_, queue) = self
            .queues
            .iter()
            .enumerate()
            .filter(|(id, queue)| *id != team as usize && !queue.tasks.is_empty())
            .map(|(_, queue)| (queue.tasks.len() as u64 * 1_000 / u64::from(queue.weight), queue))
            .filter(|(length, _)| *length > own + 1_000)
            .max_by_key(|(length, _)| *length)?;
        queue.tasks.values().next_back().copied()
    }
}
