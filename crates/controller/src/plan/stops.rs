//! Copies on serving VMs that are to be stopped, until their tasks are gone.

use std::collections::BTreeMap;

use corianderfork_model::Fleet;
use corianderfork_policy::{Operation, Step};

use crate::facts::{Copy, Facts};
use crate::plan::Inputs;

/// The copies to be stopped, each with the revision of the first record seen
/// without it.
#[derive(Clone, Debug, Default)]
pub struct Stops {
    copies: BTreeMap<Copy, Option<u64>>,
}

impl Stops {
    /// Whether a copy is to be stopped and therefore does not belong in a
    /// record.
    pub fn contains(&self, copy: &Copy) -> bool {
        self.copies.contains_key(copy)
    }

    /// Adds a copy to be stopped.
    pub(crate) fn add(&mut self, copy: Copy) {
        self.copies.entry(copy).or_default();
    }

    /// Records that the record at `revision` no longer has the copy. Returns
    /// the revision of the first such record, so that later writes for other
    /// copies do not make the proxies confirm again.
    pub(crate) fn unlisted_since(&mut self, copy: &Copy, revision: u64) -> u64 {
        *self.copies.entry(copy.clone()).or_default().get_or_insert(revision)
    }

    /// Drops copies that are gone or no longer need to be stopped.
    pub(crate) fn retain(&mut self, steps: &[Step], fleet: &Fleet, inputs: &Inputs<'_>) {
        let requested = |copy: &Copy| {
            steps.iter().any(|step| match step.operation {
                Operation::Stop { vm, service } => {
                    fleet.vm(vm).name == copy.0 && fleet.service(service).name == copy.1
                }
                _ => false,
            })
        };
        let is_stray = |copy: &Copy| fleet.find_service(copy.1.as_str()).is_none();
        let is_pending = |facts: &Facts, copy: &Copy| facts.pending(copy).is_some();
        let facts = &inputs.facts;
        self.copies.retain(|copy, _| {
            let is_listed = facts.task(copy).is_some();
            is_listed && (requested(copy) || is_stray(copy) || is_pending(facts, copy))
        });
    }
}
