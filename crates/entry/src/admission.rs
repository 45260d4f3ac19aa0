//! The transaction that accepts jobs in their queues' pools.
//!
//! [`Admission`] does no I/O: it builds the transaction and interprets its conflicts. One
//! transaction both checks that the job is in no pool of its queue and that the queue's
//! record is unchanged, and stores the job. If the earlier pools were read before the write,
//! a gateway with an older configuration or a late write could accept the job there in
//! between, and it would run twice.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_adapter::store::{Item, MAX_ROWS, Txn};

use crate::access::Identity;
use crate::duty::Table;
use crate::lookup::{job_key, organisation, run_key};
use crate::placement::{Placement, QueueRecord, QueueRoute, queue_key};

/// Rows of one job in its pool: two conditions and one value.
const JOB_ROWS: usize = 3;
/// Rows of one job for each earlier pool: two conditions.
const EARLIER_ROWS: usize = 2;
/// Rows of one queue whose record changes: one condition and one value.
const QUEUE_ROWS: usize = 2;
/// The most earlier pools that fit into the write of a single job.
const MAX_EARLIER_POOLS: usize = (MAX_ROWS - QUEUE_ROWS - JOB_ROWS) / EARLIER_ROWS;

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its queue.
    pub queue: String,
    /// The pool to which the gateway's configuration routes the queue.
    pub queue_route: QueueRoute,
    /// Its id.
    pub id: String,
    /// On whose behalf it is submitted.
    pub identity: Identity,
    /// Its acceptance record, encoded.
    pub value: Vec<u8>,
}

/// Jobs that are accepted in one transaction.
///
/// ```
/// use corianderfork_entry::access::Identity;
/// use corianderfork_entry::admission::{Admission, Submission};
/// use corianderfork_entry::duty::Table;
/// use corianderfork_entry::placement::QueueRoute;
///
/// let queue_route = QueueRoute { version: 1, pool: "alpha".to_owned() };
/// let id = "0123456789abcdef".to_owned();
/// let (queue, value) = ("q".to_owned(), b"{}".to_vec());
/// let identity = Identity::Anonymous;
/// let submission = Submission { queue, queue_route, id, identity, value };
/// let admission = Admission::new([&submission], &Table::default());
/// let txn = admission.txn([&submission]);
/// assert!(txn.expect.contains(&("entry/queue/q".to_owned(), 0)));
/// assert!(txn.expect.contains(&("job/alpha/0123456789abcdef".to_owned(), 0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Admission {
    ids: BTreeSet<String>,
    queues: BTreeMap<String, (QueueRoute, Placement)>,
    count: usize,
    rows: usize,
}

