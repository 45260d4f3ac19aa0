//! The finished tasks and occurrences of a job.

use std::collections::BTreeMap;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Up to how many finished occurrences are named one by one, as earlier versions read and write them.
///
/// A record that named each of them would outgrow the values that the store takes. Earlier versions
/// can't read the short form, and hold the job until it has an owner that can: taken for a record
/// without these occurrences, it would have them run again.
const MAX_NAMED: u32 = 1_000;
/// The key of the short form, where earlier versions expect a task set.
const FINISHED: &str = "finished";
/// Bits per word of a set of occurrences.
const WORD_BITS: u32 = u64::BITS;

/// The finished tasks and occurrences of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// The finished tasks of unfinished occurrences, as a bit set for each occurrence and step.
    pub tasks: BTreeMap<String, Vec<u64>>,
    /// The finished occurrences.
    pub finished: Finished,
}

/// A set of finished occurrences: all before one, and some behind it.
///
/// ```
/// use corianderfork_jobs::record::Finished;
///
/// let mut finished = Finished::default();
/// finished.set_before(40_000);
/// finished.insert(40_002);
/// assert!(finished.contains(39_999) && finished.contains(40_002));
/// assert!(!finished.contains(40_000) && !finished.contains(40_001));
/// assert_eq!(finished.last(), Some(40_002));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// All occurrences before this one are finished.
    before: u32,
    /// Which occurrences from `before` on are finished, as words of a bit set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<u64>,
}

impl Finished {
    /// Returns the occurrence before which all are finished.
    pub fn before(&self) -> u32 {
        self.before
    }

    /// Sets the occurrence before which all are finished, of an empty set.
    pub fn set_before(&mut self, occurrence: u32) {
        self.before = occurrence;
    }

    /// Adds an occurrence that isn't before [`Finished::before`].
    pub fn insert(&mut self, occurrence: u32) {
        let Some(bit) = occurrence.checked_sub(self.before) else { return };
        let word = (bit / WORD_BITS) as usize;
        if self.after.len() <= word {
            self.after.resize(word + 1, 0);
        }
        self.after[word] |= 1 << (bit % WORD_BITS);
    }

    /// Returns whether an occurrence is finished.
    pub fn contains(&self, occurrence: u32) -> bool {
        let Some(bit) = occurrence.checked_sub(self.before) else { return true };
        let word = self.after.get((bit / WORD_BITS) as usize);
        word.is_some_and(|word| word & (1 << (bit % WORD_BITS)) != 0)
    }

    /// Returns the last finished occurrence.
    pub fn last(&self) -> Option<u32> {
        let word = self.after.iter().rposition(|word| *word != 0);
        let of_word = |index: usize| {
            let bit = WORD_BITS - 1 - self.after[index].leading_zeros();
            self.before + u32::try_from(index).unwrap_or(u32::MAX) * WORD_BITS + bit
        };
        word.map(of_word).or_else(|| self.before.checked_sub(1))
    }

    /// Returns the number of finished occurrences.
    fn count(&self) -> u32 {
        self.before + self.after.iter().map(|word| word.count_ones()).sum::<u32>()
    }

    fn from_named(mut named: Vec<u32>) -> Self {
        named.sort_unstable();
        let is_next =
            |(index, occurrence): &(usize, &u32)| u32::try_from(*index) == Ok(**occurrence);
        let before = named.iter().enumerate().take_while(is_next).count();
        let mut finished = Self::default();
        finished.set_before(u32::try_from(before).unwrap_or(u32::MAX));
        named[before..].iter().for_each(|occurrence| finished.insert(*occurrence));
        finished
    }
}

impl Done {
    /// Returns whether nothing is finished.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.finished.count() == 0
    }
}

/// What is stored under a key of [`Done`].
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Stored {
    /// The finished tasks of an occurrence and step; of a finished occurrence, nothing.
    Tasks(Vec<u64>),
    Finished(Finished),
}

impl Serialize for Done {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let tasks = self.tasks.iter().map(|(key, set)| (key.clone(), Stored::Tasks(set.clone())));
        let finished: Vec<(String, Stored)> = if self.finished.count() > MAX_NAMED {
            vec![(FINISHED.to_owned(), Stored::Finished(self.finished.clone()))]
        } else {
            let all = 0..self.finished.last().map_or(0, |last| last + 1);
            let named = all.filter(|occurrence| self.finished.contains(*occurrence));
            named.map(|occurrence| (occurrence.to_string(), Stored::Tasks(Vec::new()))).collect()
        };
        serializer.collect_map(tasks.chain(finished).collect::<BTreeMap<String, Stored>>())
    }
}

impl<'de> Deserialize<'de> for Done {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut done = Self::default();
        let mut named = Vec::new();
        let mut short = None;
        for (key, stored) in BTreeMap::<String, Stored>::deserialize(deserializer)? {
            match stored {
                Stored::Finished(finished) if key == FINISHED => short = Some(finished),
                Stored::Finished(_) => return Err(D::Error::custom("a set of tasks is expected")),
                // A finished occurrence has a number alone, without a step.
                Stored::Tasks(set) => match key.parse() {
                    Ok(occurrence) => named.push(occurrence),
                    Err(_) => drop(done.tasks.insert(key, set)),
                },
            }
        }
        done.finished = short.unwrap_or_else(|| Finished::from_named(named));
        Ok(done)
    }
}
