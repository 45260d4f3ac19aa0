//! The two users' full configurations, and a small one for tests.

/// A user whose fleet to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum User {
    /// The user that gives moves the largest weight.
    #[default]
    Gourmoti,
    /// The user that gives buffer cost and roll-out time the largest weights.
    Indus,
}

impl User {
    /// Returns the user called `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "gourmoti" => Some(Self::Gourmoti),
            "indus" => Some(Self::Indus),
            _ => None,
        }
    }

    /// Returns the full configuration without the rules that depend on the time of
    /// day, so that runs are alike at any hour of any day.
    pub fn full(self) -> String {
        let text = match self {
            Self::Gourmoti => include_str!("../../config/examples-ini/gourmoti.ini"),
            Self::Indus => include_str!("../../config/examples-ini/indus.ini"),
        };
        let sections = text.split("\n\n");
        let depends_on_clock = |text: &str| text.contains("hour ") || text.contains("weekday ");
        let kept = sections.filter(|text| !(text.starts_with("[rule.") && depends_on_clock(text)));
        kept.collect::<Vec<_>>().join("\n\n")
    }
}

/// Two services of three copies each on six VMs in three data centres. That is
/// enough to drain, reboot and move VMs, and small enough for concurrent tests.
pub const SMALL: &str = "\
[fleet]
version = 1
name = small

[weights]
moves = 1
buffer = 1
roll_out = 1

[data_centre.a]
region = r
[data_centre.b]
region = r
[data_centre.c]
region = r

[rack.a1]
data_centre = a
vms = a[1..2]
cores = 16
memory_gb = 32
pool = front
[rack.b1]
data_centre = b
vms = b[1..2]
cores = 16
memory_gb = 32
pool = front
[rack.c1]
data_centre = c
vms = c[1..2]
cores = 16
memory_gb = 32
pool = front

[pool.front]

[service.lookup]
pool = front
cores = 2
memory_gb = 4
min_copies = 3
max_copies = 6
unavailable = 40%
outlasts = vm
licences = 6
run_ms = 5
warm_ms = 200

[service.transfer]
pool = front
class = first
cores = 2
memory_gb = 4
min_copies = 3
max_copies = 6
unavailable = 40%
outlasts = vm
licences = 6
run_ms = 5
warm_ms = 200

[rule.last]
when = always
then = headroom lookup 20%; headroom transfer 20%
";
