//! The platform's control interface for the planner.

use std::sync::Arc;

use corianderfork_model::Name;
use corianderfork_provider::count::CountingStore;
use corianderfork_provider::fleet::{self, Control};
use corianderfork_provider::http::Client;
use corianderfork_provider::store;

/// The control interface of the client that also counts calls to the store.
pub(super) struct ClientControl(pub(super) Arc<CountingStore<Client>>);

impl Control for ClientControl {
    fn vms(&self) -> Result<Vec<fleet::Vm>, store::Error> {
        self.0.inner().vms()
    }

    fn tasks(&self) -> Result<Vec<fleet::Task>, store::Error> {
        self.0.inner().tasks()
    }

    fn usage(&self) -> Result<Vec<fleet::Usage>, store::Error> {
        self.0.inner().usage()
    }

    fn start(&self, vm: &Name, service: &Name) -> Result<(), store::Error> {
        self.0.inner().start(vm, service)
    }

    fn stop(&self, vm: &Name, service: &Name) -> Result<(), store::Error> {
        self.0.inner().stop(vm, service)
    }

    fn reboot(&self, vm: &Name) -> Result<(), store::Error> {
        self.0.inner().reboot(vm)
    }
}