impl Admission {
    /// Takes as many of `submissions`, from the first one on, as fit into one transaction.
    /// `table` has the known records of the queues.
    pub fn new<'a>(submissions: impl IntoIterator<Item = &'a Submission>, table: &Table) -> Self {
        let mut admission = Self::default();
        for submission in submissions {
            if !admission.take(submission, table) {
                break;
            }
        }
        admission
    }

    fn take(&mut self, submission: &Submission, table: &Table) -> bool {
        // One of two with the same ID would overwrite the other.
        if self.ids.contains(&submission.id) {
            return false;
        }
        if let Some((queue_route, placement)) = self.queues.get(&submission.queue) {
            let rows = self.rows + job_rows(placement);
            // Two configurations could ask for different changes of the queue's record.
            if rows > MAX_ROWS || *queue_route != submission.queue_route {
                return false;
            }
            self.rows = rows;
        } else {
            let record = table.queues.get(&submission.queue).unwrap_or(&QueueRecord::Missing);
            let placement = Placement::new(record, &submission.queue_route, table.owned_pools());
            let queue_rows = if placement.change.is_some() { QUEUE_ROWS } else { 1 };
            let rows = self.rows + job_rows(&placement) + queue_rows;
            if rows > MAX_ROWS {
                return false;
            }
            self.rows = rows;
            self.queues
                .insert(submission.queue.clone(), (submission.queue_route.clone(), placement));
        }
        self.ids.insert(submission.id.clone());
        self.count += 1;
        true
    }

    /// Returns how many of the jobs fit.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Returns the transaction for those of the jobs that are still to be stored.
    pub fn txn<'a>(&self, submissions: impl IntoIterator<Item = &'a Submission>) -> Txn {
        let mut txn = Txn::default();
        for (queue, (_, placement)) in &self.queues {
            txn.expect.push((queue_key(queue), placement.revision));
            if let Some(pool_list) = &placement.change {
                let value = serde_json::to_vec(pool_list).unwrap_or_default();
                txn.set.push((queue_key(queue), value, 0));
            }
        }
        for submission in submissions {
            let Some((_, placement)) = self.queues.get(&submission.queue) else { continue };
            let earlier = placement.earlier.iter().take(MAX_EARLIER_POOLS);
            for pool in std::iter::once(&placement.pool).chain(earlier) {
                txn.expect.push((job_key(pool, &submission.id), 0));
                txn.expect.push((run_key(pool, &submission.id), 0));
            }
            txn.set.push((job_key(&placement.pool, &submission.id), submission.value.clone(), 0));
        }
        txn
    }

    /// Returns the pool in which a job is accepted.
    pub fn pool<'a>(&'a self, submission: &'a Submission) -> &'a str {
        self.queues
            .get(&submission.queue)
            .map_or(&submission.queue_route.pool, |(_, placement)| &placement.pool)
    }

    /// Returns the earlier pools that don't fit into the transaction and are read before it.
    /// No job can be accepted there in between: that would change the queue's record, which
    /// the transaction expects to be unchanged.
    pub fn unchecked_pools(&self, submission: &Submission) -> &[String] {
        let earlier = self.queues.get(&submission.queue).map(|(_, placement)| &placement.earlier);
        earlier.and_then(|earlier| earlier.get(MAX_EARLIER_POOLS..)).unwrap_or_default()
    }

    /// Whether a conflict shows that a job was accepted before.
    pub fn is_stored(&self, submission: &Submission, items: &[Item]) -> bool {
        self.records(submission, items).next().is_some()
    }

    /// Whether a conflict shows that another organisation's job has the ID.
    pub fn is_foreign(&self, submission: &Submission, items: &[Item]) -> bool {
        let is_foreign =
            |item: &Item| !submission.identity.may_use(organisation(&item.value).as_deref());
        self.records(submission, items).any(is_foreign)
    }

    /// Returns the stored records of a job among the conflicting items.
    fn records<'a>(
        &self,
        submission: &Submission,
        items: &'a [Item],
    ) -> impl Iterator<Item = &'a Item> {
        let placement = self.queues.get(&submission.queue).map(|(_, placement)| placement);
        let pools = placement.into_iter().flat_map(|p| std::iter::once(&p.pool).chain(&p.earlier));
        let keys: Vec<String> = pools
            .flat_map(|pool| [job_key(pool, &submission.id), run_key(pool, &submission.id)])
            .collect();
        items.iter().filter(move |item| keys.contains(&item.key))
    }

    /// Returns the queues' records that a conflict shows to differ from what was known.
    pub fn conflicting_records(&self, items: &[Item]) -> Vec<(String, QueueRecord)> {
        let conflicting = self.queues.iter().filter_map(|(queue, (_, placement))| {
            let item = items.iter().find(|item| item.key == queue_key(queue));
            let record = match item {
                Some(item) => QueueRecord::read(&item.value, item.revision),
                // It existed: another writer removed it.
                None => QueueRecord::Damaged { revision: 0 },
            };
            (record.revision() != placement.revision).then(|| (queue.clone(), record))
        });
        conflicting.collect()
    }

    /// Returns the queues' records that the transaction changed, at its revision.
    pub fn written_records(&self, revision: u64) -> Vec<(String, QueueRecord)> {
        let changed = self.queues.iter().filter_map(|(queue, (_, placement))| {
            let pool_list = placement.change.clone()?;
            Some((queue.clone(), QueueRecord::Valid { revision, pool_list }))
        });
        changed.collect()
    }
}

fn job_rows(placement: &Placement) -> usize {
    JOB_ROWS + EARLIER_ROWS * placement.earlier.len().min(MAX_EARLIER_POOLS)
}
