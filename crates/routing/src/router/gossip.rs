//! What is told to peers and heard from them.

use corianderfork_model::{Name, Time};

use super::peers::News;
use super::{Router, RunnerKey};
use crate::report::{Demand, Drain, Report, Runner};

impl Router {
    /// What to tell peers. The demand of the report is also what this proxy
    /// divides by from now on, so that it computes what its peers compute.
    pub fn report(&mut self, now: Time) -> Report {
        let mut report = Report::default();
        for service in self.services.values_mut() {
            let tenths = service.report_demand(now);
            if tenths > 0 {
                report.demands.push(Demand { service: service.name.clone(), tenths });
            }
        }
        self.divide_all(now);
        let listed = self.vms.values().flat_map(|vm| &vm.runners);
        report.runners = listed.filter_map(|key| self.learned(now, *key)).collect();
        let drains = self.vms.iter().filter_map(|(vm, state)| Some((vm, state.draining()?)));
        report.drains = drains.map(|(vm, epoch)| Drain { vm: vm.clone(), epoch }).collect();
        report
    }

    /// Notes that `member` is a proxy, as the membership says, though it may not
    /// have reported yet. It is left its floor share from now on.
    pub fn add_member(&mut self, now: Time, member: &Name) {
        if *member != self.me && self.peers.meet(now, member) {
            self.divide_all_again();
            self.divide_all(now);
        }
    }

    /// Applies a peer's report. Only the services that it changes are divided
    /// anew: peers report several times a second, mostly the same.
    pub fn apply_report(&mut self, now: Time, member: &Name, report: &Report) {
        if *member == self.me {
            return;
        }
        match self.peers.report(now, member, report) {
            News::All => self.divide_all_again(),
            News::Services(names) => names.iter().for_each(|name| self.divide_service_again(name)),
        }
        for drain in &report.drains {
            self.drain(&drain.vm, drain.epoch);
        }
        for runner in &report.runners {
            self.apply_hint(now, member, runner);
        }
        self.divide_all(now);
    }

    /// Forgets a proxy that the membership says is gone: its share is divided.
    pub fn remove_member(&mut self, member: &Name) {
        self.peers.forget(member);
        self.divide_all_again();
    }

    /// What this proxy itself learned about a runner, if anything.
    fn learned(&self, now: Time, key: RunnerKey) -> Option<Runner> {
        let runner = &self.runners[key];
        let leaving = now < runner.leaving_until;
        let ejected = self.detector.is_failing_first_hand(key);
        let service = self.services[runner.service].name.clone();
        let told = Runner { vm: runner.vm.clone(), service, leaving, ejected };
        (leaving || ejected).then_some(told)
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
                runner.hinted_until = now + self.hint_timeout;
                self.services[*service].divide_again();
            }
            if hint.ejected {
                self.detector.hint(now, member, key);
            }
        }
    }
}
