//! Submits decided actions to the threads that may block.

use std::sync::{Arc, PoisonError};

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_provider::record::{self, Explain, Wave};
use corianderfork_provider::store::{Expect, Revision};
use stakker::CX;

use super::{Message, Planner};
use crate::execute;
use crate::facts::Change;
use crate::lease::Fence;
use crate::plan::Decision;
use crate::plan::action::{Action, Write};

impl Planner {
    pub(super) fn submit_actions(&mut self, now: Time, fence: &Fence, decision: &Decision) {
        for action in &decision.actions {
            let is_queued = match action {
                Action::Write(write) => self.write(fence, write),
                Action::Wave { expect, from, wave } => self.write_wave(fence, *expect, from, wave),
                _ => self.call(now, fence, action),
            };
            if !is_queued {
                // The next decision comes to the same actions, based on newer
                // state.
                log::debug!(
                    "queue of writes or calls is full; the rest of this decision is dropped"
                );
                return;
            }
            self.gauges.on_step(action.kind());
        }
    }

    fn write(&mut self, fence: &Fence, write: &Write) -> bool {
        let Ok(value) = serde_json::to_string(&write.record) else { return true };
        let (store, port, fence) =
            (Arc::clone(&self.resources.store), self.port.clone(), fence.clone());
        let (write, name) = (Box::new(write.clone()), write.vm.clone());
        let job = move || {
            let key = key::vm(&write.vm);
            let outcome = execute::put(&*store, || fence.holds(), &key, &value, write.expect);
            let _ = port.send_wait(Message::VmWritten(write, value, outcome));
        };
        let is_queued = self.resources.writes.submit(job).is_ok();
        if is_queued {
            self.plan.on_write(&name);
        }
        is_queued
    }

    fn write_wave(&mut self, fence: &Fence, expect: Expect, from: &Wave, wave: &Wave) -> bool {
        let Ok(value) = serde_json::to_string(wave) else { return true };
        let (store, port, fence) =
            (Arc::clone(&self.resources.store), self.port.clone(), fence.clone());
        let (from, wave) = (Box::new(from.clone()), Box::new(wave.clone()));
        let job = move || {
            let outcome = execute::put(&*store, || fence.holds(), key::WAVE, &value, expect);
            let _ = port.send_wait(Message::WaveWritten(from, wave, outcome));
        };
        let is_queued = self.resources.writes.submit(job).is_ok();
        if is_queued {
            self.plan.set_wave_writing(true);
        }
        is_queued
    }

    fn call(&mut self, now: Time, fence: &Fence, action: &Action) -> bool {
        let (control, port, fence) =
            (Arc::clone(&self.resources.control), self.port.clone(), fence.clone());
        let sent = action.clone();
        let job = move || {
            let outcome = execute::call(&*control, || fence.holds(), &sent);
            let _ = port.send_wait(Message::Called(sent, outcome));
        };
        if self.resources.calls.submit(job).is_err() {
            return false;
        }
        log::info!(step:? = action; "calling the platform");
        match action {
            Action::Start(copy) => self.facts.on_change_requested(copy.clone(), Change::Start),
            Action::Stop(copy) => self.facts.on_change_requested(copy.clone(), Change::Stop),
            Action::Reboot(vm) => self.facts.on_reboot_requested(now, vm),
            _ => {}
        }
        true
    }

    pub(super) fn write_explanation(&mut self, now: Time, fence: &Fence, explain: Explain) {
        if !self.explanation.is_due(now, &explain) {
            return;
        }
        let Ok(value) = serde_json::to_string(&explain) else { return };
        for problem in
            explain.problems.iter().filter(|problem| !self.explanation.has_problem(problem))
        {
            log::warn!(problem = problem.as_str(); "decision reported a problem");
        }
        let (store, port, fence) =
            (Arc::clone(&self.resources.store), self.port.clone(), fence.clone());
        let explain = Box::new(explain);
        let expect = self.explanation.begin(now).map_or(Expect::Absent, Expect::Revision);
        let job = move || {
            let outcome = execute::put(&*store, || fence.holds(), key::EXPLAIN, &value, expect);
            let _ = port.send_wait(Message::ExplanationWritten(explain, outcome));
        };
        if self.resources.writes.submit(job).is_err() {
            self.explanation.on_end(None, expect_revision(expect));
        }
    }

    /// Acknowledges the operators' writes known so far.
    pub(super) fn write_acknowledgement(&mut self, cx: CX![]) {
        let newest = self.state.ro(cx).view.operator_revision();
        let Some(fence) = self.lease.fence().filter(|_| self.acknowledgement.is_due(newest)) else {
            return;
        };
        let Ok(value) = serde_json::to_string(&record::OperatorRevision { revision: newest })
        else {
            return;
        };
        let (store, port) = (Arc::clone(&self.resources.store), self.port.clone());
        let job = move || {
            let holds = || fence.holds();
            let outcome =
                execute::put(&*store, holds, key::OPERATOR_REVISION, &value, Expect::Anything);
            let _ = port.send_wait(Message::AcknowledgementWritten(newest, outcome));
        };
        if self.resources.writes.submit(job).is_ok() {
            self.acknowledgement.begin();
        }
    }

    pub(super) fn write_audit(&mut self, now: Time) {
        let Some(lines) = self.audit.take(now) else { return };
        let (store, port) = (Arc::clone(&self.resources.store), self.port.clone());
        let writer = Arc::clone(&self.writer);
        let job = move || {
            let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
            let outcome = writer.append(&*store, &lines);
            let _ = port.send_wait(Message::AuditWritten(outcome));
        };
        if self.resources.reads.submit(job).is_err() {
            self.audit.on_end(false);
        }
    }

    /// Reads back the writes whose outcome is unknown.
    pub(super) fn read_back_unconfirmed(&mut self) {
        for (write, value) in std::mem::take(&mut self.unconfirmed) {
            let (store, port) = (Arc::clone(&self.resources.store), self.port.clone());
            let again = (write.clone(), value.clone());
            let job = move || {
                let key = key::vm(&write.vm);
                let outcome = execute::read_back(&*store, &key, &value, "the read back failed");
                let _ = port.send_wait(Message::VmWritten(write, value, outcome));
            };
            if self.resources.reads.submit(job).is_err() {
                self.unconfirmed.push(again);
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
