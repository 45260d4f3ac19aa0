//! The runs that could be stopped for tasks of one kind, on each worker, the cheapest first.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::Preemptor;
use super::candidate::{Candidates, Choice, Urgency, least_victims};
use crate::job::Room;
use crate::pool::Pool;
use crate::pool::victim::{StopTimes, Victim};
use crate::worker::{self, Worker};

/// What decides which runs make room for a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    urgency: Urgency,
    room: Room,
    label: Option<String>,
}

impl Kind {
    pub fn of(preemptor: &Preemptor) -> Self {
        let step = &preemptor.step;
        Self { urgency: preemptor.urgency, room: step.room(), label: step.label.clone() }
    }

    fn is_of(&self, preemptor: &Preemptor) -> bool {
        self.urgency == preemptor.urgency
            && self.room == preemptor.step.room()
            && self.label == preemptor.step.label
    }

    fn may_run_on(&self, worker: &Worker) -> bool {
        worker.room.fits(&Room::default(), &self.room)
            && self.label.as_ref().is_none_or(|label| worker.has_label(label))
    }

    fn choice(
        &self,
        worker: (worker::Key, &Worker),
        candidates: &Candidates,
        times: &StopTimes,
    ) -> Option<Choice> {
        let (key, worker) = worker;
        let runs = candidates.get(&key)?.iter();
        let yielding: Vec<&Victim> =
            runs.filter(|run| run.yields_to(self.urgency, times)).map(|run| &run.victim).collect();
        let occupied = worker.occupied(|_| false);
        let victims = least_victims(&worker.room, &occupied, &self.room, &yielding)?;
        let cost = victims.iter().map(|victim| victim.work_cost(times)).sum();
        let lost = victims.iter().map(|victim| victim.lost_work(times)).sum();
        Some(Choice { worker: key, victims, cost, lost })
    }
}

/// The choices for tasks of one kind.
#[derive(Debug)]
struct Offers {
    kind: Kind,
    choices: BTreeMap<(u64, worker::Key), Choice>,
    costs: SecondaryMap<worker::Key, u64>,
}

impl Offers {
    fn insert(&mut self, choice: Choice) {
        self.costs.insert(choice.worker, choice.cost);
        self.choices.insert((choice.cost, choice.worker), choice);
    }

    fn remove(&mut self, key: worker::Key) {
        if let Some(cost) = self.costs.remove(key) {
            self.choices.remove(&(cost, key));
        }
    }
}

/// The choices for tasks of each kind. Those for a kind are made at its first task; tasks of the same
/// kind differ only in whether they may run on a worker.
#[derive(Debug, Default)]
pub(super) struct Catalogue {
    all: Vec<Offers>,
}

impl Catalogue {
    /// Returns the choices for a task, the cheapest first.
    pub fn choices(
        &mut self,
        pool: &Pool,
        preemptor: &Preemptor,
        candidates: &Candidates,
        times: &StopTimes,
    ) -> impl Iterator<Item = &Choice> {
        let known = self.all.iter().position(|offers| offers.kind.is_of(preemptor));
        let index = known.unwrap_or_else(|| {
            let kind = Kind::of(preemptor);
            let workers = candidates.keys().filter_map(|key| Some((*key, pool.workers.get(*key)?)));
            let workers = workers.filter(|(_, worker)| kind.may_run_on(worker));
            let choices = workers.filter_map(|worker| kind.choice(worker, candidates, times));
            let choices: Vec<Choice> = choices.collect();
            let mut offers = Offers { kind, choices: BTreeMap::new(), costs: SecondaryMap::new() };
            choices.into_iter().for_each(|choice| offers.insert(choice));
            self.all.push(offers);
            self.all.len() - 1
        });
        self.all[index].choices.values()
    }

    /// Renews the choices on a worker of which runs are stopped now.
    pub fn renew(
        &mut self,
        pool: &Pool,
        key: worker::Key,
        candidates: &Candidates,
        times: &StopTimes,
    ) {
        for offers in &mut self.all {
            offers.remove(key);
            let kind = &offers.kind;
            let worker = pool.workers.get(key).filter(|worker| kind.may_run_on(worker));
            let choice = worker.and_then(|worker| kind.choice((key, worker), candidates, times));
            choice.into_iter().for_each(|choice| offers.insert(choice));
        }
    }
}
