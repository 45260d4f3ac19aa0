//! Takes in how writes and calls have ended.

use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::{Line, Wave};
use corianderfork_provider::store::{Entry, Error, Revision};
use corianderfork_runtime::clock::unix_millis;
use stakker::CX;

use super::{Planner, Poll};
use crate::execute::Written;
use crate::facts::Listed;
use crate::plan::action::{Action, Write, summary};

impl Planner {
    pub(super) fn on_written(&mut self, cx: CX![], write: Box<Write>, value: String, end: Written) {
        let key = key::vm(&write.vm);
        let name: Name = write.vm.clone();
        let view = &mut self.world.rw(cx).view;
        match end {
            Written::Applied(revision) => {
                let entry = Entry { key: key.clone(), value, revision, lease: None };
                view.on_entry(&key, revision, Some(&entry));
                self.gauges.on_written("applied");
                self.on_changed(&write, revision);
            }
            Written::Conflict(current) => {
                if let Some(entry) = current {
                    view.on_entry(&key, entry.revision, Some(&entry));
                }
                self.gauges.on_written("conflict");
                log::info!(vm:% = name; "a record was changed by someone else first");
            }
            Written::Refused(why) => {
                self.gauges.on_written("refused");
                log::info!(vm:% = name, why = why.as_str(); "a record was not written");
            }
            Written::Unknown(why) => {
                self.gauges.on_written("unknown");
                log::warn!(vm:% = name, why = why.as_str(); "a write has to be read back");
                self.unknown.push((write, value));
                return;
            }
        }
        self.plan.on_written(&name);
    }

    fn on_changed(&mut self, write: &Write, revision: Revision) {
        let (from, to) = (summary(write.from.as_ref()), summary(Some(&write.record)));
        let who = write.who.as_str();
        log::info!(vm:% = write.vm, who, from = from.as_str(), to = to.as_str(), revision = revision.0;
            "a record was changed");
        if write.from.as_ref().is_some_and(|from| from.pool != write.record.pool) {
            self.gauges.on_vm_moved();
        }
        let what = format!("vm {}", write.vm);
        self.tell(what, who.to_owned(), from, to, revision);
    }

    fn tell(&mut self, what: String, who: String, from: String, to: String, revision: Revision) {
        let at_ms = unix_millis();
        self.lines.push(Line { at_ms, who, what, from, to, revision: revision.0 });
    }

    pub(super) fn on_wave_written(&mut self, now: Time, from: &Wave, wave: Wave, end: Written) {
        self.plan.on_wave(false);
        if let Written::Applied(revision) = end {
            let what = format!("wave {}", wave.number);
            self.tell(what, "wave".to_owned(), progress(from), progress(&wave), revision);
            self.gauges.on_wave(&wave);
            let value = Some((revision, wave));
            self.facts.wave = Some(Listed { sent: now, value });
        } else {
            // Whatever is there now, the next decision has to see it first.
            self.facts.wave = None;
            self.poll(now, Poll::Wave);
        }
    }

    pub(super) fn on_called(&mut self, now: Time, action: &Action, end: &Result<(), Error>) {
        self.gauges.on_called(action.kind(), end.is_ok());
        if let Err(error) = end {
            log::warn!(step:? = action, error:% = error; "a call to the platform failed");
            if let Action::Reboot(vm) = action {
                self.facts.on_reboot_failed(vm);
            }
        }
        if let Action::Start(copy) | Action::Stop(copy) = action {
            self.facts.on_ended(now, copy);
        }
    }
}

fn progress(wave: &Wave) -> String {
    let (todo, doing) = (wave.todo.len(), wave.doing.len());
    let (done, failed) = (wave.done.len(), wave.failed.len());
    let halted = wave.halted.as_ref().map_or_else(String::new, |why| format!(", halted: {why}"));
    format!("{todo} to do, {doing} doing, {done} done, {failed} failed{halted}")
}
