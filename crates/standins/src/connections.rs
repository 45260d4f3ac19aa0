//! The open connections of a server, and faults that affect all of them.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::http::lock;

/// The open connections of a server, which can all be silenced or closed.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<u64, TcpStream>>,
    next_id: AtomicU64,
    silent_below: AtomicU64,
    refused: AtomicU64,
    max_open: AtomicU64,
}

impl Connections {
    /// Stops responding on the connections that are open now. Later connections
    /// work.
    pub fn silence(&self) {
        let next_id = self.next_id.load(Ordering::SeqCst);
        self.silent_below.store(next_id, Ordering::SeqCst);
    }

    /// Closes all open connections at once.
    pub fn close_all(&self) {
        for stream in lock(&self.open).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns how many connections were closed on accept because the limit was
    /// reached.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the largest number of connections that were open at once.
    pub fn max_open(&self) -> u64 {
        self.max_open.load(Ordering::Relaxed)
    }

    pub(crate) fn is_silent(&self, id: u64) -> bool {
        id < self.silent_below.load(Ordering::SeqCst)
    }

    /// Registers a connection, or returns `None` if `limit` connections are open.
    pub(crate) fn admit(&self, stream: &TcpStream, limit: usize) -> Option<u64> {
        let mut open = lock(&self.open);
        if open.len() >= limit {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        open.insert(id, stream.try_clone().ok()?);
        self.max_open.fetch_max(open.len() as u64, Ordering::Relaxed);
        Some(id)
    }

    pub(crate) fn remove(&self, id: u64) {
        lock(&self.open).remove(&id);
    }
}
