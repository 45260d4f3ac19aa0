//! One run over the waiting jobs, by their latest start.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use corianderfork_model::Time;

use super::Job;
use super::capacity::{Capacity, Window};
use super::sizes::{Class, Profile};
use crate::work::Work;

/// The part of its queue's share of kept jobs at which the jobs of a larger class are kept. Half is
/// asked for of the jobs done in time, and a larger job is more often displaced before it starts, or
/// late because of one slow task: 0.75 here gave 0.44 to 0.49 there,
/// and 0.9 gives 0.50 to 0.53.
const PROTECTED_SHARE: f64 = 0.9;
/// How many jobs may be passed over for one that isn't protected. It bounds the cost of a run.
const MAX_VICTIMS: usize = 8;
/// How much more a job that has begun is worth: the work done so far would be lost, and the work
/// that is left is likely to be followed by the end of the job.
const BEGUN_FACTOR: f64 = 4.0;
/// Tolerance of sums of work, relative to the capacity.
const TOLERANCE: f64 = 1e-9;
/// The number of classes by size.
const CLASSES: usize = 3;
/// The number of sets of resources that a job may use.
const USES: usize = 8;

/// How many jobs were seen, and how many of them are kept.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    seen: u32,
    kept: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.kept) / f64::from(self.seen.max(1))
    }
}

/// The sum of the work of some jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    work: Work,
    /// Their work as part of a second of the pool's scarcest resource.
    weight: f64,
    /// The sum of their chains in seconds, each multiplied by its weight.
    chain: f64,
}

impl Sum {
    fn add(&mut self, item: &Item) {
        self.work.add(&item.work);
        self.weight += item.weight;
        self.chain += item.chain;
    }

    fn sub(&mut self, item: &Item) {
        self.work = self.work.saturating_sub(&item.work);
        self.weight = (self.weight - item.weight).max(0.0);
        self.chain = (self.chain - item.chain).max(0.0);
    }

    /// Returns the mean chain in seconds.
    fn mean_chain(&self) -> f64 {
        if self.weight > 0.0 { self.chain / self.weight } else { 0.0 }
    }
}

/// Kept jobs of one class of a queue that use the same resources, the least worth for its work on
/// top.
#[derive(Debug, Default)]
struct Group {
    jobs: BinaryHeap<(Reverse<u64>, usize)>,
}

/// What a run needs to know of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Item {
    priority: u32,
    /// Until its latest start; `None` if it is late.
    time: Option<Duration>,
    work: Work,
    weight: f64,
    /// Its chain in seconds, multiplied by its weight.
    chain: f64,
    /// Its worth for its work, as a number of the same order.
    density: u64,
    group: usize,
}

impl Item {
    pub fn new(now: Time, capacity: &Capacity, job: &Job, queues: &[Profile]) -> Self {
        let shares = parts(&job.work).into_iter().zip(parts(capacity.room()));
        let weight = shares.map(|(work, room)| work / room.max(1e-9)).fold(0.0, f64::max);
        let queue = &queues[job.queue];
        let worth = queue.worth(job.size);
        let factor = if job.has_begun { BEGUN_FACTOR } else { 1.0 };
        let bit = |(resource, work): (usize, f64)| usize::from(work > 0.0) << resource;
        let uses: usize = parts(&job.work).into_iter().enumerate().map(bit).sum();
        Self {
            priority: job.priority,
            time: job.latest_start.map(|latest| latest - now),
            work: job.work,
            weight,
            chain: weight * job.chain.as_secs_f64(),
            // The order of the bits of positive numbers is that of the numbers.
            density: (factor * worth / weight).max(0.0).to_bits(),
            group: (job.queue * CLASSES + queue.class(job.size) as usize) * USES + uses,
        }
    }
}

/// Returns the index of a resource of which `before` and `sum` need more in `window` than a share
/// of the capacity.
fn excess(
    capacity: &Capacity,
    window: &Window,
    share: f64,
    before: &Work,
    sum: &Sum,
) -> Option<usize> {
    let mut needed = *before;
    needed.add(&sum.work);
    let mut limit = window.startable(sum.mean_chain()).times(share * (1.0 + TOLERANCE));
    limit.add(&capacity.room().times(TOLERANCE));
    let parts = parts(&needed).into_iter().zip(parts(&limit));
    parts.into_iter().position(|(needed, limit)| needed > limit)
}

/// Returns whether all jobs, in the order of [`Sweep::run`], fit into a share of the capacity.
pub(super) fn fits(capacity: &Capacity, share: f64, items: &[Item], order: &[usize]) -> bool {
    let (mut priority, mut all, mut before) = (None, Work::default(), Work::default());
    let mut sum = Sum::default();
    order.iter().all(|index| {
        let item = &items[*index];
        if priority.replace(item.priority) != Some(item.priority) {
            (before, sum) = (all, Sum::default());
        }
        all.add(&item.work);
        let Some(time) = item.time else { return true };
        sum.add(item);
        excess(capacity, &capacity.window(time), share, &before, &sum).is_none()
    })
}

/// The state of a run.
pub(super) struct Sweep<'a> {
    capacity: &'a Capacity,
    /// The part of the capacity that may be needed.
    share: f64,
    items: &'a [Item],
    /// The share of kept jobs by queue, if it is known from an earlier run.
    shares: Option<Vec<f64>>,
    /// By queue, class and the set of resources.
    groups: Vec<Group>,
    /// Indices of the groups that have had a job.
    used: Vec<usize>,
    tallies: Vec<Tally>,
    class_tallies: Vec<Tally>,
    /// The work of higher priorities.
    before: Work,
    /// The kept jobs of this priority.
    kept: Sum,
    is_passed_over: Vec<bool>,
}

