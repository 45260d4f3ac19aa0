//! Whole answers of this process's own non-idempotent runs, for repetitions.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use corianderfork_coord::claim::Id;

use crate::response::Answer;

/// The last answers, within bounds of number and bytes. A caller whose answer
/// was lost on the way gets it whole if it asks again here; elsewhere it is
/// told that its id was run.
#[derive(Debug)]
pub struct Cache {
    entries: usize,
    bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: HashMap<Id, Kept>,
    order: VecDeque<Id>,
    bytes: usize,
}

#[derive(Debug)]
struct Kept {
    path: String,
    answer: Answer,
}

impl Cache {
    /// Holds at most `entries` answers of `bytes` all together.
    pub fn new(entries: usize, bytes: usize) -> Self {
        Self { entries, bytes, inner: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer to `id` if it was run for this same path; an id that is used
    /// for another request must not get the answer of the first.
    pub fn get(&self, id: Id, path: &str) -> Option<Answer> {
        let inner = self.lock();
        let kept = inner.answers.get(&id)?;
        (kept.path == path).then(|| kept.answer.clone())
    }

    /// Keeps an answer, dropping the oldest ones to make room.
    pub fn put(&self, id: Id, path: &str, answer: &Answer) {
        let size = answer.size();
        if size > self.bytes {
            return;
        }
        let mut inner = self.lock();
        let kept = Kept { path: path.to_owned(), answer: answer.clone() };
        if let Some(old) = inner.answers.insert(id, kept) {
            inner.bytes -= old.answer.size();
        } else {
            inner.order.push_back(id);
        }
        inner.bytes += size;
        while inner.order.len() > self.entries || inner.bytes > self.bytes {
            let Some(oldest) = inner.order.pop_front() else { return };
            if let Some(old) = inner.answers.remove(&oldest) {
                inner.bytes -= old.answer.size();
            }
        }
    }
}
