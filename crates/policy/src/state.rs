//! A snapshot of the fleet, the input of a decision.
//!
//! The controller fills a [`State`] from the records in the platform's store,
//! from the platform's lists, which lag behind, and from the reports of the
//! proxies. Times are relative to the Unix epoch, because another process
//! continues with the state after a failover.

use corianderfork_model::arena::Id;
use corianderfork_model::place::{DataCentreId, PoolId, RackId, VmId};
use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Time};

use crate::sizing::Sizer;
use crate::wave;

/// The number of consecutive failed starts of one service that count against
/// the VMs.
const MAX_FAILURES_BLAMED_ON_VM: u16 = 3;

/// The phase of a VM in its cycle from serving to serving again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Serves in its pool.
    #[default]
    Serving,
    /// Gets no new requests; proxies may still have requests in flight there.
    Draining,
    /// Every proxy has confirmed that no request is in flight there.
    Drained,
    /// A reboot was requested.
    Rebooting,
    /// Its record names its new pool, but it is not admitted there yet.
    Switching,
    /// Out of service until an operator intervenes.
    Out,
}

/// Why a VM was drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// To reboot it; it comes back with its copies.
    Maintenance,
    /// To move it to another pool.
    Switch(PoolId),
    /// Requested by an operator or a rule.
    Operator,
    /// Every start on it fails.
    Unfit,
}

impl Purpose {
    /// Returns the text stored as the reason in the VM's record, so that another
    /// controller knows the purpose of the drain after a failover.
    ///
    /// ```
    /// use corianderfork_model::Fleet;
    /// use corianderfork_policy::state::Purpose;
    ///
    /// let fleet = Fleet::default();
    /// let text = Purpose::Maintenance.to_text(&fleet);
    /// assert_eq!(Purpose::from_text(&text, &fleet), Some(Purpose::Maintenance));
    /// assert_eq!(Purpose::from_text("switch:nowhere", &fleet), None);
    /// ```
    pub fn to_text(self, fleet: &Fleet) -> String {
        match self {
            Self::Maintenance => "maintenance".to_owned(),
            Self::Switch(to) => format!("switch:{}", fleet.pool(to).name),
            Self::Operator => "operator".to_owned(),
            Self::Unfit => "unfit".to_owned(),
        }
    }

    /// Parses the output of [`Purpose::to_text`]. Returns `None` for any other
    /// text, and for a switch to a pool that is not in `fleet`.
    pub fn from_text(text: &str, fleet: &Fleet) -> Option<Self> {
        match text {
            "maintenance" => Some(Self::Maintenance),
            "operator" => Some(Self::Operator),
            "unfit" => Some(Self::Unfit),
            _ => {
                let pool = text.strip_prefix("switch:")?;
                Some(Self::Switch(fleet.find_pool(pool)?))
            }
        }
    }
}

/// A copy of a service on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The service.
    pub service: ServiceId,
    /// When it was started.
    pub since: Time,
    /// Whether it has answered since it was started.
    pub warm: bool,
    /// Whether most of its requests fail.
    pub failing: bool,
}

impl Copy {
    /// Creates a copy that was started at `since`.
    pub fn new(service: ServiceId, since: Time) -> Self {
        Self { service, since, warm: false, failing: false }
    }
}

/// The state of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its current phase.
    pub phase: Phase,
    /// Why it was drained; `None` while it serves.
    pub purpose: Option<Purpose>,
    /// When it entered its current phase.
    pub since: Time,
    /// Since when it is missing from the platform's list, if it is. A VM in a
    /// requested reboot is not lost.
    pub lost_since: Option<Time>,
    /// Whether an operator requests a drain.
    pub drain_requested: bool,
    /// When it last came back from a reboot.
    pub maintained_at: Option<Time>,
    /// The number of consecutive failed starts on it.
    pub failed_starts: u16,
    /// When the last start failed on it.
    pub failed_at: Time,
    /// When the first start failed since a copy last answered on it, if any.
    pub failing_since: Option<Time>,
    /// The number of reboots as unfit since a copy last answered on it.
    pub unfit_reboots: u16,
    /// The copies assigned to it. They stay assigned during maintenance.
    pub copies: Vec<Copy>,
}

