//! Typed messages from other threads to actors.

use std::any::Any;
use std::cell::RefCell;
use std::marker::PhantomData;
use std::rc::Rc;

use stakker::{Fwd, Stakker};

use crate::core::{Full, Handle};

/// Sends messages of type `T` to an actor from any thread.
///
/// Refers to the actor's `Fwd` by an index, because stakker's references cannot
/// leave the thread of the event loop.
pub struct Port<T> {
    handle: Handle,
    index: usize,
    message: PhantomData<fn(T)>,
}

impl<T> Clone for Port<T> {
    fn clone(&self) -> Self {
        Self { handle: self.handle.clone(), index: self.index, message: PhantomData }
    }
}

impl<T> std::fmt::Debug for Port<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Port").field(&self.index).finish()
    }
}

/// The `Fwd<T>` of each open port, with the type erased.
#[derive(Clone, Default)]
struct Ports(Rc<RefCell<Vec<Box<dyn Any>>>>);

/// Registers an empty table of ports.
pub(crate) fn install(stakker: &mut Stakker) {
    stakker.anymap_set(Ports::default());
}

impl<T: Send + 'static> Port<T> {
    /// Opens a port that forwards to `fwd`.
    pub fn open(stakker: &mut stakker::Core, handle: Handle, fwd: Fwd<T>) -> Self {
        let ports: Ports = stakker.anymap_get();
        let mut fwds = ports.0.borrow_mut();
        fwds.push(Box::new(fwd));
        Self { handle, index: fwds.len() - 1, message: PhantomData }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] without waiting if the event queue is full.
    pub fn send(&self, message: T) -> Result<(), Full> {
        let index = self.index;
        self.handle.post(move |stakker| deliver(stakker, index, message))
    }

    /// Sends a message, blocking until the event queue has space.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop has ended.
    pub fn send_wait(&self, message: T) -> Result<(), Full> {
        let index = self.index;
        self.handle.post_wait(move |stakker| deliver(stakker, index, message))
    }
}

fn deliver<T: 'static>(stakker: &mut Stakker, index: usize, message: T) {
    let ports: Ports = stakker.anymap_get();
    let fwd = ports.0.borrow().get(index).and_then(|any| any.downcast_ref::<Fwd<T>>().cloned());
    if let Some(fwd) = fwd {
        fwd.fwd(message);
    }
}
