//! Handles the outcomes of writes and calls.

use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::{AuditLine, Wave};
use corianderfork_provider::store::{Entry, Error, Revision};
use corianderfork_runtime::clock::unix_millis;
use stakker::CX;

use super::{Planner, Poll};
use crate::execute::Outcome;
use crate::facts::Reading;
use crate::plan::action::{Action, Write, summary};

impl Planner {
    pub(super) fn on_vm_written(
        &mut self,
        cx: CX![],
        write: Box<Write>,
        value: String,
        outcome: Outcome,
    ) {
        let key = key::vm(&write.vm);
        let name: Name = write.vm.clone();
        let view = &mut self.state.rw(cx).view;
        match outcome {
            Outcome::Applied(revision) => {
                let entry = Entry { key: key.clone(), value, revision, lease: None };
                view.on_entry(&key, revision, Some(&entry));
                self.gauges.on_written("applied");
                self.on_vm_changed(&write, revision);
            }
            Outcome::Conflict(current) => {
                if let Some(entry) = current {
                    view.on_entry(&key, entry.revision, Some(&entry));
                }
                self.gauges.on_written("conflict");
                log::info!(vm:% = name; "record not written: another process changed it first");
            }
            Outcome::Refused(why) => {
                self.gauges.on_written("refused");
                log::info!(vm:% = name, why = why.as_str(); "record not written");
            }
            Outcome::Unknown(why) => {
                self.gauges.on_written("unknown");
                log::warn!(vm:% = name, why = why.as_str(); "outcome of a write is unknown; it will be read back");
                self.unconfirmed.push((write, value));
                return;
            }
        }
        self.plan.on_written(&name);
    }

    fn on_vm_changed(&mut self, write: &Write, revision: Revision) {
        let (from, to) = (summary(write.from.as_ref()), summary(Some(&write.record)));
        let who = write.who.as_str();
        log::info!(vm:% = write.vm, who, from = from.as_str(), to = to.as_str(), revision = revision.0;
            "record changed");
        if write.from.as_ref().is_some_and(|from| from.pool != write.record.pool) {
            self.gauges.on_vm_moved();
        }
        let what = format!("vm {}", write.vm);
        self.queue_audit_line(what, who.to_owned(), from, to, revision);
    }

    fn queue_audit_line(
        &mut self,
        what: String,
        who: String,
        from: String,
        to: String,
        revision: Revision,
    ) {
        let at_ms = unix_millis();
        self.audit.push(AuditLine { at_ms, who, what, from, to, revision: revision.0 });
    }

    pub(super) fn on_wave_written(&mut self, now: Time, from: &Wave, wave: Wave, outcome: Outcome) {
        self.plan.set_wave_writing(false);
        if let Outcome::Applied(revision) = outcome {
            let what = format!("wave {}", wave.number);
            self.queue_audit_line(
                what,
                "wave".to_owned(),
                progress(from),
                progress(&wave),
                revision,
            );
            self.gauges.on_wave(&wave);
            let value = Some((revision, wave));
            self.facts.wave = Some(Reading { sent: now, value });
        } else {
            // The next decision has to be based on the current record, so it is
            // read first.
            self.facts.wave = None;
            self.poll(now, Poll::Wave);
        }
    }

    pub(super) fn on_called(&mut self, now: Time, action: &Action, outcome: &Result<(), Error>) {
        self.gauges.on_called(action.kind(), outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(step:? = action, error:% = error; "platform call failed");
            if let Action::Reboot(vm) = action {
                self.facts.on_reboot_failed(vm);
            }
        }
        if let Action::Start(copy) | Action::Stop(copy) = action {
            self.facts.on_change_finished(now, copy);
        }
    }
}

fn progress(wave: &Wave) -> String {
    let (todo, doing) = (wave.todo.len(), wave.doing.len());
    let (done, failed) = (wave.done.len(), wave.failed.len());
    let halted = wave.halted.as_ref().map_or_else(String::new, |why| format!(", halted: {why}"));
    format!("{todo} to do, {doing} doing, {done} done, {failed} failed{halted}")
}
