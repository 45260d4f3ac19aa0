//! The queue of requests that wait at a proxy for a slot.
//!
//! The queue is bounded and serves classes in order: first, normal, later;
//! within a class the oldest request goes first. A request that would wait
//! beyond its deadline is refused immediately, with a `Retry-After` computed
//! from the recent drain rate of its service. If it were held until its
//! deadline, the caller would learn nothing in the meantime, and its retry
//! would add to the load at that time.
//!
//! The queue does not know the runners: [`Queue::take`] asks its caller which
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

/// The shortest `Retry-After`: a caller that returned sooner would find the
/// same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest `Retry-After`: the load more than half a minute ahead cannot be
/// estimated from the current load.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Settings of a [`Queue`].
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
    /// Sets the maximum number of waiting requests over all classes.
    pub fn capacity(mut self, requests: usize) -> Self {
        self.capacity = requests;
        self
    }
}

/// A request to be queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<T> {
    class: Class,
    service: Name,
    deadline: Time,
    item: T,
}

impl<T> Request<T> {
    /// Creates a request of `class` for `service` that has to leave the queue
    /// before `deadline`. `item` is the driver's own data.
    pub fn new(class: Class, service: Name, deadline: Time, item: T) -> Self {
        Self { class, service, deadline, item }
    }
}

/// A refused request, whose caller has to be answered immediately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The driver's own data.
    pub item: T,
    /// The reason, and when to retry.
    pub refusal: Refusal,
}

/// A bounded priority queue. See the [module](self) for an example.
#[derive(Debug)]
pub struct Queue<T> {
    config: Config,
    lanes: BTreeMap<Lane, VecDeque<Waiting<T>>>,
    rates: HashMap<Name, Rate>,
    len: usize,
    next_seq: u64,
}

/// The requests of one class for one service, oldest first. Lanes are ordered
/// by class, least urgent first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    class: Class,
    service: Name,
}

