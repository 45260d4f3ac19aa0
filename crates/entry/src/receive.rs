//! Receiving of request bodies within the memory that is set aside for them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::intake::{Budget, Id};
use crate::{buffer, clock};

/// How long a client may send nothing before the end of a body. Bytes that a partition or a lost
/// packet held up arrive sooner.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// The body of a request.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// It was too long, was cut off, or made no progress.
    Invalid,
    /// There was no memory for it.
    Refused,
}

impl Body {
    /// Returns the body, if all of it has arrived.
    pub fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Invalid | Self::Refused => None,
        }
    }
}

/// The bodies that an address receives. Clones share their memory.
#[derive(Clone)]
pub struct Receiver(Rc<Shared>);

struct Shared {
    budget: RefCell<Budget>,
    /// Tells the receivers of incomplete bodies that these have lost their memory.
    losses: RefCell<BTreeMap<Id, Rc<Notify>>>,
    refused: Cell<usize>,
}

impl Receiver {
    /// Returns a receiver of bodies that share a budget.
    pub fn new(budget: Budget) -> Self {
        let losses = RefCell::default();
        Self(Rc::new(Shared { budget: RefCell::new(budget), losses, refused: Cell::new(0) }))
    }

    /// Returns how many bodies had to be dropped for lack of memory.
    pub fn refused(&self) -> usize {
        self.0.refused.get()
    }

    /// Returns the memory that bodies use, in bytes.
    pub fn used(&self) -> usize {
        self.0.budget.borrow().used()
    }

    /// Receives a body of at most `max` bytes, which may be used until the lease is dropped. Calls
    /// `on_progress` when a part has arrived, at most once in a millisecond unless memory is needed.
    pub async fn receive(
        &self,
        incoming: Incoming,
        max: usize,
        on_progress: impl Fn(),
    ) -> (Body, Lease) {
        let lease = self.begin();
        let body = tokio::select! {
            body = read(incoming, max, &lease, on_progress) => body,
            () = lease.lost.notified() => Body::Refused,
        };
        if matches!(body, Body::Refused) {
            self.0.refused.set(self.0.refused.get() + 1);
        }
        self.0.budget.borrow_mut().complete(lease.id);
        (body, lease)
    }

    fn begin(&self) -> Lease {
        let id = self.0.budget.borrow_mut().begin(clock::now());
        let lost = Rc::new(Notify::new());
        self.0.losses.borrow_mut().insert(id, lost.clone());
        Lease { shared: self.0.clone(), id, lost }
    }
}

impl Default for Receiver {
    /// Returns a receiver whose bodies are limited in length only.
    fn default() -> Self {
        Self::new(Budget::new(usize::MAX, usize::MAX))
    }
}

/// The memory of a body, until dropped.
pub struct Lease {
    shared: Rc<Shared>,
    id: Id,
    lost: Rc<Notify>,
}

impl Lease {
    /// Sets the size of the memory, which others may lose for it. Returns false if there is none.
    fn resize(&self, now: Time, bytes: usize) -> bool {
        let grant = self.shared.budget.borrow_mut().resize(now, self.id, bytes);
        let losses = self.shared.losses.borrow();
        grant.dropped.iter().filter_map(|id| losses.get(id)).for_each(|lost| lost.notify_one());
        grant.is_granted
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shared.budget.borrow_mut().end(self.id);
        self.shared.losses.borrow_mut().remove(&self.id);
    }
}

/// Reads a body into one buffer: a chunk of a few bytes would otherwise keep the whole buffer that
/// it was read into.
async fn read(mut incoming: Incoming, max: usize, lease: &Lease, on_progress: impl Fn()) -> Body {
    let announced = incoming.size_hint();
    let to_usize = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    if to_usize(announced.lower()) > max {
        return Body::Invalid;
    }
    let longest = announced.upper().map_or(max, |bytes| max.min(to_usize(bytes)));
    let (mut bytes, mut progressed) = (Vec::new(), clock::now());
    loop {
        let frame = match timeout(PROGRESS_TIMEOUT, incoming.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Body::Whole(bytes.into()),
            Ok(Some(Err(_))) | Err(_) => return Body::Invalid,
        };
        let Some(data) = frame.data_ref() else { continue };
        let length = bytes.len() + data.len();
        if length > max {
            return Body::Invalid;
        }
        let size = buffer::next_size(length, bytes.capacity(), longest);
        let now = clock::now();
        // There may be thousands of chunks in a millisecond.
        if size > bytes.capacity() || now > progressed {
            if !lease.resize(now, size) {
                return Body::Refused;
            }
            on_progress();
            progressed = now;
        }
        bytes.reserve_exact(size - bytes.len());
        bytes.extend_from_slice(data);
    }
}
