//! Log of the lookups behind the reported state of a job.

use corianderfork_model::Time;
use serde::Serialize;

use crate::clock;
use crate::http::CallError;
use crate::owner::ms;
use crate::peer::Reply;

/// How one pool was searched for a job.
#[derive(Debug, Serialize)]
pub(super) struct PoolLookup {
    pool: String,
    /// What the pool's owner replied.
    owner: &'static str,
    /// How long the reply took, in milliseconds.
    owner_ms: u64,
    /// The reads of the store after that, in order.
    reads: Vec<Read>,
}

/// A read of one key.
#[derive(Debug, Serialize)]
struct Read {
    key: String,
    /// Whether the key exists; `None` if the store didn't respond.
    there: Option<bool>,
    /// The store's revision at the read, if known.
    revision: Option<u64>,
    took_ms: u64,
}

impl PoolLookup {
    /// Records the owner's reply to a request sent at `started`.
    pub fn new(pool: &str, started: Time, reply: &Result<Reply, CallError>) -> Self {
        let owner_ms = ms(clock::now() - started);
        Self { pool: pool.to_owned(), owner: describe(reply), owner_ms, reads: Vec::new() }
    }

    /// Records that the owner of `pool` isn't asked.
    pub fn store_only(pool: &str) -> Self {
        Self { pool: pool.to_owned(), owner: "not asked", owner_ms: 0, reads: Vec::new() }
    }

    /// Records a read that started at `started`; `there` is `None` if it failed.
    pub fn note(&mut self, key: String, started: Time, there: Option<bool>, revision: Option<u64>) {
        self.reads.push(Read { key, there, revision, took_ms: ms(clock::now() - started) });
    }
}

fn describe(reply: &Result<Reply, CallError>) -> &'static str {
    match reply {
        Ok(Reply::State { .. }) => "a state",
        Ok(Reply::Ending) => "ended, perhaps not written",
        Ok(Reply::Unknown { .. }) => "no such job",
        Ok(Reply::Foreign) => "another organisation's job",
        Ok(Reply::NotOwner) => "not the owner",
        Ok(Reply::Known) => "known, state uncertain",
        Ok(_) => "unexpected reply",
        Err(CallError::Unsent) => "unreachable",
        Err(CallError::Lost) => "no answer",
    }
}
