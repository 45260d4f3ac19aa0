//! The maintenance that falls due by itself, spread over the weeks.
//!
//! Each pool has a rate: at twice the mean, so that VMs that were all
//! maintained in one wave come back into turn one after the other. A VM is
//! taken as late as the rate allows, which spreads the whole pool out within
//! one period and keeps it spread.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::note::Note;
use crate::state::Phase;
use crate::view::{Host, View};

pub(crate) const DAY: Duration = Duration::from_secs(24 * 3600);
/// Days kept in hand before a VM is overdue.
const SLACK_DAYS: u32 = 2;
/// How much faster than the mean VMs may be taken.
const RATE: u32 = 2;

fn period(view: &View<'_>, pool: PoolId) -> Duration {
    DAY * u32::from(view.fleet.pool(pool).maintenance_days.max(1))
}

/// When `vm` has to have been maintained again.
fn deadline(view: &View<'_>, pool: PoolId, vm: VmId) -> Time {
    let last = view.state.vm(vm).maintained_at.unwrap_or(Time::ZERO);
    last + period(view, pool)
}

/// VMs a pool may take in a day.
fn per_day(view: &View<'_>, pool: PoolId) -> u32 {
    let days = u32::from(view.fleet.pool(pool).maintenance_days.max(1));
    (view.pool(pool).len() as u32 * RATE).div_ceil(days)
}

/// The VMs of `pool` whose turn it is.
pub(crate) fn next(view: &View<'_>, pool: PoolId, under_way: u32) -> Vec<VmId> {
    let rate = per_day(view, pool);
    let today =
        |vm: &&VmId| view.state.vm(**vm).maintained_at.is_some_and(|then| view.age(then) < DAY);
    let taken = view.pool(pool).iter().filter(today).count() as u32 + under_way;
    let room = rate.saturating_sub(taken);
    if room == 0 {
        return Vec::new();
    }
    let mut todo: Vec<(Time, VmId)> = view
        .pool(pool)
        .iter()
        .filter(|vm| view.state.vm(**vm).phase == Phase::Serving)
        .map(|&vm| (deadline(view, pool, vm), vm))
        .collect();
    todo.sort_unstable();
    let is_late = |(index, &(deadline, _)): (usize, &(Time, VmId))| {
        let days = (index as u32 + 1).div_ceil(rate) + SLACK_DAYS;
        view.now + DAY * days > deadline
    };
    if !todo.iter().enumerate().any(is_late) {
        return Vec::new();
    }
    let usable = todo.into_iter().map(|(_, vm)| vm);
    usable.filter(|vm| view.hosts[vm.index()] == Host::Usable).take(room as usize).collect()
}

/// Says which pools have VMs past their day.
pub(crate) fn overdue(view: &View<'_>, notes: &mut Vec<Note>) {
    for pool in view.fleet.pool_ids() {
        let past = |vm: &&VmId| {
            view.state.vm(**vm).maintained_at.is_some() && deadline(view, pool, **vm) < view.now
        };
        let vms = view.pool(pool).iter().filter(past).count() as u32;
        if vms > 0 {
            notes.push(Note::Overdue { pool, vms });
        }
    }
}
