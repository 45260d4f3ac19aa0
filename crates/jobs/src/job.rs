//! What a caller hands in.

use serde::{Deserialize, Serialize};

/// The longest text that tells workers what to run, in bytes.
pub const MAX_SPEC: usize = 4_000;
/// Steps of one job: far above what callers send, and a bound on what one
/// request can make the owner hold.
pub const MAX_STEPS: usize = 256;
/// Tasks of one occurrence of a job, a bound like [`MAX_STEPS`].
pub const MAX_TASKS: u64 = 10_000;

/// A job: what its tasks run, and its steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What workers are told to run; opaque here.
    pub spec: String,
    /// The steps, in the order that [`Step::after`] counts in.
    pub steps: Vec<Step>,
    /// When the steps run again and again, if they do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Occurrences of a job by the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first one is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The time between two, in milliseconds.
    pub every_ms: u64,
    /// How many there are.
    pub times: u32,
}

/// Tasks of one kind that may start together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    pub needs: Room,
    /// A rough estimate of how long a task takes, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save their progress as they run.
    #[serde(rename = "saves")]
    pub checkpoints: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether a gang is slow across racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the data.
    #[serde(rename = "near", skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<String>,
    /// At most so many of the tasks on one worker; 0 for any number.
    #[serde(rename = "most_together")]
    pub max_per_worker: u32,
    /// Whether two copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasts")]
    pub long_running: bool,
    /// What the tasks run, where tasks of other jobs run the same.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The tail of response times that serving tasks must stay under, in
    /// milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use processors that others leave idle, uncounted.
    #[serde(rename = "fills")]
    pub backfill: bool,
    /// How many lasting tasks may be away at once by orders of the owner; none
    /// if nothing is promised.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Room on a worker, had or needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The spec is too long.
    #[error("`spec` has {0} bytes; send at most {MAX_SPEC}")]
    Spec(usize),
    /// No step, or too many.
    #[error("the job has {0} steps; send 1 to {MAX_STEPS}")]
    Steps(usize),
    /// A step has no task, or there are too many in all.
    #[error("step {step} has {count} tasks; send 1 or more, and at most {MAX_TASKS} in all")]
    Tasks {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// A step waits for itself or a later one.
    #[error("step {step} runs after step {after}, which is no earlier one; name earlier steps")]
    After {
        /// The step.
        step: usize,
        /// The one it names.
        after: u32,
    },
    /// Occurrences follow each other without a pause.
    #[error("occurrences come every 0 ms; send the time between two")]
    Schedule,
}

impl Job {
    /// Checks a job.
    ///
    /// # Errors
    ///
    /// Fails if it is too large, a step has no task, or a step waits for one
    /// that doesn't come before it (so that there can be no cycle).
    pub fn new(spec: String, steps: Vec<Step>) -> Result<Self, Error> {
        if spec.len() > MAX_SPEC {
            return Err(Error::Spec(spec.len()));
        }
        if steps.is_empty() || steps.len() > MAX_STEPS {
            return Err(Error::Steps(steps.len()));
        }
        let mut all = 0;
        for (step, row) in steps.iter().enumerate() {
            all += u64::from(row.count);
            if row.count == 0 || all > MAX_TASKS {
                return Err(Error::Tasks { step, count: row.count });
            }
            if let Some(after) = row.after.iter().find(|after| **after as usize >= step) {
                return Err(Error::After { step, after: *after });
            }
        }
        Ok(Self { spec, steps, schedule: None })
    }

    /// Has the steps run by the time of day.
    ///
    /// # Errors
    ///
    /// Fails if occurrences don't come apart.
    pub fn scheduled(mut self, schedule: Schedule) -> Result<Self, Error> {
        if schedule.every_ms == 0 && schedule.times > 1 {
            return Err(Error::Schedule);
        }
        self.schedule = Some(schedule);
        Ok(self)
    }

    /// Tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Whether it runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of estimates, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        chain_ms(&self.steps, |_, step| step.estimate_ms)
    }
}

/// The longest chain through steps that take `each` milliseconds.
pub fn chain_ms(steps: &[Step], each: impl Fn(usize, &Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let begin = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
        ends.push(begin.copied().unwrap_or(0) + each(index, step));
    }
    ends.into_iter().max().unwrap_or(0)
}

impl Step {
    /// A step of `count` tasks.
    pub fn new(count: u32) -> Self {
        Self { count, ..Self::default() }
    }

    /// Has it run after an earlier step.
    #[must_use]
    pub fn after(mut self, step: u32) -> Self {
        self.after.push(step);
        self
    }

    /// What a task takes of a worker's room: one that fills takes no processor.
    pub fn room(&self) -> Room {
        if self.backfill { Room { cpu: 0, ..self.needs } } else { self.needs }
    }
}

impl Room {
    /// Whether `needed` fits into what is left of this with `used` taken.
    pub fn fits(&self, used: &Self, needed: &Self) -> bool {
        // What callers declare may be absurd: a sum that wraps would fit.
        used.cpu.saturating_add(needed.cpu) <= self.cpu
            && used.memory_mb.saturating_add(needed.memory_mb) <= self.memory_mb
            && used.gpu.saturating_add(needed.gpu) <= self.gpu
    }

    /// So many times this.
    #[must_use]
    pub fn times(&self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// How many times `each` has to be there to hold this, by what is scarcest.
    pub fn in_units_of(&self, each: &Self) -> f64 {
        let share =
            |part: u64, whole: u64| if part == 0 { 0.0 } else { part as f64 / whole.max(1) as f64 };
        share(self.cpu, each.cpu)
            .max(share(self.memory_mb, each.memory_mb))
            .max(share(self.gpu, each.gpu))
    }

    /// Takes `other` besides.
    pub fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Gives `other` back.
    pub fn sub(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
