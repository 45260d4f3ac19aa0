//! What proves that a former run of a task has ended, or will never start.
//!
//! A task is started again only with such a proof. It is kept until then and logged with the start,
//! so that a task that ran twice can be traced to what its owner believed.

use std::fmt;

use corianderfork_model::Time;

use super::Pool;
use super::copies::Copies;
use crate::task::{self, Outcome};
use crate::worker;

/// What proves that a run has ended or will never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Its worker listed its end.
    Exit(Outcome),
    /// Each copy of its start was refused, or not sent.
    NotStarted,
    /// Its worker confirmed it and lists it no more.
    Unlisted,
    /// Its worker confirmed a stop and doesn't list it.
    Stopped,
    /// Another instance answers at the address of its worker.
    Replaced,
    /// Another worker is listed at the address of its worker.
    AddressReused,
    /// Its worker has started again.
    Restarted,
    /// The VM of its worker was moved or maintained.
    Maintained,
    /// Its worker is silent, and no VM runs it.
    NoVm,
    /// Its worker is silent, and its leases there have ended.
    LeaseEnded,
    /// No worker of a former owner can have a run that hasn't been seen.
    NoneUnseen,
}

impl Proof {
    /// Returns whether it holds whatever other owners do: the worker itself said so, under this
    /// owner's fence, or this owner never sent the start.
    ///
    /// Any other proof tells that a run is over, and not that no other owner renewed its lease or noted
    /// its end before.
    ///
    /// ```
    /// use corianderfork_jobs::pool::proof::Proof;
    /// use corianderfork_jobs::task::Outcome;
    ///
    /// assert!(Proof::Exit(Outcome::Failed).is_firsthand());
    /// assert!(!Proof::LeaseEnded.is_firsthand());
    /// ```
    pub fn is_firsthand(self) -> bool {
        matches!(self, Self::Exit(_) | Self::NotStarted)
    }

    /// Returns the name of the event by which starts with this proof are counted.
    ///
    /// ```
    /// use corianderfork_jobs::pool::proof::Proof;
    ///
    /// assert_eq!(Proof::LeaseEnded.event(), "start after the end of a lease");
    /// ```
    pub fn event(self) -> &'static str {
        match self {
            Self::Exit(_) => "start after an exit",
            Self::NotStarted => "start after one not carried out",
            Self::Unlisted => "start after a run unlisted",
            Self::Stopped => "start after a stop",
            Self::Replaced => "start after another instance answered",
            Self::AddressReused => "start after an address was reused",
            Self::Restarted => "start after a restart of a worker",
            Self::Maintained => "start after maintenance of a VM",
            Self::NoVm => "start after the end of a VM",
            Self::LeaseEnded => "start after the end of a lease",
            Self::NoneUnseen => "start after a takeover",
        }
    }
}

impl fmt::Display for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Exit(outcome) => return write!(f, "its worker listed its end, {outcome:?}"),
            Self::NotStarted => "its start was refused or not sent",
            Self::Unlisted => "its worker confirmed it and lists it no more",
            Self::Stopped => "its worker confirmed a stop and doesn't list it",
            Self::Replaced => "another worker instance answers",
            Self::AddressReused => "another worker instance has its address",
            Self::Restarted => "its worker has restarted",
            Self::Maintained => "its VM was moved or maintained",
            Self::NoVm => "silent, and no VM runs it any more",
            Self::LeaseEnded => "silent past its lease",
            Self::NoneUnseen => "no run of a former owner is unseen",
        })
    }
}

/// The last run of a task that waits.
#[derive(Clone, Debug)]
pub(super) struct FormerRun {
    run: u64,
    /// The ID of its worker.
    worker: String,
    proof: Proof,
    proven: Time,
    copies: Copies,
}

impl Pool {
    /// Returns a task to the waiting state whose run on a worker `proof` shows to be over. It may
    /// start again from `not_before`.
    pub(super) fn end_run(
        &mut self,
        now: Time,
        key: worker::Key,
        name: task::Name,
        proof: Proof,
        not_before: Time,
    ) {
        self.note_proven(now, name);
        let worker = self.workers.get(key).map(|worker| worker.id.clone()).unwrap_or_default();
        let Some(entry) = self.entry_mut(name.job) else { return };
        let former = entry.placement(name).map(|placement| FormerRun {
            run: placement.run,
            worker,
            proof,
            proven: now,
            copies: placement.copies.clone(),
        });
        entry.set_waiting(name);
        if let Some(task) = entry.task_mut(name) {
            task.former_run = former.map(Box::new);
            // A task that backs off after a crash does so until the end.
            task.not_before = task.not_before.max(not_before);
        }
    }

    /// Notes by which proof a task is started that has run before, or that a predecessor may have
    /// started.
    pub(super) fn note_proof(&mut self, now: Time, key: worker::Key, name: task::Name, run: u64) {
        let fence = self.config.fence;
        let Some(entry) = self.entry_mut_unmarked(name.job) else { return };
        let is_inherited = entry.revision <= fence;
        let former = entry.task_mut(name).and_then(|task| task.former_run.take());
        let (proof, why) = match former {
            Some(former) => (former.proof, former.describe(now, run)),
            None if is_inherited => {
                (Proof::NoneUnseen, format!("run {run}: {}", Proof::NoneUnseen))
            }
            None => return,
        };
        self.note("task restarted", Some(name), Some(key), why);
        if let Some(note) = self.notes.last_mut() {
            note.proof = Some(proof);
        }
    }
}

impl FormerRun {
    /// Returns the proof that the run is over.
    pub(super) fn proof(&self) -> Proof {
        self.proof
    }

    fn describe(&self, now: Time, run: u64) -> String {
        format!(
            "run {run} follows run {} on {}: {}, {} ms ago; {}",
            self.run,
            self.worker,
            self.proof,
            worker::millis(now - self.proven),
            self.copies
        )
    }
}
