//! Parses actions.

use corianderfork_model::Fleet;
use corianderfork_model::service::{Class, ServiceId};

use crate::action::{Action, Amount, Target};
use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind};
use crate::number::{Number, check_bounds};
use crate::resolve::{Scope, Specificity};

/// All words that an action can start with.
const ACTIONS: [&str; 9] =
    ["copies", "headroom", "hold", "drain", "wave", "shed", "refuse", "order", "normal"];
/// The maximum number of copies that an action may set.
const MAX_COPIES: i64 = 100_000;
/// The maximum headroom, in per mille: six times what the load needs in total.
const MAX_HEADROOM: i64 = 5_000;
/// The maximum number of VMs of a wave out of service at once.
const MAX_PACE: i64 = 10_000;
/// 100%, in per mille.
const MAX_SHARE: i64 = 1_000;

/// Parses the actions of a `then` text.
pub(crate) fn parse(text: &str, fleet: &Fleet) -> Result<Vec<Action>, Error> {
    let mut parser = Parser { cursor: Cursor::new(text, fleet)?, actions: Vec::new() };
    loop {
        parser.parse_action()?;
        if parser.cursor.is_at_end() {
            break;
        }
        parser.cursor.expect(";", "`;` or the end")?;
        if parser.cursor.is_at_end() {
            break;
        }
    }
    Ok(parser.actions.into_iter().filter_map(|parsed| parsed.action).collect())
}

/// An action, and how specifically it names its service. `normal` has no action.
struct ParsedAction {
    action: Option<Action>,
    specificity: Specificity,
}

struct Parser<'a> {
    cursor: Cursor<'a>,
    actions: Vec<ParsedAction>,
}

impl Parser<'_> {
    fn parse_action(&mut self) -> Result<(), Error> {
        let word = self.cursor.word("an action such as `headroom SERVICE 30%`")?;
        let action = match word.text {
            "copies" | "headroom" => return self.parse_sizing(&word),
            "normal" => None,
            "hold" => Some(Action::Hold),
            "drain" => Some(self.parse_drain()?),
            "wave" => Some(self.parse_wave()?),
            "shed" => Some(self.parse_shed()?),
            "refuse" => {
                self.cursor.expect("moves", "`moves`")?;
                Some(Action::RefuseMoves)
            }
            "order" => Some(self.parse_order()?),
            _ => return Err(word.unknown_word(ACTIONS)),
        };
        if self.actions.iter().any(|parsed| is_conflict(parsed.action.as_ref(), action.as_ref())) {
            return Err(conflict_error(&word));
        }
        self.actions.push(ParsedAction { action, specificity: Specificity::All });
        Ok(())
    }

    /// Parses the rest of a `copies` or `headroom` action, and adds an action for
    /// each service that it names.
    fn parse_sizing(&mut self, word: &Word<'_>) -> Result<(), Error> {
        let scope = self.parse_scope()?;
        let number = self.cursor.word("a number or a percentage")?;
        for service in scope.services {
            let action = match word.text {
                "copies" => Action::Copies { service, amount: parse_amount(&number)? },
                _ => Action::Headroom { service, per_mille: parse_headroom(&number)? },
            };
            self.add_sizing(word, action, scope.specificity, service)?;
        }
        Ok(())
    }

    fn parse_scope(&mut self) -> Result<Scope, Error> {
        let is_all = self.cursor.peek() == "all" && self.cursor.fleet.find_service("all").is_none();
        if !is_all {
            return self.cursor.parse_scope();
        }
        self.cursor.eat("all");
        let services = self.cursor.fleet.service_ids().collect();
        Ok(Scope { services, specificity: Specificity::All, label: "all".to_owned() })
    }

    /// Adds the action, or keeps the existing one if that names the service more
    /// specifically.
    fn add_sizing(
        &mut self,
        word: &Word<'_>,
        action: Action,
        specificity: Specificity,
        service: ServiceId,
    ) -> Result<(), Error> {
        if self.actions.iter().any(|parsed| matches!(parsed.action, None | Some(Action::Hold))) {
            return Err(conflict_error(word));
        }
        let is_same_service = |parsed: &&mut ParsedAction| {
            parsed.action.as_ref().and_then(sized_service) == Some(service)
        };
        let parsed = ParsedAction { action: Some(action), specificity };
        match self.actions.iter_mut().find(is_same_service) {
            Some(other) if other.specificity == specificity => return Err(conflict_error(word)),
            Some(other) if other.specificity < specificity => *other = parsed,
            Some(_) => {}
            None => self.actions.push(parsed),
        }
        Ok(())
    }

    fn parse_drain(&mut self) -> Result<Action, Error> {
        let what = self.cursor.word("`vm NAME` or `rack NAME`")?;
        match what.text {
            "vm" => Ok(Action::Drain(Target::Vm(self.cursor.parse_vm()?))),
            "rack" => Ok(Action::Drain(Target::Rack(self.cursor.parse_rack()?))),
            _ => Err(what.unknown_word(["vm", "rack"])),
        }
    }

    fn parse_wave(&mut self) -> Result<Action, Error> {
        let what = self.cursor.word("`pace` and a number, or `pause`")?;
        match what.text {
            "pause" => Ok(Action::WavePause),
            "pace" => {
                let word = self.cursor.word("a number of VMs")?;
                let vms = parse_count(&word, 1, MAX_PACE)?;
                Ok(Action::WavePace(u16::try_from(vms).unwrap_or(u16::MAX)))
            }
            _ => Err(what.unknown_word(["pace", "pause"])),
        }
    }

    fn parse_shed(&mut self) -> Result<Action, Error> {
        let class = self.cursor.word("`later` or `normal`")?;
        match class.text {
            "later" => Ok(Action::Shed(Class::Later)),
            "normal" => Ok(Action::Shed(Class::Normal)),
            _ => Err(class.unknown_word(["later", "normal"])),
        }
    }

    fn parse_order(&mut self) -> Result<Action, Error> {
        let mut services = Vec::new();
        loop {
            let word = self.cursor.word("the name of a service")?;
            let service = self.cursor.resolve_service(&word)?;
            if services.contains(&service) {
                return Err(conflict_error(&word));
            }
            services.push(service);
            if !self.cursor.eat(",") {
                return Ok(Action::Order(services));
            }
        }
    }
}

