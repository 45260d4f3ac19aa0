//! Reads and validates the values of a section's keys.

use corianderfork_model::place::Size;
use corianderfork_model::{Name, Share};
use corianderfork_rules::nearest;

use crate::diagnostic::Kind;
use crate::sink::{Sink, Span};
use crate::text::{Piece, Section};

/// Thousandths in one core or one GB.
const THOUSANDTHS: u64 = 1_000;
/// MiB in one GB of the configuration.
const MIB_PER_GB: u64 = 1_024;
/// The maximum number of cores of one VM or one copy.
const MAX_CORES: u64 = 1_024;
/// The maximum memory of one VM or one copy, in GB.
const MAX_MEMORY_GB: u64 = 65_536;
/// The maximum number of accelerators of one VM or one copy.
const MAX_ACCELERATORS: u32 = 64;

/// The keys that make up a [`Size`], and their upper bounds.
pub(crate) struct SizeKeys {
    cores: &'static str,
    memory: &'static str,
    accelerators: &'static str,
    /// The upper bound, as a multiple of that of one VM.
    scale: u32,
}

/// The size of one VM or one copy.
pub(crate) const SIZE: SizeKeys =
    SizeKeys { cores: "cores", memory: "memory_gb", accelerators: "accelerators", scale: 1 };
/// The quota of a team.
pub(crate) const QUOTA: SizeKeys = SizeKeys {
    cores: "quota_cores",
    memory: "quota_memory_gb",
    accelerators: "quota_accelerators",
    scale: 60,
};

/// Reads the keys of `section`. An invalid value is reported to `sink` and
/// replaced by a valid placeholder, so that the rest can be checked as well.
pub(crate) struct Keys<'k, 'a, 's> {
    pub section: &'k Section<'a>,
    pub sink: &'k mut Sink<'s>,
}

