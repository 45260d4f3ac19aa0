//! What was asked and read to tell where a job stands, for the log.

use corianderfork_model::Time;
use serde::Serialize;

use crate::clock;
use crate::http::Failed;
use crate::owner::ms;
use crate::peer::Reply;

/// How one pool was searched for a job.
#[derive(Debug, Serialize)]
pub(super) struct Sought {
    pool: String,
    /// What the pool's owner said.
    owner: &'static str,
    /// How long it took over that, in milliseconds.
    owner_ms: u64,
    /// What the store was asked after that, in order.
    reads: Vec<Read>,
}

/// A read of one key.
#[derive(Debug, Serialize)]
struct Read {
    key: String,
    /// What is there; none if the store didn't answer.
    there: Option<bool>,
    /// The store's revision as it was read, if it was told.
    revision: Option<u64>,
    took_ms: u64,
}

impl Sought {
    /// The owner of `pool`, asked at `begun`, answered so.
    pub fn new(pool: &str, begun: Time, answer: &Result<Reply, Failed>) -> Self {
        let owner_ms = ms(clock::now() - begun);
        Self { pool: pool.to_owned(), owner: said(answer), owner_ms, reads: Vec::new() }
    }

    /// The owner of `pool` isn't asked.
    pub fn unasked(pool: &str) -> Self {
        Self { pool: pool.to_owned(), owner: "not asked", owner_ms: 0, reads: Vec::new() }
    }

    /// A key was read, from `begun` on; `there` is none if there was no answer.
    pub fn note(&mut self, key: String, begun: Time, there: Option<bool>, revision: Option<u64>) {
        self.reads.push(Read { key, there, revision, took_ms: ms(clock::now() - begun) });
    }
}

fn said(answer: &Result<Reply, Failed>) -> &'static str {
    match answer {
        Ok(Reply::State { .. }) => "a state",
        Ok(Reply::Ending) => "over, perhaps not written",
        Ok(Reply::Unknown) => "no such job",
        Ok(Reply::NotOwner) => "not the owner",
        Ok(Reply::Known) => "known, not sure where it stands",
        Ok(_) => "something else",
        Err(Failed::Unsent) => "not reached",
        Err(Failed::Lost) => "no answer",
    }
}
