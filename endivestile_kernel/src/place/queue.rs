//! Waiting tasks of a pool, fair between teams.

use std::collections::BTreeSet;

use super::team_queue::{Rank, TeamQueue};

/// Waiting tasks of a pool.
///
/// The team with the least service so far, for its weight, goes first. A
/// team that was idle starts from the service of the others: it can't save
/// up idle time for a later flood.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// By number of the team.
    lines: Vec<TeamQueue>,
    order: BTreeSet<(u64, u32)>,
    clock: u64,
    waiting: u32,
    weights: u64,
}

impl FairQueue {
    /// Returns the number of waiting tasks.
    pub(crate) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the waiting tasks of a team.
    pub(crate) fn waiting_of(&self, team: u32) -> usize {
        self.lines.get(team as usize).map_or(0, |line| line.tasks.len())
    }

    /// Returns the part of the pool that a team gets while it waits.
    pub(crate) fn part(&self, team: u32, weight: u32) -> f64 {
        let own = f64::from(weight.max(1));
        let others = if self.waiting_of(team) > 0 {
            (self.weights as f64 - own).max(0.0)
        } else {
            self.weights as f64
        };
        own / (own + others)
    }

    /// Adds a task.
    pub(crate) fn push(&mut self, team: u32, weight: u32, rank: Rank, task: u32) {
        let clock = self.order.first().map_or(self.clock, |(vtime, _)| *vtime);
        if self.lines.len() <= team as usize {
            self.lines.resize_with(team as usize + 1, TeamQueue::default);
        }
        let line = &mut self.lines[team as usize];
        if line.tasks.is_empty() {
            line.weight = weight.max(1);
            line.vtime = line.vtime.max(clock);
            self.order.insert((line.vtime, team));
            self.weights += u64::from(line.weight);
        }
        if line.tasks.insert(rank, task).is_none() {
            self.waiting += 1;
        }
    }

    /// Removes a task.
    pub(crate) fn remove(&mut self, team: u32, rank: &Rank) {
        let Some(line) = self.lines.get_mut(team as usize) else { return };
        if line.tasks.remove(rank).is_none() {
            return;
        }
        self.waiting -= 1;
        if line.tasks.is_empty() {
            self.order.remove(&(line.vtime, team));
            self.weights -= u64::from(line.weight);
        }
    }

    /// Adds `cost` microseconds to the service that a team has had.
    pub(crate) fn charge(&mut self, team: u32, cost: u64) {
        let Some(line) = self.lines.get_mut(team as usize) else { return };
        let next = line.vtime.saturating_add(cost / u64::from(line.weight.max(1)));
        self.clock = self.clock.max(line.vtime);
        Self::shift(&mut self.order, line, team, next);
    }

    /// Takes `cost` microseconds back from the service that a team has had.
    pub(crate) fn refund(&mut self, team: u32, cost: u64) {
        let Some(line) = self.lines.get_mut(team as usize) else { return };
        let next = line.vtime.saturating_sub(cost / u64::from(line.weight.max(1)));
        Self::shift(&mut self.order, line, team, next);
    }

    fn shift(order: &mut BTreeSet<(u64, u32)>, line: &mut TeamQueue, team: u32, next: u64) {
        if !line.tasks.is_empty() {
            order.remove(&(line.vtime, team));
            order.insert((next, team));
        }
        line.vtime = next;
    }

    /// Returns the first tasks in fair order: up to `lines` teams, up to `depth` of each.
    pub(crate) fn heads(&self, lines: usize, depth: usize) -> impl Iterator<Item = u32> + '_ {
        self.order
            .iter()
            .take(lines)
            .filter_map(|(_, team)| self.lines.get(*team as usize))
            .flat_map(move |line| line.tasks.values().take(depth).copied())
    }

    /// Returns the newest task of the team with the most waiting for its
    /// weight, when that is more than `team` has.
    pub(crate) fn newest_of_longest(&self, team: u32, weight: u32) -> Option<u32> {
        let own = self.waiting_of(team) as u64 * 1_000 / u64::from(weight.max(1));
        let (_, line) = self
            .lines
            .iter()
            .enumerate()
            .filter(|(id, line)| *id != team as usize && !line.tasks.is_empty())
            .map(|(_, line)| (line.tasks.len() as u64 * 1_000 / u64::from(line.weight), line))
            .filter(|(length, _)| *length > own + 1_000)
            .max_by_key(|(length, _)| *length)?;
        line.tasks.values().next_back().copied()
    }
}
