//! The pool's parts of organisations' limits: records in the store, and transfers between owners.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Item, MAX_ROWS, Outcome, Txn};
use corianderfork_jobs::allowance::Division;
use corianderfork_jobs::pool::Shortage;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Owner, ms};
use crate::allowance::{Record, Request};
use crate::clock;
use crate::duty;
use crate::peer::{self, Message, Reply};
use crate::store::Error;

/// The key prefix of the divisions of limits; the organisation's name follows.
const LIMIT_PREFIX: &str = "limit/";
/// Rows of a transaction for each organisation: one condition and one value.
const ROWS_PER_ORGANISATION: usize = 2;
/// The most organisations of one transaction, beside the condition on the duty.
const MAX_ORGANISATIONS: usize = (MAX_ROWS - 1) / ROWS_PER_ORGANISATION;
/// The pause after a round of requests that brought parts, and after one that brought none.
const PAUSE_AFTER_GIFT: Duration = Duration::from_millis(20);
const PAUSE_AFTER_NONE: Duration = Duration::from_millis(150);
/// How long the loop waits for a shortage before it looks by itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause before a write without an answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// How long a request waits while parts are given to another pool.
const MAX_GIVING_WAIT: Duration = Duration::from_millis(100);
/// How often a transfer is tried anew after another one changed the record.
const MAX_ROUNDS: usize = 3;

impl Owner {
    /// Reads the divisions that are stored.
    pub(super) async fn load_divisions(&self) -> Result<(), Error> {
        let (items, _) = self.node.store.range(LIMIT_PREFIX).await?;
        self.apply_items(&items);
        Ok(())
    }

    /// Applies the divisions among some items of the store.
    fn apply_items(&self, items: &[Item]) {
        for item in items {
            let Some(organisation) = item.key.strip_prefix(LIMIT_PREFIX) else { continue };
            match serde_json::from_slice::<Division>(&item.value) {
                Ok(division) if division.is_whole() => {
                    self.book.borrow_mut().apply(organisation, item.revision, division);
                    self.set_part(organisation);
                }
                _ => {
                    let why = "its parts don't add up; no pool gets more until it is repaired";
                    self.node.metrics.event("record unreadable");
                    self.node
                        .trace
                        .line("record unreadable", || json!({ "key": item.key, "why": why }));
                }
            }
        }
    }

    fn set_part(&self, organisation: &str) {
        let part = self.book.borrow().part(organisation);
        self.pool.borrow_mut().set_part(organisation, part);
    }

