//! Reads the sections of teams, services and weights.

use corianderfork_model::place::{Pool, PoolId, Size};
use corianderfork_model::service::{
    Budget, Class, Outlasts, Service, ServiceId, Team, TeamId, Weights,
};
use corianderfork_model::{Fleet, Name};

use crate::keys::{Keys, QUOTA, SIZE};
use crate::sink::Sink;
use crate::text::Section;

/// The maximum number of copies and of licences of one service.
const MAX_COPIES: u32 = 100_000;
/// The maximum number of slots of one copy.
const MAX_SLOTS: u16 = 1_024;
/// The maximum run time and warm-up time, in milliseconds (one day).
const MAX_MILLIS: u32 = 86_400_000;
const MAX_WEIGHT: u32 = 1_000_000;

pub(crate) fn weights(fleet: &mut Fleet, mut keys: Keys<'_, '_, '_>) {
    let default = Weights::default();
    fleet.weights = Weights {
        moves: keys.number("moves", 0, MAX_WEIGHT, default.moves),
        buffer: keys.number("buffer", 0, MAX_WEIGHT, default.buffer),
        roll_out: keys.number("roll_out", 0, MAX_WEIGHT, default.roll_out),
    };
}

pub(crate) fn team(fleet: &mut Fleet, mut keys: Keys<'_, '_, '_>) -> Option<TeamId> {
    let name = keys.section_name();
    let quota = keys.size(&QUOTA);
    // An unreadable quota is unlimited, so that it is not also reported as too small.
    let unlimited = Size { milli_cores: u32::MAX, memory_mib: u32::MAX, accelerators: u16::MAX };
    Some(fleet.add_team(Team::new(name?, quota.unwrap_or(unlimited))))
}

/// Adds a service. An invalid one is added as well, in a placeholder pool if its
/// own is unknown, so that rules that name it are not reported as invalid too.
pub(crate) fn service(
    fleet: &mut Fleet,
    section: &Section<'_>,
    sink: &mut Sink<'_>,
) -> Option<ServiceId> {
    let mut keys = Keys { section, sink };
    let name = keys.section_name();
    let pool = pool_of(fleet, &mut keys);
    let team = team_of(fleet, &mut keys);
    let size = keys.size(&SIZE).unwrap_or_default();
    let licences = keys.required_number("licences", 1, MAX_COPIES);
    let budget = budget(&mut keys, licences);
    let mut service = Service::new(name?, pool, size, budget, licences);
    service.team = team;
    service.class = keys.choice(
        "class",
        &[("first", Class::First), ("normal", Class::Normal), ("later", Class::Later)],
    );
    service.slots = keys.number("slots", 1, MAX_SLOTS, Service::SLOTS);
    service.connections = keys.number("connections", 1, u16::MAX, Service::CONNECTIONS);
    service.run_millis = keys.number("run_ms", 1, MAX_MILLIS, service.run_millis);
    service.warm_millis = keys.number("warm_ms", 0, MAX_MILLIS, service.warm_millis);
    Some(fleet.add_service(service))
}

fn budget(keys: &mut Keys<'_, '_, '_>, licences: u32) -> Budget {
    let min = keys.required_number("min_copies", 1, MAX_COPIES);
    let max = keys.number("max_copies", 1, MAX_COPIES, licences.max(1));
    let mut budget = Budget::new(min, max);
    budget.unavailable = keys.share("unavailable", budget.unavailable);
    budget.outlasts = keys.choice(
        "outlasts",
        &[
            ("nothing", Outlasts::Nothing),
            ("vm", Outlasts::Vm),
            ("rack", Outlasts::Rack),
            ("data_centre", Outlasts::DataCentre),
        ],
    );
    budget
}

fn pool_of(fleet: &mut Fleet, keys: &mut Keys<'_, '_, '_>) -> PoolId {
    let found = keys.reference(
        "pool",
        "pool",
        |name| fleet.find_pool(name),
        fleet.pools().map(|(_, pool)| pool.name.as_str()),
    );
    found.unwrap_or_else(|| {
        let name = Name::new("_").expect("a valid name");
        fleet.add_pool(Pool::new(name))
    })
}

fn team_of(fleet: &Fleet, keys: &mut Keys<'_, '_, '_>) -> Option<TeamId> {
    keys.optional("team")?;
    keys.reference(
        "team",
        "team",
        |name| fleet.find_team(name),
        fleet.teams().map(|(_, team)| team.name.as_str()),
    )
}
