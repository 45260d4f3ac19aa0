//! A proxy's routing: its view of all runners, and one request.

use std::net::{Ipv4Addr, SocketAddr};

use corianderfork::model::{Name, Time};
use corianderfork::outcome::Attempt;
use corianderfork::router::{Config, Router};
use corianderfork::view;

use crate::fit::{Series, micros, print_resident, resident_kib};

const VMS: [usize; 4] = [50, 850, 1700, 2900];
/// Runners a service at the target size.
const RUNNERS_A_SERVICE: usize = 14;
/// Requests a measurement.
const REQUESTS: usize = 1000;

pub fn series() -> Vec<Series> {
    let request = |vms| {
        let mut router = router(vms);
        let service = service(0);
        let now = Time::from_millis(10_000);
        let all = micros(|| (0..REQUESTS).for_each(|_| one(&mut router, &service, now)));
        all / REQUESTS as f64
    };
    let change = |vms| {
        let mut router = router(vms);
        let mut revision = 1_000_000;
        micros(|| {
            revision += 1;
            router.apply_record(Time::from_millis(10_000), record(0, revision))
        })
    };
    let held = |vms| resident_kib("router", vms);
    vec![
        Series::new("proxy", "pick_and_done", ("vm", "us"), &VMS, request),
        Series::new("proxy", "apply_one_vm_record", ("vm", "us"), &VMS, change),
        Series::new("proxy", "router_held", ("vm", "KiB"), &VMS, held),
    ]
}

pub fn print_held(vms: usize) {
    print_resident(|| router(vms));
}

fn one(router: &mut Router, service: &Name, now: Time) {
    if let Ok(ticket) = router.pick(now, service, &[]) {
        router.done(now, ticket, Attempt::Answered);
    }
}

fn router(vms: usize) -> Router {
    let mut router = Router::new(Name::new("e1").expect("a name"), Config::default());
    for number in 0..vms.div_ceil(RUNNERS_A_SERVICE) {
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
    let runner = view::Runner::new(service(vm / RUNNERS_A_SERVICE), address, true);
    let name = Name::new(&format!("v{vm}")).expect("a name");
    view::Vm::new(name, revision).epoch(1).serving(true).runner(runner)
}
