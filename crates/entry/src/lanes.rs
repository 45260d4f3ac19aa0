//! Order of the calls that carry orders to workers: few at a time to each worker.

use std::collections::{BTreeMap, HashMap};
use std::mem::Discriminant;

use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::{task, worker};

/// How many orders to one worker are in flight at once. Each needs a connection of its own, and a
/// worker that joins a busy pool is sent as many orders at once as it has room for tasks.
const MAX_IN_FLIGHT: usize = 2;

/// Orders that wait for a call to their worker, and the calls in flight. It does no I/O.
///
/// Without it an owner opens a connection for each order of a burst. As a queue's busy time begins
/// hundreds of workers join, and connections to them take most of the owner's descriptors and
/// processor time.
///
/// ```
/// use corianderfork_entry::lanes::{Lanes, Turn};
/// # use corianderfork_jobs::{JobId, pool::{Action, Order}, task::Name, worker};
/// # let order = |index| Order {
/// #     worker: worker::Key::default(),
/// #     id: "w".to_owned(),
/// #     address: ([127, 0, 0, 1], 80).into(),
/// #     fence: 1,
/// #     task: Name { job: JobId(1), occurrence: 0, step: 0, index },
/// #     run: u64::from(index),
/// #     copy: 0,
/// #     action: Action::Stop,
/// # };
/// let mut lanes = Lanes::default();
/// assert_eq!(lanes.push(order(1)), Turn::Now(order(1)));
/// assert_eq!(lanes.push(order(2)), Turn::Now(order(2)));
/// assert_eq!(lanes.push(order(3)), Turn::Waits, "two calls are in flight");
/// assert_eq!(lanes.next(worker::Key::default()), Some(order(3)));
/// assert_eq!(lanes.next(worker::Key::default()), None);
/// ```
#[derive(Debug, Default)]
pub struct Lanes {
    workers: HashMap<worker::Key, Lane>,
}

/// When an order is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The order is to be sent now.
    Now(Order),
    /// It waits for a call to its worker to end.
    Waits,
    /// It waits in place of an earlier copy, which is not sent.
    Replaces(Order),
}

/// What makes an order a repetition of another one.
type Identity = (task::Name, u64, Discriminant<Action>);

#[derive(Debug, Default)]
struct Lane {
    in_flight: usize,
    /// The waiting orders in the order in which they came.
    waiting: BTreeMap<u64, Order>,
    /// The places of the waiting orders: a large job has thousands, and each may be repeated.
    places: HashMap<Identity, u64>,
    last_place: u64,
}

impl Lane {
    /// Adds an order, or puts it in the place of an earlier copy, which it returns.
    fn wait(&mut self, order: Order) -> Option<Order> {
        let next = self.last_place + 1;
        let place = *self.places.entry(identity(&order)).or_insert(next);
        self.last_place = self.last_place.max(place);
        self.waiting.insert(place, order)
    }

    fn pop(&mut self) -> Option<Order> {
        let (_, order) = self.waiting.pop_first()?;
        self.places.remove(&identity(&order));
        Some(order)
    }
}

impl Lanes {
    /// Adds an order. An order that waits already is replaced by its repetition, whose lease ends
    /// later.
    pub fn push(&mut self, order: Order) -> Turn {
        let lane = self.workers.entry(order.worker).or_default();
        if lane.in_flight < MAX_IN_FLIGHT {
            lane.in_flight += 1;
            return Turn::Now(order);
        }
        lane.wait(order).map_or(Turn::Waits, Turn::Replaces)
    }

    /// Ends a call to a worker. Returns the next order to send there, if any waits.
    pub fn next(&mut self, worker: worker::Key) -> Option<Order> {
        let lane = self.workers.get_mut(&worker)?;
        let next = lane.pop();
        if next.is_none() {
            lane.in_flight = lane.in_flight.saturating_sub(1);
            if lane.in_flight == 0 {
                self.workers.remove(&worker);
            }
        }
        next
    }

    /// Removes the starts that wait for a worker that doesn't answer. These copies have certainly not
    /// been carried out.
    pub fn take_waiting_starts(&mut self, worker: worker::Key) -> Vec<Order> {
        let Some(lane) = self.workers.get_mut(&worker) else { return Vec::new() };
        let is_start = |_: &u64, order: &mut Order| matches!(order.action, Action::Start { .. });
        let starts: Vec<Order> = lane.waiting.extract_if(.., is_start).map(|(_, o)| o).collect();
        for start in &starts {
            lane.places.remove(&identity(start));
        }
        starts
    }
}

fn identity(order: &Order) -> Identity {
    (order.task, order.run, std::mem::discriminant(&order.action))
}
