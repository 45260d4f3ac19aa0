//! One proxy: the pure parts that its daemon puts together.

use std::time::Duration;

use corianderfork_model::{Name, Share};
use corianderfork_routing::limits::Policy;
use corianderfork_routing::router::{Config, Router, RunnerKey, Ticket};
use corianderfork_routing::{outlier, queue, retry};

use crate::scenario::Case;

pub fn name(prefix: &str, i: usize) -> Name {
    Name::new(&format!("{prefix}-{i:02}")).expect("a valid name")
}

pub struct Request {
    pub proxy: usize,
    pub arrived: u64,
    pub started: Option<u64>,
    pub tries: u32,
    pub idempotent: bool,
    pub tried: Vec<RunnerKey>,
    pub ticket: Option<Ticket>,
}

pub struct Proxy {
    pub name: Name,
    pub router: Router,
    pub queue: queue::Queue<usize>,
    pub budget: retry::Budget,
    pub delay: retry::Delay,
    pub offered: u64,
    pub served: u64,
}

impl Proxy {
    pub fn new(case: Case, policy: Box<dyn Policy>, i: usize) -> Self {
        let (detector, budget) = match case {
            Case::RunnerFails { detector, budget } => (detector, budget),
            _ => (true, true),
        };
        let outlier = outlier::Config::default().enabled(detector);
        let seed = i as u64 + 1;
        let config = Config::default().policy(policy).outlier(outlier).seed(seed);
        let all = retry::Config::default().share(Share::WHOLE).floor(u32::MAX);
        let budget = if budget { retry::Config::default() } else { all };
        Self {
            name: name("proxy", i),
            router: Router::new(name("proxy", i), config),
            queue: queue::Queue::new(queue::Config::default().capacity(64)),
            budget: retry::Budget::new(budget),
            delay: retry::Delay::new(Duration::from_millis(2), Duration::from_millis(50), seed),
            offered: 0,
            served: 0,
        }
    }
}
