//! A proxy's router: its view of all runners and the cost of one request.

use std::net::{Ipv4Addr, SocketAddr};

use corianderfork::model::{Name, Time};
use corianderfork::outcome::Attempt;
use corianderfork::router::{Config, Router};
use corianderfork::view;

use crate::fit::{Series, memory_kib, micros, print_retained};

const VMS: [usize; 4] = [50, 850, 1700, 2900];
/// Runners per service at the target size.
const RUNNERS_PER_SERVICE: usize = 14;
/// Requests per measurement.
const REQUESTS: usize = 1000;

pub fn series() -> Vec<Series> {
    let request = |vms| {
        let mut router = router(vms);
        let service = service(0);
        let now = Time::from_millis(10_000);
        let total = micros(|| (0..REQUESTS).for_each(|_| route_one(&mut router, &service, now)));
        total / REQUESTS as f64
    };
    let change = |vms| {
        let mut router = router(vms);
        let mut revision = 1_000_000;
        micros(|| {
            revision += 1;
            router.apply_record(Time::from_millis(10_000), record(0, revision))
        })
    };
    let memory = |vms| memory_kib("router", vms);
    vec![
        Series::new("proxy", "pick_and_done", ("vm", "us"), &VMS, request),
        Series::new("proxy", "apply_one_vm_record", ("vm", "us"), &VMS, change),
        Series::new("proxy", "router_held", ("vm", "KiB"), &VMS, memory),
    ]
}

pub fn print_memory(vms: usize) {
    print_retained(|| router(vms));
}

fn route_one(router: &mut Router, service: &Name, now: Time) {
    if let Ok(ticket) = router.pick(now, service, &[]) {
        router.done(now, ticket, Attempt::Answered);
    }
}

fn router(vms: usize) -> Router {
    let mut router = Router::new(Name::new("e1").expect("a name"), Config::default());
    for number in 0..vms.div_ceil(RUNNERS_PER_SERVICE) {
        router.set_service(&service(number), 8, 64);
    }
    for vm in 0..vms {
        router.apply_record(Time::ZERO, record(vm, vm as u64 + 1));
    }
    router
}

fn service(number: usize) -> Name {
    Name::new(&format!("s{number}")).expect("a name")
}

fn record(vm: usize, revision: u64) -> view::Vm {
    let port = 10_000 + (vm % 50_000) as u16;
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, (vm / 250) as u8, 1), port));
    let runner = view::Runner::new(service(vm / RUNNERS_PER_SERVICE), address, true);
    let name = Name::new(&format!("v{vm}")).expect("a name");
    view::Vm::new(name, revision).epoch(1).serving(true).runner(runner)
}
