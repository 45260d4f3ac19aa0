//! Text to a condition, by recursive descent.

use corianderfork_model::Fleet;

use crate::condition::Node;
use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind, MAX_DEPTH};
use crate::lexer::Token;
use crate::number::{Number, within};
use crate::region::Ranges;
use crate::situation::Weekday;
use crate::term::{Subject, THOUSAND, Term, Test};

/// The greatest percentage that makes sense, in per mille.
const MAX_PER_MILLE: i64 = 100_000;
/// The greatest count that makes sense.
const MAX_COUNT: i64 = 1_000_000;
/// A week: no usage report that old is of use.
const MAX_SECONDS: i64 = 7 * 86_400;
/// Hours of a day; `hour < 24` is sound, if idle.
const MAX_HOUR: i64 = 24;

/// Every word that a term begins with.
const TERMS: [&str; 16] = [
    "always",
    "load",
    "trend",
    "spare",
    "licences",
    "copies",
    "down",
    "known",
    "hour",
    "weekday",
    "store_down",
    "wave",
    "wave_failures",
    "usage_age",
    "usage_stale",
    "not",
];

/// Reads a condition.
pub(crate) fn condition(text: &str, fleet: &Fleet) -> Result<Node, Error> {
    let mut cursor = Cursor::new(text, fleet)?;
    let node = any(&mut cursor, 0)?;
    if cursor.is_done() {
        return Ok(node);
    }
    Err(cursor.unexpected("`and`, `or` or the end"))
}

fn any(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    let mut nodes = vec![all(cursor, depth)?];
    while cursor.takes("or") {
        nodes.push(all(cursor, depth)?);
    }
    Ok(joined(nodes, Node::Any))
}

fn all(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    let mut nodes = vec![unary(cursor, depth)?];
    while cursor.takes("and") {
        nodes.push(unary(cursor, depth)?);
    }
    Ok(joined(nodes, Node::All))
}

fn joined(mut nodes: Vec<Node>, join: impl Fn(Vec<Node>) -> Node) -> Node {
    if nodes.len() == 1 { nodes.remove(0) } else { join(nodes) }
}

/// The depth is bounded because each level takes a frame of the stack: text
/// that an operator pastes must not be able to end the process.
fn unary(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    if depth > MAX_DEPTH {
        let help = "use fewer, or split the rule in two";
        return Err(Error::new(Kind::TooDeep, cursor.at(), help));
    }
    if cursor.takes("not") {
        return Ok(Node::Not(Box::new(unary(cursor, depth + 1)?)));
    }
    if cursor.takes("(") {
        let node = any(cursor, depth + 1)?;
        cursor.expect(")", "`and`, `or` or `)`")?;
        return Ok(node);
    }
    if cursor.takes("always") {
        return Ok(Node::All(Vec::new()));
    }
    Ok(Node::Term(term(cursor)?))
}

fn term(cursor: &mut Cursor<'_>) -> Result<Term, Error> {
    if cursor.takes("known") {
        cursor.expect("(", "`(`")?;
        let (subject, label) = subject(cursor)?;
        cursor.expect(")", "`)`")?;
        return Ok(Term { subject, label, test: Test::Known });
    }
    let (subject, label) = subject(cursor)?;
    let ranges = match subject {
        Subject::DataCentreDown(_) | Subject::RackDown(_) => Ranges::new(1, 1),
        Subject::Wave | Subject::StoreDown | Subject::UsageStale => Ranges::new(1, 1),
        Subject::Weekday => days(cursor)?,
        _ => comparison(cursor, &subject, &label)?,
    };
    Ok(Term { subject, label, test: Test::In(ranges) })
}

/// A quantity or flag, and how it is written.
fn subject(cursor: &mut Cursor<'_>) -> Result<(Subject, String), Error> {
    let word = cursor.word("a condition such as `load(SERVICE) > 80%`")?;
    let plain = match word.text {
        "hour" => Some(Subject::Hour),
        "weekday" => Some(Subject::Weekday),
        "store_down" => Some(Subject::StoreDown),
        "wave" => Some(Subject::Wave),
        "wave_failures" => Some(Subject::WaveFailures),
        "usage_age" => Some(Subject::UsageAge),
        "usage_stale" => Some(Subject::UsageStale),
        _ => None,
    };
    if let Some(subject) = plain {
        return Ok((subject, word.text.to_owned()));
    }
    let wrap = match word.text {
        "load" => Subject::Load,
        "trend" => Subject::Trend,
        "spare" => Subject::Spare,
        "licences" => Subject::Licences,
        "copies" => Subject::Copies,
        "down" => return down(cursor),
        _ => return Err(word.unknown(TERMS)),
    };
    cursor.expect("(", "`(` and the name of a service")?;
    let scope = cursor.scope()?;
    cursor.expect(")", "`)`")?;
    Ok((wrap(scope.services), format!("{}({})", word.text, scope.label)))
}