    /// Requests parts of the limits that tasks of this pool wait for.
    pub(super) async fn allowance_loop(self: Rc<Self>) {
        while !self.retired.get() && !self.halted.get() {
            let _ = timeout(CHECK_INTERVAL, self.shortage.notified()).await;
            let shortages = self.pool.borrow().shortages(clock::now());
            let to_request = |Shortage { organisation, demand }| {
                let demand = demand.compact();
                Request { organisation, demand }
            };
            let shortages: Vec<Request> = shortages.into_iter().map(to_request).collect();
            if shortages.is_empty() || !self.node.may_order() {
                continue;
            }
            let (new, known): (Vec<Request>, Vec<Request>) = shortages
                .into_iter()
                .partition(|shortage| !self.book.borrow().contains(&shortage.organisation));
            let is_served = if new.is_empty() {
                self.request_parts(&known).await
            } else {
                self.create_divisions(&new).await
            };
            self.wake.notify_one();
            let pause = if is_served { PAUSE_AFTER_GIFT } else { PAUSE_AFTER_NONE };
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks other owners for parts. Returns whether this pool got any.
    async fn request_parts(self: &Rc<Self>, shortages: &[Request]) -> bool {
        let started = clock::now();
        let before = self.book.borrow().total();
        let requests = self.book.borrow_mut().requests(shortages);
        let send = |(giver, requests): (String, Vec<Request>)| {
            let (node, taker) = (self.node.clone(), self.name.clone());
            spawn_local(async move {
                let message = Message::Allowance { pool: giver.clone(), taker, requests };
                node.send_to_owner(&giver, message, peer::SHORT_TIMEOUT).await.ok()
            })
        };
        let replies: Vec<_> = requests.into_iter().map(send).collect();
        for reply in replies {
            if let Ok(Some(Reply::Allowance { records })) = reply.await {
                self.apply_records(records);
            }
        }
        let received = self.book.borrow().total().saturating_sub(before);
        self.node.metrics.event("limit parts requested");
        self.node.trace.line("limit parts requested", || {
            let wanted = |s: &Request| {
                json!({ "organisation": s.organisation, "part": self.book.borrow().part(&s.organisation),
                    "used": s.demand.used, "wanted": s.demand.wanted, "urgent": s.demand.urgent })
            };
            json!({ "duty": self.name, "shortages": shortages.iter().map(wanted).collect::<Vec<_>>(),
                "received": received, "took_ms": ms(clock::now() - started) })
        });
        received > 0
    }

    fn apply_records(&self, records: Vec<Record>) {
        for Record { organisation, revision, division } in records {
            self.book.borrow_mut().apply(&organisation, revision, division);
            self.set_part(&organisation);
        }
    }

    /// Creates the records of organisations that have none: all pools get equal parts. Returns
    /// whether the store answered.
    async fn create_divisions(&self, shortages: &[Request]) -> bool {
        let names: Vec<&String> = shortages.iter().map(|s| &s.organisation).collect();
        let Some(config) = self.node.config.borrow().clone() else { return false };
        let pools = config.pools.iter().filter(|pool| !pool.spare).map(|pool| pool.name.as_str());
        let division = Division::equal(pools);
        let value = serde_json::to_vec(&division).unwrap_or_default();
        for names in names.chunks(MAX_ORGANISATIONS) {
            let mut txn = self.limit_txn();
            for name in names {
                let key = limit_key(name);
                txn.expect.push((key.clone(), 0));
                txn.set.push((key, value.clone(), 0));
            }
            match self.node.store.txn(&txn).await {
                Ok(Outcome::Written(revision)) => {
                    let record = |name: &&String| Record {
                        organisation: (*name).clone(),
                        revision,
                        division: division.clone(),
                    };
                    self.apply_records(names.iter().map(record).collect());
                }
                // Others created some of them; the rest follows in the next round.
                Ok(Outcome::Conflict(items)) => self.apply_items(&items),
                Ok(Outcome::NoLease) | Err(_) => return false,
            }
        }
        true
    }

    /// Returns a transaction that only the current holder of the duty can carry out.
    fn limit_txn(&self) -> Txn {
        let duty = duty::key(&self.duty);
        Txn { expect: vec![(duty, self.fence())], ..Txn::default() }
    }

    /// Gives another pool parts that this one has no use for. Returns the divisions.
    ///
    /// What runs of a former owner may use where this one can't see them counts as used.
    pub(super) async fn give(self: &Rc<Self>, taker: String, requests: Vec<Request>) -> Reply {
        let owner = self.clone();
        // The taker may stop waiting at any time, but a transfer has to be settled.
        let giving = spawn_local(async move {
            owner.transfer_all(&taker, &requests).await;
            owner.book.borrow().records(&requests)
        });
        Reply::Allowance { records: giving.await.unwrap_or_default() }
    }

    async fn transfer_all(&self, taker: &str, requests: &[Request]) {
        let is_known = |request: &Request| self.book.borrow().contains(&request.organisation);
        // Another owner created the record, and no task of this pool has needed it so far.
        if !requests.iter().all(is_known) && self.load_divisions().await.is_err() {
            return;
        }
        if let Ok(_giving) = timeout(MAX_GIVING_WAIT, self.giving.lock()).await
            && self.is_sure()
            && self.is_loaded()
        {
            for requests in requests.chunks(MAX_ORGANISATIONS) {
                self.transfer(taker, requests).await;
            }
        }
        if self.node.settings.contention.limits && self.is_loaded() {
            self.hold_back(taker, requests);
        }
    }

    /// Holds parts back for a pool whose tasks couldn't start for a while.
    fn hold_back(&self, taker: &str, requests: &[Request]) {
        let now = clock::now();
        let demand = |organisation: &str| self.pool.borrow().demand(now, organisation);
        let held = self.book.borrow().held_back(taker, requests, demand);
        for (organisation, parts) in held {
            // Renewals aren't logged: there is one with each round of requests.
            if self.pool.borrow_mut().hold_back(now, &organisation, parts) {
                self.node.metrics.event("limit parts held back");
                self.node.trace.line("limit parts held back", || {
                    json!({ "duty": self.name, "organisation": organisation, "taker": taker,
                        "parts": parts, "own": demand(&organisation) })
                });
            }
        }
    }

    /// Moves parts to another pool: lowers its own first, then writes both.
    async fn transfer(&self, taker: &str, requests: &[Request]) {
        for _ in 0..MAX_ROUNDS {
            let now = clock::now();
            let demand = |organisation: &str| self.pool.borrow().demand(now, organisation);
            let transfer = self.book.borrow_mut().prepare(taker, requests, demand);
            if transfer.is_empty() {
                return;
            }
            transfer.iter().for_each(|record| self.set_part(&record.organisation));
            let mut txn = self.limit_txn();
            for record in &transfer {
                let key = limit_key(&record.organisation);
                txn.expect.push((key.clone(), record.revision));
                txn.set.push((key, serde_json::to_vec(&record.division).unwrap_or_default(), 0));
            }
            // If this owner retires before, its parts stay lowered: the successor reads the records.
            let Some(outcome) = self.commit_transfer(&txn).await else { return };
            let written =
                if let Outcome::Written(revision) = outcome { Some(revision) } else { None };
            self.book.borrow_mut().settle(&transfer, written);
            if let Outcome::Conflict(items) = &outcome {
                self.apply_items(items);
            }
            transfer.iter().for_each(|record| self.set_part(&record.organisation));
            if written.is_some() {
                return;
            }
        }
    }

    /// Writes a transfer until its outcome is known; `None` if this owner retires before.
    ///
    /// A write without an answer may still be carried out. Its repetition then conflicts, and the
    /// conflict shows the records.
    async fn commit_transfer(&self, txn: &Txn) -> Option<Outcome> {
        while !self.retired.get() {
            match self.node.store.txn(txn).await {
                Ok(Outcome::Conflict(items)) => {
                    let duty = duty::key(&self.duty);
                    let is_lost = |item: &Item| item.key == duty && item.revision != self.fence();
                    if items.iter().any(is_lost) {
                        self.retire("the store names another holder");
                        return None;
                    }
                    return Some(Outcome::Conflict(items));
                }
                Ok(Outcome::Written(revision)) => return Some(Outcome::Written(revision)),
                Ok(Outcome::NoLease) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        None
    }
}

fn limit_key(organisation: &str) -> String {
    format!("{LIMIT_PREFIX}{organisation}")
}
