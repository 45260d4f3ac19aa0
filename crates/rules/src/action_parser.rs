//! Text to actions.

use corianderfork_model::Fleet;
use corianderfork_model::service::{Class, ServiceId};

use crate::action::{Action, Amount, Target};
use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind};
use crate::number::{Number, within};
use crate::resolve::{Breadth, Scope};

/// Every word that an action begins with.
const ACTIONS: [&str; 9] =
    ["copies", "headroom", "hold", "drain", "wave", "shed", "refuse", "order", "normal"];
/// The most copies that an action may ask for.
const MAX_COPIES: i64 = 100_000;
/// The most headroom, in per mille: six times what the load needs.
const MAX_HEADROOM: i64 = 5_000;
/// The most VMs of a wave out of service at once.
const MAX_PACE: i64 = 10_000;
/// The whole, in per mille.
const WHOLE: i64 = 1_000;

/// Reads the actions of a `then` text.
pub(crate) fn actions(text: &str, fleet: &Fleet) -> Result<Vec<Action>, Error> {
    let mut reader = Reader { cursor: Cursor::new(text, fleet)?, found: Vec::new() };
    loop {
        reader.one()?;
        if reader.cursor.is_done() {
            break;
        }
        reader.cursor.expect(";", "`;` or the end")?;
        if reader.cursor.is_done() {
            break;
        }
    }
    Ok(reader.found.into_iter().filter_map(|found| found.action).collect())
}

/// An action, and how narrowly it names its service. `normal` has none.
struct Found {
    action: Option<Action>,
    breadth: Breadth,
}

struct Reader<'a> {
    cursor: Cursor<'a>,
    found: Vec<Found>,
}

impl Reader<'_> {
    fn one(&mut self) -> Result<(), Error> {
        let word = self.cursor.word("an action such as `headroom SERVICE 30%`")?;
        let action = match word.text {
            "copies" | "headroom" => return self.sizes(&word),
            "normal" => None,
            "hold" => Some(Action::Hold),
            "drain" => Some(self.drain()?),
            "wave" => Some(self.wave()?),
            "shed" => Some(self.shed()?),
            "refuse" => {
                self.cursor.expect("moves", "`moves`")?;
                Some(Action::RefuseMoves)
            }
            "order" => Some(self.order()?),
            _ => return Err(word.unknown(ACTIONS)),
        };
        if self.found.iter().any(|found| conflict(found.action.as_ref(), action.as_ref())) {
            return Err(conflicts(&word));
        }
        self.found.push(Found { action, breadth: Breadth::All });
        Ok(())
    }

    /// `copies` and `headroom`, for each service that they name.
    fn sizes(&mut self, word: &Word<'_>) -> Result<(), Error> {
        let scope = self.scope()?;
        let number = self.cursor.word("a number or a percentage")?;
        for service in scope.services {
            let action = match word.text {
                "copies" => Action::Copies { service, amount: amount(&number)? },
                _ => Action::Headroom { service, per_mille: headroom(&number)? },
            };
            self.size(word, action, scope.breadth, service)?;
        }
        Ok(())
    }

    fn scope(&mut self) -> Result<Scope, Error> {
        let is_all = self.cursor.peek() == "all" && self.cursor.fleet.find_service("all").is_none();
        if !is_all {
            return self.cursor.scope();
        }
        self.cursor.takes("all");
        let services = self.cursor.fleet.service_ids().collect();
        Ok(Scope { services, breadth: Breadth::All, label: "all".to_owned() })
    }

    /// Keeps the narrowest action for a service.
    fn size(
        &mut self,
        word: &Word<'_>,
        action: Action,
        breadth: Breadth,
        service: ServiceId,
    ) -> Result<(), Error> {
        if self.found.iter().any(|found| matches!(found.action, None | Some(Action::Hold))) {
            return Err(conflicts(word));
        }
        let same = |found: &&mut Found| found.action.as_ref().and_then(sized) == Some(service);
        let found = Found { action: Some(action), breadth };
        match self.found.iter_mut().find(same) {
            Some(other) if other.breadth == breadth => return Err(conflicts(word)),
            Some(other) if other.breadth < breadth => *other = found,
            Some(_) => {}
            None => self.found.push(found),
        }
        Ok(())
    }

    fn drain(&mut self) -> Result<Action, Error> {
        let what = self.cursor.word("`vm NAME` or `rack NAME`")?;
        match what.text {
            "vm" => Ok(Action::Drain(Target::Vm(self.cursor.vm()?))),
            "rack" => Ok(Action::Drain(Target::Rack(self.cursor.rack()?))),
            _ => Err(what.unknown(["vm", "rack"])),
        }
    }

    fn wave(&mut self) -> Result<Action, Error> {
        let what = self.cursor.word("`pace` and a number, or `pause`")?;
        match what.text {
            "pause" => Ok(Action::WavePause),
            "pace" => {
                let word = self.cursor.word("a number of VMs")?;
                let vms = plain(&word, 1, MAX_PACE)?;
                Ok(Action::WavePace(u16::try_from(vms).unwrap_or(u16::MAX)))
            }
            _ => Err(what.unknown(["pace", "pause"])),
        }
    }

    fn shed(&mut self) -> Result<Action, Error> {
        let class = self.cursor.word("`later` or `normal`")?;
        match class.text {
            "later" => Ok(Action::Shed(Class::Later)),
            "normal" => Ok(Action::Shed(Class::Normal)),
            _ => Err(class.unknown(["later", "normal"])),
        }
    }

    fn order(&mut self) -> Result<Action, Error> {
        let mut services = Vec::new();
        loop {
            let word = self.cursor.word("the name of a service")?;
            let service = self.cursor.service_of(&word)?;
            if services.contains(&service) {
                return Err(conflicts(&word));
            }
            services.push(service);
            if !self.cursor.takes(",") {
                return Ok(Action::Order(services));
            }
        }
    }
}

