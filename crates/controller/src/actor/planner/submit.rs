//! Hands what was decided to the threads that may block.

use std::sync::{Arc, PoisonError};

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_provider::record::{self, Explain, Wave};
use corianderfork_provider::store::{Expect, Revision};
use stakker::CX;

use super::{Incoming, Planner};
use crate::execute;
use crate::facts::Change;
use crate::lease::Fence;
use crate::plan::Round;
use crate::plan::action::{Action, Write};

impl Planner {
    pub(super) fn carry_out(&mut self, now: Time, fence: &Fence, round: &Round) {
        for action in &round.actions {
            let taken = match action {
                Action::Write(write) => self.write(fence, write),
                Action::Wave { expect, from, wave } => self.write_wave(fence, *expect, from, wave),
                _ => self.call(now, fence, action),
            };
            if !taken {
                // The next decision comes to the same, from newer state.
                log::debug!("too many writes or calls wait; the rest of this decision is left");
                return;
            }
            self.gauges.on_step(action.kind());
        }
    }

    fn write(&mut self, fence: &Fence, write: &Write) -> bool {
        let Ok(value) = serde_json::to_string(&write.record) else { return true };
        let (store, port, fence) =
            (Arc::clone(&self.outside.store), self.port.clone(), fence.clone());
        let (write, name) = (Box::new(write.clone()), write.vm.clone());
        let job = move || {
            let key = key::vm(&write.vm);
            let end = execute::put(&*store, || fence.holds(), &key, &value, write.expect);
            let _ = port.send_wait(Incoming::Written(write, value, end));
        };
        let taken = self.outside.writes.submit(job).is_ok();
        if taken {
            self.plan.on_write(&name);
        }
        taken
    }

    fn write_wave(&mut self, fence: &Fence, expect: Expect, from: &Wave, wave: &Wave) -> bool {
        let Ok(value) = serde_json::to_string(wave) else { return true };
        let (store, port, fence) =
            (Arc::clone(&self.outside.store), self.port.clone(), fence.clone());
        let (from, wave) = (Box::new(from.clone()), Box::new(wave.clone()));
        let job = move || {
            let end = execute::put(&*store, || fence.holds(), key::WAVE, &value, expect);
            let _ = port.send_wait(Incoming::WaveWritten(from, wave, end));
        };
        let taken = self.outside.writes.submit(job).is_ok();
        if taken {
            self.plan.on_wave(true);
        }
        taken
    }

    fn call(&mut self, now: Time, fence: &Fence, action: &Action) -> bool {
        let (control, port, fence) =
            (Arc::clone(&self.outside.control), self.port.clone(), fence.clone());
        let sent = action.clone();
        let job = move || {
            let end = execute::call(&*control, || fence.holds(), &sent);
            let _ = port.send_wait(Incoming::Called(sent, end));
        };
        if self.outside.calls.submit(job).is_err() {
            return false;
        }
        log::info!(step:? = action; "a call to the platform");
        match action {
            Action::Start(copy) => self.facts.on_asked(copy.clone(), Change::Start),
            Action::Stop(copy) => self.facts.on_asked(copy.clone(), Change::Stop),
            Action::Reboot(vm) => self.facts.on_reboot_asked(now, vm),
            _ => {}
        }
        true
    }

    pub(super) fn explain(&mut self, now: Time, fence: &Fence, explain: Explain) {
        if !self.told.is_due(now, &explain) {
            return;
        }
        let Ok(value) = serde_json::to_string(&explain) else { return };
        for problem in explain.problems.iter().filter(|problem| !self.told.has(problem)) {
            log::warn!(problem = problem.as_str(); "something can't be done");
        }
        let (store, port, fence) =
            (Arc::clone(&self.outside.store), self.port.clone(), fence.clone());
        let explain = Box::new(explain);
        let expect = self.told.begin(now).map_or(Expect::Absent, Expect::Revision);
        let job = move || {
            let end = execute::put(&*store, || fence.holds(), key::EXPLAIN, &value, expect);
            let _ = port.send_wait(Incoming::Explained(explain, end));
        };
        if self.outside.writes.submit(job).is_err() {
            self.told.on_end(None, expect_revision(expect));
        }
    }

    /// Tells operators that what they wrote has been heard.
    pub(super) fn tell_heard(&mut self, cx: CX![]) {
        let newest = self.world.ro(cx).view.operators_revision();
        let Some(fence) = self.tenure.fence().filter(|_| self.heard.is_due(newest)) else { return };
        let Ok(value) = serde_json::to_string(&record::Heard { revision: newest }) else { return };
        let (store, port) = (Arc::clone(&self.outside.store), self.port.clone());
        let job = move || {
            let holds = || fence.holds();
            let end = execute::put(&*store, holds, key::HEARD, &value, Expect::Anything);
            let _ = port.send_wait(Incoming::Heard(newest, end));
        };
        if self.outside.writes.submit(job).is_ok() {
            self.heard.begin();
        }
    }

    pub(super) fn audit(&mut self, now: Time) {
        let Some(lines) = self.lines.take(now) else { return };
        let (store, port) = (Arc::clone(&self.outside.store), self.port.clone());
        let writer = Arc::clone(&self.writer);
        let job = move || {
            let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
            let end = writer.append(&*store, &lines);
            let _ = port.send_wait(Incoming::Audited(end));
        };
        if self.outside.reads.submit(job).is_err() {
            self.lines.on_end(false);
        }
    }

    /// Reads back what no answer came for.
    pub(super) fn read_unknown(&mut self) {
        for (write, value) in std::mem::take(&mut self.unknown) {
            let (store, port) = (Arc::clone(&self.outside.store), self.port.clone());
            let again = (write.clone(), value.clone());
            let job = move || {
                let key = key::vm(&write.vm);
                let end = execute::read_back(&*store, &key, &value, "still no answer");
                let _ = port.send_wait(Incoming::Written(write, value, end));
            };
            if self.outside.reads.submit(job).is_err() {
                self.unknown.push(again);
            }
        }
    }
}

fn expect_revision(expect: Expect) -> Option<Revision> {
    match expect {
        Expect::Revision(revision) => Some(revision),
        _ => None,
    }
}
