//! Parses conditions by recursive descent.

use corianderfork_model::Fleet;

use crate::condition::Node;
use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind, MAX_DEPTH};
use crate::lexer::TokenKind;
use crate::number::{Number, check_bounds};
use crate::region::Ranges;
use crate::situation::Weekday;
use crate::term::{Subject, THOUSAND, Term, Test};

/// The maximum percentage, in per mille.
const MAX_PER_MILLE: i64 = 100_000;
const MAX_COUNT: i64 = 1_000_000;
/// One week; older usage reports are useless.
const MAX_SECONDS: i64 = 7 * 86_400;
/// The hours of a day. `hour < 24` is valid, although always true.
const MAX_HOUR: i64 = 24;

/// All words that a term can start with.
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

pub(crate) fn parse(text: &str, fleet: &Fleet) -> Result<Node, Error> {
    let mut cursor = Cursor::new(text, fleet)?;
    let node = parse_or(&mut cursor, 0)?;
    if cursor.is_at_end() {
        return Ok(node);
    }
    Err(cursor.unexpected("`and`, `or` or the end"))
}

fn parse_or(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    let mut nodes = vec![parse_and(cursor, depth)?];
    while cursor.eat("or") {
        nodes.push(parse_and(cursor, depth)?);
    }
    Ok(join(nodes, Node::Or))
}

fn parse_and(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    let mut nodes = vec![parse_unary(cursor, depth)?];
    while cursor.eat("and") {
        nodes.push(parse_unary(cursor, depth)?);
    }
    Ok(join(nodes, Node::And))
}

fn join(mut nodes: Vec<Node>, wrap: impl Fn(Vec<Node>) -> Node) -> Node {
    if nodes.len() == 1 { nodes.remove(0) } else { wrap(nodes) }
}

/// Parses a term, a negation or a condition in parentheses. The depth is limited,
/// as each level takes a stack frame and no text may overflow the stack.
fn parse_unary(cursor: &mut Cursor<'_>, depth: usize) -> Result<Node, Error> {
    if depth > MAX_DEPTH {
        let help = "use fewer, or split the rule in two";
        return Err(Error::new(Kind::TooDeep, cursor.span(), help));
    }
    if cursor.eat("not") {
        return Ok(Node::Not(Box::new(parse_unary(cursor, depth + 1)?)));
    }
    if cursor.eat("(") {
        let node = parse_or(cursor, depth + 1)?;
        cursor.expect(")", "`and`, `or` or `)`")?;
        return Ok(node);
    }
    if cursor.eat("always") {
        return Ok(Node::And(Vec::new()));
    }
    Ok(Node::Term(parse_term(cursor)?))
}

fn parse_term(cursor: &mut Cursor<'_>) -> Result<Term, Error> {
    if cursor.eat("known") {
        cursor.expect("(", "`(`")?;
        let (subject, label) = parse_subject(cursor)?;
        cursor.expect(")", "`)`")?;
        return Ok(Term { subject, label, test: Test::Known });
    }
    let (subject, label) = parse_subject(cursor)?;
    let ranges = match subject {
        Subject::DataCentreDown(_) | Subject::RackDown(_) => Ranges::new(1, 1),
        Subject::Wave | Subject::StoreDown | Subject::UsageStale => Ranges::new(1, 1),
        Subject::Weekday => parse_days(cursor)?,
        _ => parse_comparison(cursor, &subject, &label)?,
    };
    Ok(Term { subject, label, test: Test::In(ranges) })
}

/// Parses a quantity or flag. Returns it with its text.
fn parse_subject(cursor: &mut Cursor<'_>) -> Result<(Subject, String), Error> {
    let word = cursor.word("a condition such as `load(SERVICE) > 80%`")?;
    let simple = match word.text {
        "hour" => Some(Subject::Hour),
        "weekday" => Some(Subject::Weekday),
        "store_down" => Some(Subject::StoreDown),
        "wave" => Some(Subject::Wave),
        "wave_failures" => Some(Subject::WaveFailures),
        "usage_age" => Some(Subject::UsageAge),
        "usage_stale" => Some(Subject::UsageStale),
        _ => None,
    };
    if let Some(subject) = simple {
        return Ok((subject, word.text.to_owned()));
    }
    let wrap = match word.text {
        "load" => Subject::Load,
        "trend" => Subject::Trend,
        "spare" => Subject::Spare,
        "licences" => Subject::Licences,
        "copies" => Subject::Copies,
        "down" => return parse_down(cursor),
        _ => return Err(word.unknown_word(TERMS)),
    };
    cursor.expect("(", "`(` and the name of a service")?;
    let scope = cursor.parse_scope()?;
    cursor.expect(")", "`)`")?;
    Ok((wrap(scope.services), format!("{}({})", word.text, scope.label)))
}

