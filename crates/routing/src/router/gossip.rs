//! Reports to and from peers.

use corianderfork_model::{Name, Time};

use super::peers::Affected;
use super::{Router, RunnerKey};
use crate::report::{Demand, Drain, Report, Runner};

impl Router {
    /// Returns the report for the peers. From now on this proxy divides by the
    /// demand in this report, so that it computes the same shares as its peers.
    pub fn report(&mut self, now: Time) -> Report {
        let mut report = Report::default();
        for service in self.services.values_mut() {
            let tenths = service.report_demand(now);
            if tenths > 0 {
                report.demands.push(Demand { service: service.name.clone(), tenths });
            }
        }
        self.update_all_shares(now);
        let listed = self.vms.values().flat_map(|vm| &vm.runners);
        report.runners = listed.filter_map(|key| self.runner_report(now, *key)).collect();
        let drains = self.vms.iter().filter_map(|(vm, state)| Some((vm, state.active_drain()?)));
        report.drains = drains.map(|(vm, epoch)| Drain { vm: vm.clone(), epoch }).collect();
        report
    }

    /// Adds `member`, which the membership lists as a proxy but which may not
    /// have reported yet. It is assigned its minimum share from now on.
    pub fn add_member(&mut self, now: Time, member: &Name) {
        if *member != self.me && self.peers.add(now, member) {
            self.invalidate_all_shares();
            self.update_all_shares(now);
        }
    }

    /// Applies a peer's report. Only the shares of services that it changes are
    /// recomputed, because peers report several times a second, mostly without
    /// changes.
    pub fn apply_report(&mut self, now: Time, member: &Name, report: &Report) {
        if *member == self.me {
            return;
        }
        match self.peers.update(now, member, report) {
            Affected::All => self.invalidate_all_shares(),
            Affected::Services(names) => {
                names.iter().for_each(|name| self.invalidate_service_shares(name))
            }
        }
        for drain in &report.drains {
            self.drain(&drain.vm, drain.epoch);
        }
        for runner in &report.runners {
            self.apply_hint(now, member, runner);
        }
        self.update_all_shares(now);
    }

    /// Removes a proxy that the membership reports as gone; its share is
    /// redistributed.
    pub fn remove_member(&mut self, member: &Name) {
        self.peers.forget(member);
        self.invalidate_all_shares();
    }

    /// Returns this proxy's own observations of a runner, if there are any.
    fn runner_report(&self, now: Time, key: RunnerKey) -> Option<Runner> {
        let runner = &self.runners[key];
        let leaving = now < runner.leaving_until;
        let ejected = self.detector.is_failing_first_hand(key);
        let service = self.services[runner.service].name.clone();
        let entry = Runner { vm: runner.vm.clone(), service, leaving, ejected };
        (leaving || ejected).then_some(entry)
    }

    fn apply_hint(&mut self, now: Time, member: &Name, hint: &Runner) {
        let Some(vm) = self.vms.get(&hint.vm) else { return };
        let Some(service) = self.service_names.get(&hint.service) else { return };
        for &key in &vm.runners {
            let runner = &mut self.runners[key];
            if runner.service != *service {
                continue;
            }
            if hint.leaving {
                runner.leaving_hint_until = now + self.hint_timeout;
                self.services[*service].invalidate_shares();
            }
            if hint.ejected {
                self.detector.hint(now, member, key);
            }
        }
    }
}
