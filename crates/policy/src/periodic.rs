//! Periodic maintenance, spread over the weeks.
//!
//! Each pool has a daily quota of twice the mean rate, so that VMs that were all
//! rebooted in one wave fall due one after the other. VMs are taken as late as
//! the quota allows. This spreads the pool over one period and keeps it spread.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::note::Note;
use crate::state::Phase;
use crate::view::{View, VmStatus};

pub(crate) const DAY: Duration = Duration::from_secs(24 * 3600);
/// VMs are scheduled this many days before they are overdue.
const SLACK_DAYS: u32 = 2;
/// The daily quota as a multiple of the mean rate.
const RATE_FACTOR: u32 = 2;

fn period(view: &View<'_>, pool: PoolId) -> Duration {
    DAY * u32::from(view.fleet.pool(pool).maintenance_days.max(1))
}

/// Returns when the next maintenance of `vm` has to be done.
fn deadline(view: &View<'_>, pool: PoolId, vm: VmId) -> Time {
    let last_reboot = view.state.vm(vm).maintained_at.unwrap_or(Time::ZERO);
    last_reboot + period(view, pool)
}

/// Returns how many VMs of a pool may be rebooted per day.
fn daily_quota(view: &View<'_>, pool: PoolId) -> u32 {
    let days = u32::from(view.fleet.pool(pool).maintenance_days.max(1));
    (view.pool_vms(pool).len() as u32 * RATE_FACTOR).div_ceil(days)
}

/// Returns the VMs of `pool` to reboot now; none if no VM has to start yet to
/// meet its deadline.
pub(crate) fn due_vms(view: &View<'_>, pool: PoolId, in_progress: u32) -> Vec<VmId> {
    let quota = daily_quota(view, pool);
    let done_today =
        |vm: &&VmId| view.state.vm(**vm).maintained_at.is_some_and(|then| view.age(then) < DAY);
    let used = view.pool_vms(pool).iter().filter(done_today).count() as u32 + in_progress;
    let capacity = quota.saturating_sub(used);
    if capacity == 0 {
        return Vec::new();
    }
    let mut candidates: Vec<(Time, VmId)> = view
        .pool_vms(pool)
        .iter()
        .filter(|vm| view.state.vm(**vm).phase == Phase::Serving)
        .map(|&vm| (deadline(view, pool, vm), vm))
        .collect();
    candidates.sort_unstable();
    // In deadline order, each VM has to wait for those before it at the quota.
    let is_due = |(index, &(deadline, _)): (usize, &(Time, VmId))| {
        let days = (index as u32 + 1).div_ceil(quota) + SLACK_DAYS;
        view.now + DAY * days > deadline
    };
    if !candidates.iter().enumerate().any(is_due) {
        return Vec::new();
    }
    let usable = candidates.into_iter().map(|(_, vm)| vm);
    usable
        .filter(|vm| view.vm_statuses[vm.index()] == VmStatus::Usable)
        .take(capacity as usize)
        .collect()
}

/// Adds a note for each pool with overdue VMs.
pub(crate) fn note_overdue(view: &View<'_>, notes: &mut Vec<Note>) {
    for pool in view.fleet.pool_ids() {
        let is_overdue = |vm: &&VmId| {
            view.state.vm(**vm).maintained_at.is_some() && deadline(view, pool, **vm) < view.now
        };
        let vms = view.pool_vms(pool).iter().filter(is_overdue).count() as u32;
        if vms > 0 {
            notes.push(Note::Overdue { pool, vms });
        }
    }
}
