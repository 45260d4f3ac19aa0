//! Requests that wait at a proxy for a slot.
//!
//! The queue is bounded and serves classes in order: first, normal, later; in
//! one class the oldest goes first. A request that would wait past its deadline
//! is refused at once, with a `Retry-After` worked out from the rate at which
//! its service has drained lately. Were it held until its deadline, the caller
//! would have learned nothing for all that time and its retry would come on top
//! of the next load.
//!
//! The queue knows nothing of runners: [`Queue::take`] asks its caller which
//! services have a free slot.
//!
//! ```
//! use corianderfork_model::{service::Class, Name, Time};
//! use corianderfork_routing::queue::{Config, Queue, Request};
//!
//! let mut queue = Queue::new(Config::default());
//! let now = Time::ZERO;
//! let deadline = Time::from_millis(2_000);
//! let archive = Name::new("archive")?;
//! let transfer = Name::new("transfer")?;
//! queue.push(now, Request::new(Class::Later, archive, deadline, 'a')).expect("room");
//! queue.push(now, Request::new(Class::First, transfer, deadline, 't')).expect("room");
//! assert_eq!(queue.take(now, |_| true), Some('t'));
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use corianderfork_model::service::Class;
use corianderfork_model::{Name, Time};

use crate::outcome::{Reason, Refusal};

mod rate;

use rate::Rate;

/// The shortest hint: a caller that came back sooner would find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest hint: the load of half a minute ago says little.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Bounds of a [`Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { capacity: 256 }
    }
}

impl Config {
    /// Sets how many requests may wait, all classes together.
    pub fn capacity(mut self, requests: usize) -> Self {
        self.capacity = requests;
        self
    }
}

/// A request that wants to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<T> {
    class: Class,
    service: Name,
    deadline: Time,
    item: T,
}

impl<T> Request<T> {
    /// A request of `class` for `service` that has to leave the queue before
    /// `deadline`; `item` is the driver's own.
    pub fn new(class: Class, service: Name, deadline: Time, item: T) -> Self {
        Self { class, service, deadline, item }
    }
}

/// A request that was refused: tell its caller at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The driver's own.
    pub item: T,
    /// Why, and when to come back.
    pub refusal: Refusal,
}

/// A bounded queue by class. See the [module](self) for an example.
#[derive(Debug)]
pub struct Queue<T> {
    config: Config,
    lanes: BTreeMap<Lane, VecDeque<Waiting<T>>>,
    rates: HashMap<Name, Rate>,
    len: usize,
    next: u64,
}

/// Requests of one class for one service, oldest first. Ordered by class, the
/// least urgent first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    class: Class,
    service: Name,
}

