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
    /// Whether a copy is to be stopped, and so has no place in a record.
    pub fn contains(&self, copy: &Copy) -> bool {
        self.copies.contains_key(copy)
    }

    /// A copy is to be stopped.
    pub(crate) fn ask(&mut self, copy: Copy) {
        self.copies.entry(copy).or_default();
    }

    /// The record of `revision` has it no longer: the revision of the first
    /// such record. Later writes of the same record, for other copies, must
    /// not make the proxies confirm anew.
    pub(crate) fn gone_since(&mut self, copy: &Copy, revision: u64) -> u64 {
        *self.copies.entry(copy.clone()).or_default().get_or_insert(revision)
    }

    /// Drops what is no longer asked for, or gone.
    pub(crate) fn retain_asked(&mut self, steps: &[Step], fleet: &Fleet, inputs: &Inputs<'_>) {
        let asked = |copy: &Copy| {
            steps.iter().any(|step| match step.operation {
                Operation::Stop { vm, service } => {
                    fleet.vm(vm).name == copy.0 && fleet.service(service).name == copy.1
                }
                _ => false,
            })
        };
        let stray = |copy: &Copy| fleet.find_service(copy.1.as_str()).is_none();
        let called = |facts: &Facts, copy: &Copy| facts.pending(copy).is_some();
        let facts = &inputs.facts;
        self.copies.retain(|copy, _| {
            let there = facts.task(copy).is_some();
            there && (asked(copy) || stray(copy) || called(facts, copy))
        });
    }
}
