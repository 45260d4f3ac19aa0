//! Executes the store calls for the journal of a shard.

use corianderfork_coord::claim::{Action, Answer, Segment, segment};
use corianderfork_provider::store::{Error, Expect, Store};
use corianderfork_provider::{key, store};

/// Returns the answer that reports `action` as failed without a call; `None` if it needs
/// no call.
pub(super) fn failed_answer(action: &Action) -> Option<Answer> {
    match action {
        Action::Put { segment, .. } => Some(Answer::PutUnavailable { segment: *segment }),
        Action::Read { segment } => Some(Answer::ReadFailed { segment: *segment }),
        Action::List => Some(Answer::ListFailed),
        Action::Delete { segment } => Some(Answer::DeleteFailed { segment: *segment }),
        Action::Reply { .. } | Action::Deposed => None,
    }
}

/// Executes `action`; returns `None` if it needs no call to the store.
pub(super) fn execute(store: &dyn Store, shard: u32, action: Action) -> Option<Answer> {
    match action {
        Action::Put { segment, expect, value } => Some(put(store, shard, segment, expect, &value)),
        Action::Read { segment } => Some(match store.get(&key::claim_segment(shard, segment)) {
            Ok(stored) => Answer::Read { segment, entry: stored.entry.map(|e| entry(segment, &e)) },
            Err(_) => Answer::ReadFailed { segment },
        }),
        Action::List => Some(match store.range(&key::claim_log(shard)) {
            Ok(range) => Answer::Listed(parse_entries(shard, &range.entries)),
            Err(_) => Answer::ListFailed,
        }),
        Action::Delete { segment } => {
            let key = key::claim_segment(shard, segment);
            Some(match store.delete(&key, Expect::Anything) {
                Ok(_) | Err(Error::Conflict { .. }) => Answer::Deleted { segment },
                Err(_) => Answer::DeleteFailed { segment },
            })
        }
        Action::Reply { .. } | Action::Deposed => None,
    }
}

fn put(store: &dyn Store, shard: u32, segment: u64, expect: u64, value: &Segment) -> Answer {
    let Ok(text) = serde_json::to_string(value) else {
        return Answer::PutUnavailable { segment };
    };
    let expect = match expect {
        0 => Expect::Absent,
        revision => Expect::Revision(store::Revision(revision)),
    };
    match store.put(&key::claim_segment(shard, segment), &text, expect, None) {
        Ok(revision) => Answer::PutDone { segment, revision: revision.0 },
        Err(Error::Conflict { .. }) => Answer::PutConflict { segment },
        Err(error) if error.may_have_applied() => Answer::PutUnknown { segment },
        Err(_) => Answer::PutUnavailable { segment },
    }
}

fn parse_entries(shard: u32, entries: &[store::Entry]) -> Vec<segment::Entry> {
    let prefix = key::claim_log(shard);
    let parse_number = |e: &store::Entry| e.key.strip_prefix(&prefix)?.parse().ok();
    entries.iter().filter_map(|e| Some(entry(parse_number(e)?, e))).collect()
}

fn entry(number: u64, stored: &store::Entry) -> segment::Entry {
    let segment = serde_json::from_str(&stored.value).ok();
    segment::Entry { number, revision: stored.revision.0, segment }
}