#[derive(Debug)]
struct Waiting<T> {
    order: u64,
    deadline: Time,
    item: T,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(config: Config) -> Self {
        Self { config, lanes: BTreeMap::new(), rates: HashMap::new(), len: 0, next: 0 }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests for `service` wait, all classes together.
    pub fn waiting(&self, service: &Name) -> usize {
        self.waiting_from(Class::Later, service)
    }

    /// Lets `request` wait. If the queue is full and a less urgent request
    /// waits, the newest of the least urgent class gives up its place and is
    /// returned.
    ///
    /// # Errors
    ///
    /// Refuses the request at once if the queue is full of requests at least as
    /// urgent, or if the request would wait past its deadline.
    pub fn push(
        &mut self,
        now: Time,
        request: Request<T>,
    ) -> Result<Option<Refused<T>>, Refused<T>> {
        let Request { class, service, deadline, item } = request;
        let wait = self.expected_wait(now, class, &service);
        if now + wait.unwrap_or_default() >= deadline {
            return Err(refused(item, Reason::DeadlineTooSoon, wait));
        }
        let displaced = if self.len < self.config.capacity {
            None
        } else {
            match self.displace(now, class) {
                Some(displaced) => Some(displaced),
                None => return Err(refused(item, Reason::QueueFull, wait)),
            }
        };
        let order = self.next;
        self.next += 1;
        self.rates.entry(service.clone()).or_insert_with(|| Rate::new(now));
        let lane = self.lanes.entry(Lane { class, service }).or_default();
        lane.push_back(Waiting { order, deadline, item });
        self.len += 1;
        Ok(displaced)
    }

    /// Takes the request that goes next: the oldest of the most urgent class
    /// whose service `has_room`. Requests past their deadline are left for
    /// [`Queue::sweep`].
    pub fn take(&mut self, now: Time, mut has_room: impl FnMut(&Name) -> bool) -> Option<T> {
        let lane = self.next_lane(now, &mut has_room)?;
        let waiting = self.lanes.get_mut(&lane)?;
        let at = waiting.iter().position(|w| now < w.deadline)?;
        let taken = waiting.remove(at)?;
        self.len -= 1;
        self.tidy();
        Some(taken.item)
    }

    /// Counts a request of `service` that got a slot, from the queue or past
    /// it: the drain rate behind `Retry-After` is made of these.
    pub fn count_start(&mut self, now: Time, service: &Name) {
        if let Some(rate) = self.rates.get_mut(service) {
            rate.count(now);
        }
    }

    /// Refuses every request that will not get its turn before its deadline.
    /// To be called a few times a second: the rate may have fallen since the
    /// request came.
    pub fn sweep(&mut self, now: Time) -> Vec<Refused<T>> {
        let lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        let mut out = Vec::new();
        for lane in lanes {
            self.sweep_lane(now, &lane, &mut out);
        }
        self.len -= out.len();
        self.tidy();
        out
    }

    /// Removes every request, as a proxy that stops does, and refuses it.
    pub fn drain(&mut self) -> Vec<Refused<T>> {
        self.len = 0;
        let lanes = std::mem::take(&mut self.lanes);
        let waiting = lanes.into_values().flatten();
        waiting.map(|w| refused(w.item, Reason::QueueFull, None)).collect()
    }

    fn sweep_lane(&mut self, now: Time, lane: &Lane, out: &mut Vec<Refused<T>>) {
        let ahead = self.waiting_from(lane.class, &lane.service);
        let rate = self.rates.get(&lane.service).copied();
        let Some(waiting) = self.lanes.get_mut(lane) else { return };
        // Of the same class, only those before it in its lane are ahead.
        let ahead = ahead - waiting.len();
        let mut kept = VecDeque::with_capacity(waiting.len());
        for w in waiting.drain(..) {
            let wait = rate.and_then(|rate| rate.wait(now, ahead + kept.len()));
            if now + wait.unwrap_or_default() < w.deadline {
                kept.push_back(w);
            } else {
                out.push(refused(w.item, Reason::DeadlineTooSoon, wait));
            }
        }
        *waiting = kept;
    }

    /// The newest request of the least urgent class below `class`.
    fn displace(&mut self, now: Time, class: Class) -> Option<Refused<T>> {
        let least = self.lanes.keys().next()?.class;
        if least >= class {
            return None;
        }
        let newest = |waiting: &VecDeque<Waiting<T>>| waiting.back().map(|w| w.order);
        let of_least = self.lanes.iter().take_while(|(lane, _)| lane.class == least);
        let lane = of_least.max_by_key(|(_, waiting)| newest(waiting)).map(|(lane, _)| lane)?;
        let lane = lane.clone();
        let wait = self.expected_wait(now, lane.class, &lane.service);
        let waiting = self.lanes.get_mut(&lane)?;
        let displaced = waiting.pop_back()?;
        self.len -= 1;
        self.tidy();
        Some(refused(displaced.item, Reason::Displaced, wait))
    }

    fn next_lane(&self, now: Time, has_room: &mut impl FnMut(&Name) -> bool) -> Option<Lane> {
        let mut best: Option<(Class, u64, &Lane)> = None;
        for (lane, waiting) in self.lanes.iter().rev() {
            if best.is_some_and(|(class, ..)| class > lane.class) {
                break;
            }
            let Some(head) = waiting.iter().find(|w| now < w.deadline) else { continue };
            if best.is_some_and(|(_, order, _)| order < head.order) || !has_room(&lane.service) {
                continue;
            }
            best = Some((lane.class, head.order, lane));
        }
        best.map(|(.., lane)| lane.clone())
    }

    /// Requests for `service` at least as urgent as `class`.
    fn waiting_from(&self, class: Class, service: &Name) -> usize {
        let lanes = self.lanes.iter().filter(|(lane, _)| lane.class >= class);
        lanes.filter(|(lane, _)| lane.service == *service).map(|(_, waiting)| waiting.len()).sum()
    }

    fn expected_wait(&self, now: Time, class: Class, service: &Name) -> Option<Duration> {
        let ahead = self.waiting_from(class, service);
        self.rates.get(service).and_then(|rate| rate.wait(now, ahead))
    }

    /// Drops what is kept of lanes and services for which nothing waits.
    fn tidy(&mut self) {
        self.lanes.retain(|_, waiting| !waiting.is_empty());
        let lanes = &self.lanes;
        self.rates.retain(|service, _| lanes.keys().any(|lane| lane.service == *service));
    }
}

fn refused<T>(item: T, reason: Reason, wait: Option<Duration>) -> Refused<T> {
    let wait = wait.unwrap_or(MIN_RETRY_AFTER);
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Refused { item, refusal: Refusal { retry_after, reason } }
}
