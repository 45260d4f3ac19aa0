//! A thread pool for blocking calls.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

type Job = Box<dyn FnOnce() + Send>;

/// The error of [`Pool::submit`] if the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of blocking calls is full; retry later")]
pub struct Busy;

/// A fixed number of threads behind a bounded queue. The threads end when the
/// last clone of the pool is dropped.
#[derive(Clone, Debug)]
pub struct Pool {
    sender: SyncSender<Job>,
}

impl Pool {
    /// Starts `threads` threads called `name` with a queue of `queue` jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(name: &str, threads: usize, queue: usize) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel::<Job>(queue);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..threads {
            let receiver = Arc::clone(&receiver);
            std::thread::Builder::new().name(name.to_owned()).spawn(move || run_jobs(&receiver))?;
        }
        Ok(Self { sender })
    }

    /// Runs `job` on one of the threads.
    ///
    /// # Errors
    ///
    /// Returns [`Busy`] without waiting if the queue is full, and drops the job.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Busy> {
        self.sender.try_send(Box::new(job)).map_err(|_| Busy)
    }
}

fn run_jobs(receiver: &Mutex<Receiver<Job>>) {
    loop {
        let job = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        match job {
            Ok(job) => job(),
            Err(_) => return,
        }
    }
}
