//! Scenarios and the times of their events, in milliseconds.

/// The fault occurs, and measuring starts.
pub const FAULT: u64 = 5_000;
pub const END: u64 = 20_000;
/// The records show what the backend servers have known since the fault.
pub const RECORD_UPDATE: u64 = 7_000;
/// The membership removes the dead proxy.
pub const MEMBER_REMOVAL: u64 = 15_000;

/// A scenario of the bench.
#[derive(Clone, Copy, PartialEq)]
pub enum Scenario {
    Even,
    Skewed,
    ProxyDies,
    HalfDrains,
    RunnerFails { detector: bool, budget: bool },
}

impl Scenario {
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Even => "even",
            Scenario::Skewed => "one-proxy-80%",
            Scenario::ProxyDies => "proxy-dies",
            Scenario::HalfDrains => "half-drains",
            Scenario::RunnerFails { detector: true, budget: true } => "runner-fails",
            Scenario::RunnerFails { detector: true, budget: false } => "runner-fails/no-budget",
            Scenario::RunnerFails { detector: false, budget: true } => "runner-fails/no-detector",
            Scenario::RunnerFails { .. } => "runner-fails/neither",
        }
    }
}
