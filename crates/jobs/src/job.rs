//! Jobs as callers submit them.

use serde::{Deserialize, Serialize};

/// Maximum length of [`Job::spec`], in bytes.
pub const MAX_SPEC: usize = 4_000;
/// Maximum number of steps of a job. It is far above what callers submit and bounds the memory
/// that one request can occupy in the owner.
pub const MAX_STEPS: usize = 256;
/// Maximum number of tasks of one occurrence of a job, a bound like [`MAX_STEPS`].
pub const MAX_TASKS: u64 = 10_000;

/// A job: the spec of its tasks, and its steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the workers run; opaque here.
    pub spec: String,
    /// The steps. [`Step::after`] contains indices into this list.
    pub steps: Vec<Step>,
    /// The schedule of a job whose steps run repeatedly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// A schedule of occurrences by the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The interval between occurrences, in milliseconds.
    pub every_ms: u64,
    /// The number of occurrences.
    pub times: u32,
}

/// A group of tasks with the same requirements that may start together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The room that each task needs.
    pub needs: Room,
    /// The declared duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that must be done before.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save their progress as they run.
    #[serde(rename = "saves")]
    pub checkpoints: bool,
    /// Whether the step is a gang: its tasks can only run all together.
    pub gang: bool,
    /// Whether the tasks of a gang should run in the same rack, since the gang is slow across
    /// racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the data of the tasks.
    #[serde(rename = "near", skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<String>,
    /// The maximum number of the tasks on one worker; 0 for no limit.
    #[serde(rename = "most_together")]
    pub max_per_worker: u32,
    /// Whether two copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(rename = "lasts")]
    pub long_running: bool,
    /// The image that the tasks run, if tasks of other jobs run the same one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The target for the tail latency of serving tasks, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks are backfill: they use CPU that others leave idle, which isn't
    /// counted.
    #[serde(rename = "fills")]
    pub backfill: bool,
    /// The maximum number of long-running tasks that may be unavailable at once because of the
    /// owner's orders; `None` for no limit.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Room on a worker, available or needed.
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

/// An error that makes a job invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The spec is too long.
    #[error("`spec` has {0} bytes; send at most {MAX_SPEC}")]
    Spec(usize),
    /// The job has no step, or too many.
    #[error("the job has {0} steps; send 1 to {MAX_STEPS}")]
    Steps(usize),
    /// A step has no task, or the job has too many.
    #[error("step {step} has {count} tasks; send 1 or more, and at most {MAX_TASKS} in all")]
    Tasks {
        /// The step.
        step: usize,
        /// The number of its tasks.
        count: u32,
    },
    /// A step depends on itself or a later step.
    #[error("step {step} runs after step {after}, which is no earlier one; name earlier steps")]
    After {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u32,
    },
    /// The interval between occurrences is zero.
    #[error("occurrences come every 0 ms; send the time between two")]
    Schedule,
}

impl Job {
    /// Creates a job without a schedule.
    ///
    /// # Errors
    ///
    /// Fails if the job is too large, a step has no task, or a step depends on one that doesn't
    /// come before it (which rules out cycles).
    pub fn new(spec: String, steps: Vec<Step>) -> Result<Self, Error> {
        if spec.len() > MAX_SPEC {
            return Err(Error::Spec(spec.len()));
        }
        if steps.is_empty() || steps.len() > MAX_STEPS {
            return Err(Error::Steps(steps.len()));
        }
        let mut all = 0;
        for (step, declared) in steps.iter().enumerate() {
            all += u64::from(declared.count);
            if declared.count == 0 || all > MAX_TASKS {
                return Err(Error::Tasks { step, count: declared.count });
            }
            if let Some(after) = declared.after.iter().find(|after| **after as usize >= step) {
                return Err(Error::After { step, after: *after });
            }
        }
        Ok(Self { spec, steps, schedule: None })
    }

    /// Sets the schedule.
    ///
    /// # Errors
    ///
    /// Fails if the interval of several occurrences is zero.
    pub fn scheduled(mut self, schedule: Schedule) -> Result<Self, Error> {
        if schedule.every_ms == 0 && schedule.times > 1 {
            return Err(Error::Schedule);
        }
        self.schedule = Some(schedule);
        Ok(self)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the declared duration of the longest chain of dependent steps, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        chain_ms(&self.steps, |_, step| step.estimate_ms)
    }
}

/// Returns the duration of the longest chain of dependent steps, each of which takes
/// `duration_ms` milliseconds.
pub fn chain_ms(steps: &[Step], duration_ms: impl Fn(usize, &Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let start = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
        ends.push(start.copied().unwrap_or(0) + duration_ms(index, step));
    }
    ends.into_iter().max().unwrap_or(0)
}

impl Step {
    /// Creates a step of `count` tasks.
    pub fn new(count: u32) -> Self {
        Self { count, ..Self::default() }
    }

    /// Adds a dependency on an earlier step.
    #[must_use]
    pub fn after(mut self, step: u32) -> Self {
        self.after.push(step);
        self
    }

    /// Returns the room that a task occupies on a worker. A backfill task occupies no CPU.
    pub fn room(&self) -> Room {
        if self.backfill { Room { cpu: 0, ..self.needs } } else { self.needs }
    }
}

impl Room {
    /// Returns whether `needed` fits into this room beside `used`.
    pub fn fits(&self, used: &Self, needed: &Self) -> bool {
        // Callers may declare absurd values; a wrapped sum would fit.
        used.cpu.saturating_add(needed.cpu) <= self.cpu
            && used.memory_mb.saturating_add(needed.memory_mb) <= self.memory_mb
            && used.gpu.saturating_add(needed.gpu) <= self.gpu
    }

    /// Returns how many times `each` fits into this room.
    pub(crate) fn count_of(&self, each: &Self) -> u64 {
        let times = |part: u64, each: u64| part.checked_div(each).unwrap_or(u64::MAX);
        times(self.cpu, each.cpu)
            .min(times(self.memory_mb, each.memory_mb))
            .min(times(self.gpu, each.gpu))
    }

    /// Returns this room multiplied by `count`.
    #[must_use]
    pub fn times(&self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Returns how many units of room `each` are necessary to hold this room, by the scarcest
    /// resource.
    pub fn in_units_of(&self, each: &Self) -> f64 {
        let share =
            |part: u64, whole: u64| if part == 0 { 0.0 } else { part as f64 / whole.max(1) as f64 };
        share(self.cpu, each.cpu)
            .max(share(self.memory_mb, each.memory_mb))
            .max(share(self.gpu, each.gpu))
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Subtracts `other`.
    pub fn sub(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