impl<'a> Sweep<'a> {
    pub fn new(capacity: &'a Capacity, share: f64, items: &'a [Item], queues: usize) -> Self {
        let groups = queues * CLASSES * USES;
        Self {
            capacity,
            share,
            items,
            shares: None,
            groups: std::iter::repeat_with(Group::default).take(groups).collect(),
            used: Vec::new(),
            tallies: vec![Tally::default(); queues],
            class_tallies: vec![Tally::default(); queues * CLASSES],
            before: Work::default(),
            kept: Sum::default(),
            is_passed_over: vec![false; items.len()],
        }
    }

    /// Sets the share of kept jobs by queue by which classes are protected.
    pub fn with_shares(mut self, shares: Vec<f64>) -> Self {
        self.shares = Some(shares);
        self
    }

    pub fn passed_over(self) -> Vec<bool> {
        self.is_passed_over
    }

    /// Returns the share of kept jobs by queue, if a larger class got less than it is due.
    pub fn shares_if_uneven(&self) -> Option<Vec<f64>> {
        let is_uneven = |(index, class): (usize, &Tally)| {
            let queue = &self.tallies[index / CLASSES];
            class.seen > 0 && class.share() < PROTECTED_SHARE * queue.share()
        };
        let any = self.class_tallies.iter().enumerate().any(is_uneven);
        any.then(|| self.tallies.iter().map(Tally::share).collect())
    }

    /// Takes the jobs in `order`: by priority, then by latest start, late jobs last.
    pub fn run(&mut self, order: &[usize]) {
        let mut priority = None;
        let mut all = Work::default();
        for index in order {
            let item = &self.items[*index];
            if priority.replace(item.priority) != Some(item.priority) {
                // Also late and passed over jobs of a higher priority get room before this one.
                self.before = all;
                self.kept = Sum::default();
                self.groups.iter_mut().for_each(|group| group.jobs.clear());
                self.used.clear();
            }
            all.add(&item.work);
            if let Some(time) = item.time {
                self.take(*index, &self.capacity.window(time));
            }
        }
    }

    /// Adds a job, and passes over jobs until the kept ones fit.
    fn take(&mut self, index: usize, window: &Window) {
        let item = &self.items[index];
        self.tallies[item.group / USES / CLASSES].seen += 1;
        self.class_tallies[item.group / USES].seen += 1;
        self.keep(index);
        if self.excess(window, &self.kept).is_none() {
            return;
        }
        let mut alone = Sum::default();
        alone.add(item);
        if self.excess(window, &alone).is_some() {
            return self.pass_over(index);
        }
        // The jobs that it displaces are worth less for their work. What they leave is for later ones.
        let is_protected = self.is_protected(item.group);
        let mut victims = Vec::new();
        while let Some(resource) = self.excess(window, &self.kept) {
            let Some(victim) = self.least(resource) else { break };
            let is_too_costly = !is_protected && victims.len() == MAX_VICTIMS;
            if victim == index || is_too_costly {
                for victim in victims {
                    self.is_passed_over[victim] = false;
                    self.keep(victim);
                }
                return self.pass_over(index);
            }
            self.pass_over(victim);
            victims.push(victim);
        }
    }

    fn excess(&self, window: &Window, sum: &Sum) -> Option<usize> {
        excess(self.capacity, window, self.share, &self.before, sum)
    }

    /// Returns the kept job that uses a resource and has the least worth for its work. One whose
    /// class would fall below its share is returned only if there is no other.
    fn least(&mut self, resource: usize) -> Option<usize> {
        let mut least: Option<(bool, u64, Reverse<usize>)> = None;
        for position in 0..self.used.len() {
            let group = self.used[position];
            if (group % USES) & (1 << resource) == 0 {
                continue;
            }
            while let Some((Reverse(density), index)) = self.groups[group].jobs.peek().copied() {
                if self.is_passed_over[index] {
                    self.groups[group].jobs.pop();
                    continue;
                }
                // Of equal jobs the one that was taken last: then it isn't exchanged for another.
                let candidate = (self.is_protected(group), density, Reverse(index));
                least = Some(least.map_or(candidate, |least| least.min(candidate)));
                break;
            }
        }
        least.map(|(_, _, Reverse(index))| index)
    }

    /// Returns whether a class would fall below its share with one kept job less.
    fn is_protected(&self, group: usize) -> bool {
        let class = group / USES;
        if class % CLASSES == Class::Common as usize {
            return false;
        }
        let (tally, queue) = (self.class_tallies[class], self.tallies[class / CLASSES]);
        let share = match &self.shares {
            Some(shares) => shares[class / CLASSES],
            None => f64::from(queue.kept.saturating_sub(1)) / f64::from(queue.seen.max(1)),
        };
        f64::from(tally.kept.saturating_sub(1)) < PROTECTED_SHARE * share * f64::from(tally.seen)
    }

    fn keep(&mut self, index: usize) {
        let item = &self.items[index];
        self.kept.add(item);
        self.class_tallies[item.group / USES].kept += 1;
        self.tallies[item.group / USES / CLASSES].kept += 1;
        if self.groups[item.group].jobs.is_empty() && !self.used.contains(&item.group) {
            self.used.push(item.group);
        }
        self.groups[item.group].jobs.push((Reverse(item.density), index));
    }

    /// Passes over a kept job. Its group drops it when it comes to the top.
    fn pass_over(&mut self, index: usize) {
        let item = &self.items[index];
        self.is_passed_over[index] = true;
        self.kept.sub(item);
        self.class_tallies[item.group / USES].kept -= 1;
        self.tallies[item.group / USES / CLASSES].kept -= 1;
    }
}

fn parts(work: &Work) -> [f64; 3] {
    [work.cpu, work.memory_mb, work.gpu]
}
