//! Cache of responses to non-idempotent requests that this process ran, for retries.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use corianderfork_coord::claim::Id;

use crate::response::Response;

/// Holds the latest responses, bounded by number and bytes. A caller that lost the
/// response gets it again if it retries at this proxy; another proxy only reports that
/// the id was run.
#[derive(Debug)]
pub struct Cache {
    max_entries: usize,
    max_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    responses: HashMap<Id, CachedResponse>,
    order: VecDeque<Id>,
    bytes: usize,
}

#[derive(Debug)]
struct CachedResponse {
    path: String,
    response: Response,
}

impl Cache {
    /// Creates a cache of at most `max_entries` responses and `max_bytes` in total.
    pub fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self { max_entries, max_bytes, inner: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the response to `id` if it was run for this path. An id that is reused for
    /// another request must not get the response to the first.
    pub fn get(&self, id: Id, path: &str) -> Option<Response> {
        let inner = self.lock();
        let cached = inner.responses.get(&id)?;
        (cached.path == path).then(|| cached.response.clone())
    }

    /// Stores a response, evicting the oldest ones to make room.
    pub fn put(&self, id: Id, path: &str, response: &Response) {
        let size = response.size();
        if size > self.max_bytes {
            return;
        }
        let mut inner = self.lock();
        let cached = CachedResponse { path: path.to_owned(), response: response.clone() };
        if let Some(old) = inner.responses.insert(id, cached) {
            inner.bytes -= old.response.size();
        } else {
            inner.order.push_back(id);
        }
        inner.bytes += size;
        while inner.order.len() > self.max_entries || inner.bytes > self.max_bytes {
            let Some(oldest) = inner.order.pop_front() else { return };
            if let Some(old) = inner.responses.remove(&oldest) {
                inner.bytes -= old.response.size();
            }
        }
    }
}