#[derive(Debug)]
struct Waiting<T> {
    seq: u64,
    deadline: Time,
    item: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Self {
        Self { config, lanes: BTreeMap::new(), rates: HashMap::new(), len: 0, next_seq: 0 }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests for `service` over all classes.
    pub fn waiting(&self, service: &Name) -> usize {
        self.count_at_least(Class::Later, service)
    }

    /// Adds `request` to the queue. If the queue is full and a less urgent
    /// request waits, the newest request of the least urgent class is removed
    /// and returned.
    ///
    /// # Errors
    ///
    /// Returns the request if the queue is full of requests that are at least
    /// as urgent, or if the request would wait beyond its deadline.
    pub fn push(
        &mut self,
        now: Time,
        request: Request<T>,
    ) -> Result<Option<Refused<T>>, Refused<T>> {
        let Request { class, service, deadline, item } = request;
        let wait = self.expected_wait(now, class, &service);
        if now + wait.unwrap_or_default() >= deadline {
            return Err(refuse(item, Reason::DeadlineTooSoon, wait));
        }
        let displaced = if self.len < self.config.capacity {
            None
        } else {
            match self.displace(now, class) {
                Some(displaced) => Some(displaced),
                None => return Err(refuse(item, Reason::QueueFull, wait)),
            }
        };
        let seq = self.next_seq;
        self.next_seq += 1;
        self.rates.entry(service.clone()).or_insert_with(|| Rate::new(now));
        let lane = self.lanes.entry(Lane { class, service }).or_default();
        lane.push_back(Waiting { seq, deadline, item });
        self.len += 1;
        Ok(displaced)
    }

    /// Removes and returns the next request: the oldest of the most urgent
    /// class whose service `has_room`. Requests past their deadline are left to
    /// [`Queue::sweep`].
    pub fn take(&mut self, now: Time, mut has_room: impl FnMut(&Name) -> bool) -> Option<T> {
        let lane = self.next_lane(now, &mut has_room)?;
        let waiting = self.lanes.get_mut(&lane)?;
        let index = waiting.iter().position(|w| now < w.deadline)?;
        let taken = waiting.remove(index)?;
        self.len -= 1;
        self.remove_empty_lanes();
        Some(taken.item)
    }

    /// Records that a request of `service` got a slot, whether or not it was
    /// queued. The drain rate for `Retry-After` is computed from these.
    pub fn count_start(&mut self, now: Time, service: &Name) {
        if let Some(rate) = self.rates.get_mut(service) {
            rate.count(now);
        }
    }

    /// Removes and returns all requests that would not get a slot before their
    /// deadline. Call this several times a second, because the rate may have
    /// dropped since a request was queued.
    pub fn sweep(&mut self, now: Time) -> Vec<Refused<T>> {
        let lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        let mut refused = Vec::new();
        for lane in lanes {
            self.sweep_lane(now, &lane, &mut refused);
        }
        self.len -= refused.len();
        self.remove_empty_lanes();
        refused
    }

    /// Removes and refuses all requests, for a proxy that stops.
    pub fn drain(&mut self) -> Vec<Refused<T>> {
        self.len = 0;
        let lanes = std::mem::take(&mut self.lanes);
        let waiting = lanes.into_values().flatten();
        waiting.map(|w| refuse(w.item, Reason::QueueFull, None)).collect()
    }

    fn sweep_lane(&mut self, now: Time, lane: &Lane, refused: &mut Vec<Refused<T>>) {
        let ahead = self.count_at_least(lane.class, &lane.service);
        let rate = self.rates.get(&lane.service).copied();
        let Some(waiting) = self.lanes.get_mut(lane) else { return };
        // Within the class, only earlier requests of the same lane are ahead.
        let ahead = ahead - waiting.len();
        let mut kept = VecDeque::with_capacity(waiting.len());
        for w in waiting.drain(..) {
            let wait = rate.and_then(|rate| rate.estimate_wait(now, ahead + kept.len()));
            if now + wait.unwrap_or_default() < w.deadline {
                kept.push_back(w);
            } else {
                refused.push(refuse(w.item, Reason::DeadlineTooSoon, wait));
            }
        }
        *waiting = kept;
    }

    /// Removes the newest request of the least urgent class below `class`.
    fn displace(&mut self, now: Time, class: Class) -> Option<Refused<T>> {
        let least = self.lanes.keys().next()?.class;
        if least >= class {
            return None;
        }
        let newest = |waiting: &VecDeque<Waiting<T>>| waiting.back().map(|w| w.seq);
        let of_least = self.lanes.iter().take_while(|(lane, _)| lane.class == least);
        let lane = of_least.max_by_key(|(_, waiting)| newest(waiting)).map(|(lane, _)| lane)?;
        let lane = lane.clone();
        let wait = self.expected_wait(now, lane.class, &lane.service);
        let waiting = self.lanes.get_mut(&lane)?;
        let displaced = waiting.pop_back()?;
        self.len -= 1;
        self.remove_empty_lanes();
        Some(refuse(displaced.item, Reason::Displaced, wait))
    }

    fn next_lane(&self, now: Time, has_room: &mut impl FnMut(&Name) -> bool) -> Option<Lane> {
        let mut best: Option<(Class, u64, &Lane)> = None;
        for (lane, waiting) in self.lanes.iter().rev() {
            if best.is_some_and(|(class, ..)| class > lane.class) {
                break;
            }
            let Some(head) = waiting.iter().find(|w| now < w.deadline) else { continue };
            if best.is_some_and(|(_, seq, _)| seq < head.seq) || !has_room(&lane.service) {
                continue;
            }
            best = Some((lane.class, head.seq, lane));
        }
        best.map(|(.., lane)| lane.clone())
    }

    /// Counts the requests for `service` that are at least as urgent as
    /// `class`.
    fn count_at_least(&self, class: Class, service: &Name) -> usize {
        let lanes = self.lanes.iter().filter(|(lane, _)| lane.class >= class);
        lanes.filter(|(lane, _)| lane.service == *service).map(|(_, waiting)| waiting.len()).sum()
    }

    fn expected_wait(&self, now: Time, class: Class, service: &Name) -> Option<Duration> {
        let ahead = self.count_at_least(class, service);
        self.rates.get(service).and_then(|rate| rate.estimate_wait(now, ahead))
    }

    /// Drops empty lanes, and the rates of services without waiting requests.
    fn remove_empty_lanes(&mut self) {
        self.lanes.retain(|_, waiting| !waiting.is_empty());
        let lanes = &self.lanes;
        self.rates.retain(|service, _| lanes.keys().any(|lane| lane.service == *service));
    }
}

fn refuse<T>(item: T, reason: Reason, wait: Option<Duration>) -> Refused<T> {
    let wait = wait.unwrap_or(MIN_RETRY_AFTER);
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Refused { item, refusal: Refusal { retry_after, reason } }
}