fn down(cursor: &mut Cursor<'_>) -> Result<(Subject, String), Error> {
    const DUE: &str = "`data_centre NAME`, `rack NAME`, `any data_centre` or `any rack`";
    cursor.expect("(", "`(`")?;
    let any = cursor.takes("any");
    let what = cursor.word(DUE)?;
    let name = cursor.peek();
    let subject = match (what.text, any) {
        ("data_centre", true) => Subject::DataCentreDown(cursor.fleet.data_centre_ids().collect()),
        ("data_centre", false) => Subject::DataCentreDown(vec![cursor.data_centre()?]),
        ("rack", true) => Subject::RackDown(cursor.fleet.rack_ids().collect()),
        ("rack", false) => Subject::RackDown(vec![cursor.rack()?]),
        _ => return Err(what.unknown(["data_centre", "rack", "any"])),
    };
    cursor.expect(")", "`)`")?;
    let label = if any {
        format!("down(any {})", what.text)
    } else {
        format!("down({} {name})", what.text)
    };
    Ok((subject, label))
}

fn comparison(cursor: &mut Cursor<'_>, subject: &Subject, label: &str) -> Result<Ranges, Error> {
    let operator = cursor.take(Token::Compare, "`<`, `<=`, `>`, `>=`, `==` or `!=`")?;
    let word = cursor.word("a number")?;
    let n = operand(cursor, subject, label, &word)?;
    Ok(compared(operator.text, n))
}

/// The numbers that compare so with `n`.
fn compared(operator: &str, n: i64) -> Ranges {
    match operator {
        "<" => Ranges::new(i64::MIN, n - 1),
        "<=" => Ranges::new(i64::MIN, n),
        ">" => Ranges::new(n + 1, i64::MAX),
        ">=" => Ranges::new(n, i64::MAX),
        "!=" => Ranges::all().minus(&Ranges::new(n, n)),
        _ => Ranges::new(n, n),
    }
}

/// The number of `word` in the unit in which `subject` is held.
fn operand(
    cursor: &Cursor<'_>,
    subject: &Subject,
    label: &str,
    word: &Word<'_>,
) -> Result<i64, Error> {
    let number = Number::read(word)?;
    match (subject, number) {
        (Subject::Load(_), Number::PerMille(n)) => within(n, 0, MAX_PER_MILLE, word),
        (Subject::Trend(_), Number::PerMille(n)) => within(n, -MAX_PER_MILLE, MAX_PER_MILLE, word),
        (Subject::Spare(_), Number::Plain(n)) => within(n, -MAX_COUNT, MAX_COUNT, word),
        (Subject::Copies(_) | Subject::WaveFailures, Number::Plain(n)) => {
            within(n, 0, MAX_COUNT, word)
        }
        (Subject::Hour, Number::Plain(n)) => within(n, 0, MAX_HOUR, word),
        (Subject::UsageAge, Number::Seconds(n)) => within(n, 0, MAX_SECONDS, word),
        (Subject::Licences(_), Number::Plain(n)) => {
            within(n, 0, MAX_COUNT, word).map(|n| n * THOUSAND)
        }
        (Subject::Licences(of), Number::PerMille(n)) => {
            let share = within(n, 0, THOUSAND, word)?;
            let held = of.iter().map(|id| i64::from(cursor.fleet.service(*id).licences));
            Ok(held.sum::<i64>() * share)
        }
        _ => Err(wrong_unit(subject, label, word)),
    }
}

fn wrong_unit(subject: &Subject, label: &str, word: &Word<'_>) -> Error {
    let expected = match subject {
        Subject::Load(_) => "a percentage such as `80%`",
        Subject::Trend(_) => "a percentage a minute such as `5%`",
        Subject::Licences(_) => "a number or a percentage",
        Subject::UsageAge => "a time such as `90s`",
        _ => "a whole number",
    };
    let kind =
        Kind::WrongUnit { quantity: label.to_owned(), found: word.text.to_owned(), expected };
    Error::new(kind, word.at.clone(), format!("write {expected}"))
}

/// `in mon..fri, sun`, or `== mon`, or `!= mon`.
fn days(cursor: &mut Cursor<'_>) -> Result<Ranges, Error> {
    if cursor.takes("==") {
        return Ok(Ranges::of([day(cursor)?]));
    }
    if cursor.takes("!=") {
        let day = day(cursor)?;
        return Ok(Subject::Weekday.domain().minus(&Ranges::of([day])));
    }
    cursor.expect("in", "`in`, `==` or `!=` and days such as `mon..fri`")?;
    let mut days = Vec::new();
    loop {
        let first = day(cursor)?;
        let last = if cursor.takes("..") { day(cursor)? } else { first };
        let count = (last - first).rem_euclid(7);
        days.extend((0..=count).map(|n| (first + n) % 7));
        if !cursor.takes(",") {
            return Ok(Ranges::of(days));
        }
    }
}

fn day(cursor: &mut Cursor<'_>) -> Result<i64, Error> {
    let word = cursor.word("a day, `mon` to `sun`")?;
    match Weekday::parse(word.text) {
        Some(day) => Ok(day.number()),
        None => Err(word.unknown(Weekday::ALL.map(Weekday::as_str))),
    }
}