fn amount(word: &Word<'_>) -> Result<Amount, Error> {
    match Number::read(word)? {
        Number::PerMille(n) => {
            let share = within(n, 0, WHOLE, word)?;
            Ok(Amount::PerMille(u16::try_from(share).unwrap_or(u16::MAX)))
        }
        _ => {
            let copies = plain(word, 0, MAX_COPIES)?;
            Ok(Amount::Count(u32::try_from(copies).unwrap_or(u32::MAX)))
        }
    }
}

fn headroom(word: &Word<'_>) -> Result<u16, Error> {
    match Number::read(word)? {
        Number::PerMille(n) => {
            let share = within(n, 0, MAX_HEADROOM, word)?;
            Ok(u16::try_from(share).unwrap_or(u16::MAX))
        }
        _ => Err(wrong_unit("headroom", word, "a percentage such as `30%`")),
    }
}

fn plain(word: &Word<'_>, least: i64, most: i64) -> Result<i64, Error> {
    match Number::read(word)? {
        Number::Plain(n) => within(n, least, most, word),
        _ => Err(wrong_unit("a count", word, "a whole number")),
    }
}

fn wrong_unit(what: &str, word: &Word<'_>, expected: &'static str) -> Error {
    let kind = Kind::WrongUnit { quantity: what.to_owned(), found: word.text.to_owned(), expected };
    Error::new(kind, word.at.clone(), format!("write {expected}"))
}

fn conflicts(word: &Word<'_>) -> Error {
    let kind = Kind::Conflict(word.text.to_owned());
    Error::new(kind, word.at.clone(), "keep one of the two")
}

/// The service whose copies an action sets.
pub(crate) fn sized(action: &Action) -> Option<ServiceId> {
    match action {
        Action::Copies { service, .. } | Action::Headroom { service, .. } => Some(*service),
        _ => None,
    }
}

/// Whether two actions of one rule cannot both be meant. `None` is `normal`,
/// which stands alone.
fn conflict(one: Option<&Action>, other: Option<&Action>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return true;
    };
    let is_wave = |action: &Action| matches!(action, Action::WavePace(_) | Action::WavePause);
    match (one, other) {
        (Action::Hold, other) | (other, Action::Hold) => {
            sized(other).is_some() || *other == Action::Hold
        }
        (Action::Drain(one), Action::Drain(other)) => one == other,
        (Action::Shed(_), Action::Shed(_)) => true,
        (Action::Order(_), Action::Order(_)) => true,
        (Action::RefuseMoves, Action::RefuseMoves) => true,
        _ => is_wave(one) && is_wave(other),
    }
}
