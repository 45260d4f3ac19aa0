//! The event loop: one thread that runs stakker actors and the events that other
//! threads post.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use stakker::{Stakker, StopCause};

use crate::port;

/// An upper bound on the sleep of the loop. Timers wake it earlier.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// The maximum number of queued events that run before timers are checked.
const MAX_EVENTS_PER_TURN: usize = 64;

/// A closure that another thread posts to the event loop.
pub type Event = Box<dyn FnOnce(&mut Stakker) + Send>;

/// The error of posting to an event loop that is full or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event queue is full or the event loop has ended; drop the event or retry later")]
pub struct Full;

/// The reason why the event loop ended abnormally.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}; let the platform restart the process, and read its last log lines")]
pub struct Failure(String);

/// Posts events to the event loop from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: SyncSender<Event>,
}

impl Handle {
    /// Posts an event.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] without waiting if the queue is full: waiting here could
    /// delay the response to a caller for a message that is repeated anyway.
    pub fn post(&self, event: impl FnOnce(&mut Stakker) + Send + 'static) -> Result<(), Full> {
        self.sender.try_send(Box::new(event)).map_err(|error| match error {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => Full,
        })
    }

    /// Posts an event, blocking until the queue has space. For events that must not
    /// be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop has ended.
    pub fn post_wait(&self, event: impl FnOnce(&mut Stakker) + Send + 'static) -> Result<(), Full> {
        self.sender.send(Box::new(event)).map_err(|_| Full)
    }
}

/// Runs the event loop on this thread until an actor shuts it down.
///
/// `queue` is the maximum number of queued events; `setup` starts the first
/// actors.
///
/// # Errors
///
/// Returns an error if the loop was shut down because of a failure.
pub fn run(queue: usize, setup: impl FnOnce(&mut Stakker, Handle)) -> Result<(), Failure> {
    let (sender, receiver) = sync_channel(queue);
    let mut stakker = Stakker::new(Instant::now());
    port::install(&mut stakker);
    setup(&mut stakker, Handle { sender });
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        run_once(&mut stakker, &receiver);
    }
    match stakker.shutdown_reason() {
        Some(StopCause::Failed(error) | StopCause::Killed(error)) => {
            Err(Failure(error.to_string()))
        }
        _ => Ok(()),
    }
}

fn run_once(stakker: &mut Stakker, receiver: &Receiver<Event>) {
    let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
    match receiver.recv_timeout(sleep) {
        Ok(event) => {
            event(stakker);
            for event in receiver.try_iter().take(MAX_EVENTS_PER_TURN) {
                event(stakker);
            }
        }
        Err(RecvTimeoutError::Timeout) => {}
        // All handles are dropped, so no events can arrive, but timers still run.
        Err(RecvTimeoutError::Disconnected) => std::thread::sleep(sleep),
    }
    stakker.run(Instant::now(), false);
}
