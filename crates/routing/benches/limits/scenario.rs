//! What goes wrong, and when, in milliseconds.

/// The fault comes, and measuring begins.
pub const FAULT: u64 = 5_000;
pub const END: u64 = 20_000;
/// The records say what the backend servers have known since the fault.
pub const RECORDS: u64 = 7_000;
/// The membership says that the dead proxy is gone.
pub const FORGET: u64 = 15_000;

/// A case that is measured.
#[derive(Clone, Copy, PartialEq)]
pub enum Case {
    Even,
    Skewed,
    ProxyDies,
    HalfDrains,
    RunnerFails { detector: bool, budget: bool },
}

impl Case {
    pub fn name(self) -> &'static str {
        match self {
            Case::Even => "even",
            Case::Skewed => "one-proxy-80%",
            Case::ProxyDies => "proxy-dies",
            Case::HalfDrains => "half-drains",
            Case::RunnerFails { detector: true, budget: true } => "runner-fails",
            Case::RunnerFails { detector: true, budget: false } => "runner-fails/no-budget",
            Case::RunnerFails { detector: false, budget: true } => "runner-fails/no-detector",
            Case::RunnerFails { .. } => "runner-fails/neither",
        }
    }
}
