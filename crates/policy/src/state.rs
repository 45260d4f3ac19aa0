//! What is known of the fleet at one moment.
//!
//! The controller fills a [`State`] from the records in the platform's
//! service, the lagging list, and what the proxies report. Times are
//! milliseconds since the Unix epoch, because a state outlives the process
//! that began it.

use corianderfork_model::arena::Id;
use corianderfork_model::place::{DataCentreId, PoolId, RackId, VmId};
use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Time};

use crate::sizing::Sizer;
use crate::wave;

/// Failed starts in a row of one service that count against the VMs.
const BLAMES_VMS: u16 = 3;

/// Where a VM stands between two admissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It belongs to its pool and takes work.
    #[default]
    Serving,
    /// It gets no new work; proxies still have requests in flight there.
    Draining,
    /// Every proxy has confirmed that nothing is in flight there.
    Drained,
    /// It was told to reboot.
    Rebooting,
    /// Its record names its new pool; it isn't admitted there yet.
    Switching,
    /// It stays out until an operator looks at it.
    Out,
}

/// Why a VM was drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// It is to be rebooted and comes back with its copies.
    Maintenance,
    /// It is to change to another pool.
    Switch(PoolId),
    /// An operator asked for it.
    Operator,
    /// It fails everything that is started on it.
    Unfit,
}

impl Purpose {
    /// The text that stands as the reason in the VM's record, so that a
    /// controller that takes over knows what the drain is for.
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

    /// Reads [`Purpose::to_text`] back. `None` for any other text, and for a
    /// switch to a pool that `fleet` doesn't have.
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
    /// The service it is a copy of.
    pub service: ServiceId,
    /// When it was started.
    pub since: Time,
    /// Whether it has answered since it was started.
    pub warm: bool,
    /// Whether it fails most of what it is given.
    pub failing: bool,
}

impl Copy {
    /// A copy that has just been started.
    pub fn new(service: ServiceId, since: Time) -> Self {
        Self { service, since, warm: false, failing: false }
    }
}

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The one pool it belongs to.
    pub pool: PoolId,
    /// Where it stands between two admissions.
    pub phase: Phase,
    /// Why it was drained; `None` while it serves.
    pub purpose: Option<Purpose>,
    /// When it entered its phase.
    pub since: Time,
    /// Since when nobody has seen it, if it isn't seen now. A VM that is
    /// rebooting as told is not lost.
    pub lost_since: Option<Time>,
    /// Whether an operator wants it drained.
    pub drain_requested: bool,
    /// When it last came back from a reboot.
    pub maintained_at: Option<Time>,
    /// Starts that failed on it in a row.
    pub failed_starts: u16,
    /// When the last of them failed.
    pub failed_at: Time,
    /// Since when nothing it was given has answered, if starts have failed
    /// since.
    pub failing_since: Option<Time>,
    /// Reboots for being unfit since something last answered on it.
    pub unfit_reboots: u16,
    /// The copies assigned to it. They stay assigned while it is maintained.
    pub copies: Vec<Copy>,
}

impl Vm {
    /// A VM that serves in `pool` and carries nothing.
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

/// How starting a service has gone lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartFailures {
    /// Starts that failed in a row, on whichever VM.
    pub count: u16,
    /// When the last one failed.
    pub last_at: Time,
}

/// All that a decision is made from, but for the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    vms: Vec<Vm>,
    start_failures: Vec<StartFailures>,
    /// What was learned of load, run times and sizes.
    pub sizer: Sizer,
    /// The wave that operators ordered, if one is under way.
    pub wave: Option<wave::Order>,
    /// Data centres known to be down beside what the VMs themselves show.
    pub failed_data_centres: Vec<DataCentreId>,
    /// Racks known to be down beside what the VMs themselves show.
    pub failed_racks: Vec<RackId>,
}

impl State {
    /// The state of a fleet of which nothing is known but its configuration:
    /// each VM serves in its home pool and carries nothing.
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

    /// What is known of `vm`.
    ///
    /// # Panics
    ///
    /// Panics if the id is of another, larger fleet.
    pub fn vm(&self, vm: VmId) -> &Vm {
        &self.vms[vm.index()]
    }

    /// What is known of `vm`, to change.
    ///
    /// # Panics
    ///
    /// Panics if the id is of another, larger fleet.
    pub fn vm_mut(&mut self, vm: VmId) -> &mut Vm {
        &mut self.vms[vm.index()]
    }

    /// Every VM with its id.
    pub fn vms(&self) -> impl ExactSizeIterator<Item = (VmId, &Vm)> {
        self.vms.iter().enumerate().map(|(index, vm)| (VmId::from_index(index), vm))
    }

    /// How starting `service` has gone.
    ///
    /// # Panics
    ///
    /// Panics if the id is of another, larger fleet.
    pub fn start_failures(&self, service: ServiceId) -> StartFailures {
        self.start_failures[service.index()]
    }

    /// Records that a start of `service` on `vm` failed. Once a service has
    /// failed everywhere it was tried, its failures no longer speak against
    /// the VMs.
    pub fn record_start_failure(&mut self, vm: VmId, service: ServiceId, now: Time) {
        let failures = &mut self.start_failures[service.index()];
        failures.count = failures.count.saturating_add(1);
        failures.last_at = now;
        if failures.count <= BLAMES_VMS {
            let vm = &mut self.vms[vm.index()];
            vm.failed_starts = vm.failed_starts.saturating_add(1);
            vm.failed_at = now;
            vm.failing_since = vm.failing_since.or(Some(now));
        }
    }

    /// Records that `vm` is back from a reboot, which gives it a new chance.
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
