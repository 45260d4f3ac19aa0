//! What the tests share.

#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "each test file uses a part")]

use corianderfork_model::{Name, Time};
use corianderfork_routing::limits::Policy;
use corianderfork_routing::router::{Config, Router};
use corianderfork_routing::view::{Runner, Vm};

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn vm_name(i: u16) -> Name {
    name(&format!("vm-{i:02}"))
}

/// VM `i` with one warm copy of `transfer`.
pub fn vm(i: u16, revision: u64, epoch: u64, serving: bool) -> Vm {
    let address = ([127, 0, 0, 1], 9000 + i).into();
    let runner = Runner::new(name("transfer"), address, true);
    Vm::new(vm_name(i), revision).epoch(epoch).serving(serving).runner(runner)
}

/// A router that knows `runners` VMs since time 0, with all shares in force
/// from one second on.
pub fn router(config: Config, runners: u16) -> Router {
    let mut router = Router::new(name("proxy-0"), config);
    router.set_service(&name("transfer"), 8, 64);
    (0..runners).for_each(|i| assert!(router.apply_record(at(0), vm(i, 1, 1, true))));
    router
}

pub fn with_policy(policy: impl Policy + 'static) -> Config {
    Config::default().policy(Box::new(policy))
}
