//! The run history of one process.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::clock::unix_ms;
use crate::history::{Run, Runs};
use crate::http::lock;

/// The history that all runners of one process share.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<(Runs, HashMap<String, u32>)>,
}

impl Ledger {
    /// Returns a copy of the history.
    pub fn runs(&self) -> Runs {
        lock(&self.runs).0.clone()
    }

    pub(crate) fn record_run(&self, id: &str, key: Option<&str>, vm: &str, service: &str) {
        let mut guard = lock(&self.runs);
        let (runs, counts) = &mut *guard;
        let count = counts.entry(key.unwrap_or(id).to_owned()).or_default();
        *count += 1;
        runs.runs.push(Run::new(id, key, vm, service, unix_ms(), *count));
    }

    pub(crate) fn update(&self, update: impl FnOnce(&mut Runs)) {
        update(&mut lock(&self.runs).0);
    }
}