fn parse_amount(word: &Word<'_>) -> Result<Amount, Error> {
    match Number::parse(word)? {
        Number::PerMille(n) => {
            let share = check_bounds(n, 0, MAX_SHARE, word)?;
            Ok(Amount::PerMille(u16::try_from(share).unwrap_or(u16::MAX)))
        }
        _ => {
            let copies = parse_count(word, 0, MAX_COPIES)?;
            Ok(Amount::Count(u32::try_from(copies).unwrap_or(u32::MAX)))
        }
    }
}

fn parse_headroom(word: &Word<'_>) -> Result<u16, Error> {
    match Number::parse(word)? {
        Number::PerMille(n) => {
            let share = check_bounds(n, 0, MAX_HEADROOM, word)?;
            Ok(u16::try_from(share).unwrap_or(u16::MAX))
        }
        _ => Err(wrong_unit("headroom", word, "a percentage such as `30%`")),
    }
}

fn parse_count(word: &Word<'_>, min: i64, max: i64) -> Result<i64, Error> {
    match Number::parse(word)? {
        Number::Plain(n) => check_bounds(n, min, max, word),
        _ => Err(wrong_unit("a count", word, "a whole number")),
    }
}

fn wrong_unit(quantity: &str, word: &Word<'_>, expected: &'static str) -> Error {
    let kind =
        Kind::WrongUnit { quantity: quantity.to_owned(), found: word.text.to_owned(), expected };
    Error::new(kind, word.span.clone(), format!("write {expected}"))
}

fn conflict_error(word: &Word<'_>) -> Error {
    let kind = Kind::Conflict(word.text.to_owned());
    Error::new(kind, word.span.clone(), "keep one of the two")
}

/// Returns the service whose copies an action sets, if any.
pub(crate) fn sized_service(action: &Action) -> Option<ServiceId> {
    match action {
        Action::Copies { service, .. } | Action::Headroom { service, .. } => Some(*service),
        _ => None,
    }
}

/// Whether two actions can't be in the same rule. `None` stands for `normal`,
/// which can't be combined with any other action.
fn is_conflict(one: Option<&Action>, other: Option<&Action>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return true;
    };
    let is_wave = |action: &Action| matches!(action, Action::WavePace(_) | Action::WavePause);
    match (one, other) {
        (Action::Hold, other) | (other, Action::Hold) => {
            sized_service(other).is_some() || *other == Action::Hold
        }
        (Action::Drain(one), Action::Drain(other)) => one == other,
        (Action::Shed(_), Action::Shed(_)) => true,
        (Action::Order(_), Action::Order(_)) => true,
        (Action::RefuseMoves, Action::RefuseMoves) => true,
        _ => is_wave(one) && is_wave(other),
    }
}