impl<'a> Keys<'_, 'a, '_> {
    /// Returns the value of `key`, if the key is present.
    pub(crate) fn optional(&self, key: &str) -> Option<Piece<'a>> {
        self.section.get(key).map(|entry| entry.value)
    }

    /// Returns the value of `key`, and reports an error if it is missing or empty.
    pub(crate) fn required(&mut self, key: &'static str) -> Option<Piece<'a>> {
        match self.section.get(key) {
            Some(entry) if !entry.value.text.is_empty() => Some(entry.value),
            Some(entry) => {
                self.report_missing(entry.key.span(), key);
                None
            }
            None => {
                self.report_missing(self.section.title.span(), key);
                None
            }
        }
    }

    fn report_missing(&mut self, span: Span, key: &'static str) {
        let section = self.section.title.text.to_owned();
        self.sink.error(span, Kind::MissingKey { section, key }, format!("write `{key} = …`"));
    }

    /// Returns the section's name, such as `k1` of `[rack.k1]`.
    pub(crate) fn section_name(&mut self) -> Option<Name> {
        let piece = self.section.name()?;
        self.parse_name(piece)
    }

    /// Returns the value of the required `key` as a name.
    pub(crate) fn name(&mut self, key: &'static str) -> Option<Name> {
        let piece = self.required(key)?;
        self.parse_name(piece)
    }

    fn parse_name(&mut self, piece: Piece<'_>) -> Option<Name> {
        Name::new(piece.text)
            .map_err(|error| self.sink.error(piece.span(), error, "write another name"))
            .ok()
    }

    /// Returns a whole number, or `default` if the key is absent or invalid.
    pub(crate) fn number<N>(&mut self, key: &'static str, min: N, max: N, default: N) -> N
    where
        N: Copy + Into<i64> + TryFrom<i64>,
    {
        let Some(piece) = self.optional(key) else { return default };
        self.parse_integer(key, piece, min.into(), max.into())
            .and_then(|n| N::try_from(n).ok())
            .unwrap_or(default)
    }

    /// Returns a required whole number, or `min` if it is missing or invalid.
    pub(crate) fn required_number<N>(&mut self, key: &'static str, min: N, max: N) -> N
    where
        N: Copy + Into<i64> + TryFrom<i64>,
    {
        match self.required(key) {
            Some(_) => self.number(key, min, max, min),
            None => min,
        }
    }

    fn parse_integer(
        &mut self,
        key: &'static str,
        piece: Piece<'_>,
        min: i64,
        max: i64,
    ) -> Option<i64> {
        let digits = piece.text.strip_prefix('-').unwrap_or(piece.text);
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            self.report_invalid(key, piece, "whole number");
            return None;
        }
        let number = piece.text.parse::<i64>().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            self.report_out_of_bounds(key, piece, min.to_string(), max.to_string());
        }
        number
    }

    fn report_invalid(&mut self, key: &'static str, piece: Piece<'_>, expected: &'static str) {
        let kind = Kind::InvalidNumber { key, found: piece.text.to_owned(), expected };
        self.sink.error(self.section.span_of(key), kind, format!("write a {expected}"));
    }

    fn report_out_of_bounds(
        &mut self,
        key: &'static str,
        piece: Piece<'_>,
        min: String,
        max: String,
    ) {
        let help = format!("write a number from {min} to {max}");
        let kind = Kind::OutOfBounds { key, found: piece.text.to_owned(), min, max };
        self.sink.error(piece.span(), kind, help);
    }

    /// Parses a positive number with up to three decimals, in thousandths.
    fn parse_decimal(&mut self, key: &'static str, piece: Piece<'_>, max: u64) -> Option<u64> {
        let Some(thousandths) = parse_thousandths(piece.text) else {
            self.report_invalid(key, piece, "number with at most three decimals");
            return None;
        };
        if (1..=max.saturating_mul(THOUSANDTHS)).contains(&thousandths) {
            return Some(thousandths);
        }
        self.report_out_of_bounds(key, piece, "0.001".to_owned(), max.to_string());
        None
    }

    /// Reads a size; cores and memory are required.
    pub(crate) fn size(&mut self, keys: &SizeKeys) -> Option<Size> {
        let scale = u64::from(keys.scale);
        let cores = self.required(keys.cores);
        let memory = self.required(keys.memory);
        let cores =
            cores.and_then(|piece| self.parse_decimal(keys.cores, piece, MAX_CORES * scale));
        let memory =
            memory.and_then(|piece| self.parse_decimal(keys.memory, piece, MAX_MEMORY_GB * scale));
        let max = MAX_ACCELERATORS * keys.scale;
        let accelerators = self.number::<u32>(keys.accelerators, 0, max, 0);
        Some(Size {
            milli_cores: u32::try_from(cores?).ok()?,
            memory_mib: u32::try_from((memory? * MIB_PER_GB).div_ceil(THOUSANDTHS)).ok()?,
            accelerators: u16::try_from(accelerators).ok()?,
        })
    }

    /// Reads a share such as `10%` or `2.5%`.
    pub(crate) fn share(&mut self, key: &'static str, default: Share) -> Share {
        const THOUSANDTHS_PER_MILLE: u64 = 100;
        let Some(piece) = self.optional(key) else { return default };
        let percent =
            piece.text.strip_suffix('%').and_then(|text| parse_thousandths(text.trim_end()));
        let Some(percent) = percent.filter(|n| n % THOUSANDTHS_PER_MILLE == 0) else {
            self.report_invalid(key, piece, "percentage such as `10%`, with one decimal at most");
            return default;
        };
        let share =
            u16::try_from(percent / THOUSANDTHS_PER_MILLE).ok().and_then(Share::from_per_mille);
        if share.is_none() {
            self.report_out_of_bounds(key, piece, "0%".to_owned(), "100%".to_owned());
        }
        share.unwrap_or(default)
    }

    /// Reads one of a few words, or returns `T::default()` if the key is absent or
    /// invalid.
    pub(crate) fn choice<T: Copy + Default>(
        &mut self,
        key: &'static str,
        choices: &[(&'static str, T)],
    ) -> T {
        let Some(piece) = self.optional(key) else { return T::default() };
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == piece.text) {
            return *choice;
        }
        let help = nearest::help(piece.text, choices.iter().map(|(word, _)| *word));
        let kind = Kind::InvalidChoice { key, found: piece.text.to_owned() };
        self.sink.error(self.section.span_of(key), kind, help);
        T::default()
    }

    /// Looks up the value of the required `key` by `find`. `known` lists the valid
    /// names for the help text.
    pub(crate) fn reference<'n, I>(
        &mut self,
        key: &'static str,
        what: &'static str,
        find: impl Fn(&str) -> Option<I>,
        known: impl IntoIterator<Item = &'n str>,
    ) -> Option<I> {
        let piece = self.required(key)?;
        let found = find(piece.text);
        if found.is_none() {
            let kind = Kind::UnknownReference { what, name: piece.text.to_owned() };
            self.sink.error(piece.span(), kind, nearest::help(piece.text, known));
        }
        found
    }
}

/// Parses a number with up to three decimals, in thousandths.
fn parse_thousandths(text: &str) -> Option<u64> {
    const DECIMALS: usize = 3;
    const MAX_DIGITS: usize = 12;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let fits = whole.len() <= MAX_DIGITS && fraction.len() <= DECIMALS;
    if !fits || !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    let fraction = format!("{fraction:0<DECIMALS$}");
    Some(whole.parse::<u64>().ok()? * THOUSANDTHS + fraction.parse::<u64>().ok()?)
}
