//! Delivery of messages from other threads to an actor that may be restarted.

use std::sync::{Arc, Mutex, PoisonError};

use corianderfork_runtime::core::Full;
use corianderfork_runtime::port::Port;

/// The current port of an actor. A supervisor restarts a failed actor with a new port;
/// senders that kept the old port would lose their messages.
pub struct Inbox<T>(Arc<Mutex<Option<Port<T>>>>);

impl<T> Clone for Inbox<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Default for Inbox<T> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<T: Send + 'static> Inbox<T> {
    /// Sets the port of the actor that has just started.
    pub fn connect(&self, port: Port<T>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(port);
    }

    /// Sends a message without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the actor has not started or the core's queue is full; the message is
    /// dropped.
    pub fn send(&self, message: T) -> Result<(), Full> {
        let port = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        port.ok_or(Full)?.send(message)
    }

    /// Sends a message that must not be lost, waiting for space in the queue.
    ///
    /// # Errors
    ///
    /// Fails if the actor has not started or the core has ended.
    pub fn send_wait(&self, message: T) -> Result<(), Full> {
        let port = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        port.ok_or(Full)?.send_wait(message)
    }
}