impl Vm {
    /// Creates a VM that serves in `pool` and has no copies.
    pub fn new(pool: PoolId, since: Time) -> Self {
        Self {
            pool,
            phase: Phase::Serving,
            purpose: None,
            since,
            lost_since: None,
            drain_requested: false,
            maintained_at: None,
            failed_starts: 0,
            failed_at: Time::ZERO,
            failing_since: None,
            unfit_reboots: 0,
            copies: Vec::new(),
        }
    }
}

/// The consecutive failed starts of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartFailures {
    /// The number of consecutive failed starts, on any VM.
    pub count: u16,
    /// When the last one failed.
    pub last_at: Time,
}

/// The input of a decision, except for the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    vms: Vec<Vm>,
    start_failures: Vec<StartFailures>,
    /// Learned loads, run times and sizes.
    pub sizer: Sizer,
    /// The current wave, if operators ordered one.
    pub wave: Option<wave::Order>,
    /// Data centres known to be down from other sources than the VMs' states.
    pub failed_data_centres: Vec<DataCentreId>,
    /// Racks known to be down from other sources than the VMs' states.
    pub failed_racks: Vec<RackId>,
}

impl State {
    /// Creates the initial state of a fleet: each VM serves in its home pool and
    /// has no copies.
    pub fn new(fleet: &Fleet, now: Time) -> Self {
        Self {
            vms: fleet.vms().map(|(_, vm)| Vm::new(vm.home, now)).collect(),
            start_failures: vec![StartFailures::default(); fleet.services().len()],
            sizer: Sizer::new(fleet, now),
            wave: None,
            failed_data_centres: Vec::new(),
            failed_racks: Vec::new(),
        }
    }

    /// Returns the state of `vm`.
    ///
    /// # Panics
    ///
    /// Panics if the id is out of range, because it belongs to a larger fleet.
    pub fn vm(&self, vm: VmId) -> &Vm {
        &self.vms[vm.index()]
    }

    /// Returns the state of `vm` for modification.
    ///
    /// # Panics
    ///
    /// Panics if the id is out of range, because it belongs to a larger fleet.
    pub fn vm_mut(&mut self, vm: VmId) -> &mut Vm {
        &mut self.vms[vm.index()]
    }

    /// Returns an iterator over all VMs with their ids.
    pub fn vms(&self) -> impl ExactSizeIterator<Item = (VmId, &Vm)> {
        self.vms.iter().enumerate().map(|(index, vm)| (VmId::from_index(index), vm))
    }

    /// Returns the consecutive failed starts of `service`.
    ///
    /// # Panics
    ///
    /// Panics if the id is out of range, because it belongs to a larger fleet.
    pub fn start_failures(&self, service: ServiceId) -> StartFailures {
        self.start_failures[service.index()]
    }

    /// Records that a start of `service` on `vm` failed. After several
    /// consecutive failures the service is taken to be the cause, and further
    /// ones don't count against the VMs.
    pub fn record_start_failure(&mut self, vm: VmId, service: ServiceId, now: Time) {
        let failures = &mut self.start_failures[service.index()];
        failures.count = failures.count.saturating_add(1);
        failures.last_at = now;
        if failures.count <= MAX_FAILURES_BLAMED_ON_VM {
            let vm = &mut self.vms[vm.index()];
            vm.failed_starts = vm.failed_starts.saturating_add(1);
            vm.failed_at = now;
            vm.failing_since = vm.failing_since.or(Some(now));
        }
    }

    /// Records that `vm` is back from a reboot, which resets its failed starts.
    pub fn record_reboot(&mut self, vm: VmId, now: Time) {
        let vm = &mut self.vms[vm.index()];
        vm.maintained_at = Some(now);
        vm.failed_starts = 0;
        vm.unfit_reboots += u16::from(vm.purpose == Some(Purpose::Unfit));
    }

    /// Records that a copy of `service` on `vm` has answered.
    pub fn record_start_success(&mut self, vm: VmId, service: ServiceId) {
        self.start_failures[service.index()] = StartFailures::default();
        let vm = &mut self.vms[vm.index()];
        vm.failed_starts = 0;
        vm.failing_since = None;
        vm.unfit_reboots = 0;
    }
}