fn parse_down(cursor: &mut Cursor<'_>) -> Result<(Subject, String), Error> {
    const EXPECTED: &str = "`data_centre NAME`, `rack NAME`, `any data_centre` or `any rack`";
    cursor.expect("(", "`(`")?;
    let any = cursor.eat("any");
    let what = cursor.word(EXPECTED)?;
    let name = cursor.peek();
    let subject = match (what.text, any) {
        ("data_centre", true) => Subject::DataCentreDown(cursor.fleet.data_centre_ids().collect()),
        ("data_centre", false) => Subject::DataCentreDown(vec![cursor.parse_data_centre()?]),
        ("rack", true) => Subject::RackDown(cursor.fleet.rack_ids().collect()),
        ("rack", false) => Subject::RackDown(vec![cursor.parse_rack()?]),
        _ => return Err(what.unknown_word(["data_centre", "rack", "any"])),
    };
    cursor.expect(")", "`)`")?;
    let label = if any {
        format!("down(any {})", what.text)
    } else {
        format!("down({} {name})", what.text)
    };
    Ok((subject, label))
}

fn parse_comparison(
    cursor: &mut Cursor<'_>,
    subject: &Subject,
    label: &str,
) -> Result<Ranges, Error> {
    let operator = cursor.expect_kind(TokenKind::Compare, "`<`, `<=`, `>`, `>=`, `==` or `!=`")?;
    let word = cursor.word("a number")?;
    let n = parse_operand(cursor, subject, label, &word)?;
    Ok(comparison_ranges(operator.text, n))
}

/// Returns the numbers for which the comparison with `n` is true.
fn comparison_ranges(operator: &str, n: i64) -> Ranges {
    match operator {
        "<" => Ranges::new(i64::MIN, n - 1),
        "<=" => Ranges::new(i64::MIN, n),
        ">" => Ranges::new(n + 1, i64::MAX),
        ">=" => Ranges::new(n, i64::MAX),
        "!=" => Ranges::all().subtract(&Ranges::new(n, n)),
        _ => Ranges::new(n, n),
    }
}

/// Parses `word` as a number in the unit in which values of `subject` are stored.
fn parse_operand(
    cursor: &Cursor<'_>,
    subject: &Subject,
    label: &str,
    word: &Word<'_>,
) -> Result<i64, Error> {
    let number = Number::parse(word)?;
    match (subject, number) {
        (Subject::Load(_), Number::PerMille(n)) => check_bounds(n, 0, MAX_PER_MILLE, word),
        (Subject::Trend(_), Number::PerMille(n)) => {
            check_bounds(n, -MAX_PER_MILLE, MAX_PER_MILLE, word)
        }
        (Subject::Spare(_), Number::Plain(n)) => check_bounds(n, -MAX_COUNT, MAX_COUNT, word),
        (Subject::Copies(_) | Subject::WaveFailures, Number::Plain(n)) => {
            check_bounds(n, 0, MAX_COUNT, word)
        }
        (Subject::Hour, Number::Plain(n)) => check_bounds(n, 0, MAX_HOUR, word),
        (Subject::UsageAge, Number::Seconds(n)) => check_bounds(n, 0, MAX_SECONDS, word),
        (Subject::Licences(_), Number::Plain(n)) => {
            check_bounds(n, 0, MAX_COUNT, word).map(|n| n * THOUSAND)
        }
        (Subject::Licences(ids), Number::PerMille(n)) => {
            let share = check_bounds(n, 0, THOUSAND, word)?;
            let licences = ids.iter().map(|id| i64::from(cursor.fleet.service(*id).licences));
            Ok(licences.sum::<i64>() * share)
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
    Error::new(kind, word.span.clone(), format!("write {expected}"))
}

/// Parses `in mon..fri, sun`, `== mon` or `!= mon`.
fn parse_days(cursor: &mut Cursor<'_>) -> Result<Ranges, Error> {
    if cursor.eat("==") {
        return Ok(Ranges::from_values([parse_day(cursor)?]));
    }
    if cursor.eat("!=") {
        let day = parse_day(cursor)?;
        return Ok(Subject::Weekday.domain().subtract(&Ranges::from_values([day])));
    }
    cursor.expect("in", "`in`, `==` or `!=` and days such as `mon..fri`")?;
    let mut days = Vec::new();
    loop {
        let first = parse_day(cursor)?;
        let last = if cursor.eat("..") { parse_day(cursor)? } else { first };
        let count = (last - first).rem_euclid(7);
        days.extend((0..=count).map(|n| (first + n) % 7));
        if !cursor.eat(",") {
            return Ok(Ranges::from_values(days));
        }
    }
}

fn parse_day(cursor: &mut Cursor<'_>) -> Result<i64, Error> {
    let word = cursor.word("a day, `mon` to `sun`")?;
    match Weekday::parse(word.text) {
        Some(day) => Ok(day.number()),
        None => Err(word.unknown_word(Weekday::ALL.map(Weekday::as_str))),
    }
}
