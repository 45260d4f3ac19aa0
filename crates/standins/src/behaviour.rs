//! Misbehaviour of a runner that tests switch on.

use serde::Deserialize;

/// How a runner misbehaves. Each count is the number of responses still to be
/// affected.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Milliseconds added to each run, which occupies its slot meanwhile.
    pub late_ms: u64,
    /// Responses that carry another request's id and body.
    pub crossed: u32,
    /// Responses truncated half way.
    pub truncated: u32,
    /// Requests that run and get no response, with the connection left open.
    pub silent: u32,
    /// Whether each request gets a 500 response at once.
    pub failing: bool,
    /// Requests that run and whose connection is then closed without a response.
    pub die_after_run: u32,
}

/// How the next response deviates from a correct one.
#[derive(Debug)]
pub(crate) enum Misbehaviour {
    None,
    Crossed,
    Truncated,
    Silent,
    Die,
}

impl Behaviour {
    /// Returns the next misbehaviour and decrements its count.
    pub(crate) fn take_next(&mut self) -> Misbehaviour {
        let counts =
            [&mut self.die_after_run, &mut self.silent, &mut self.truncated, &mut self.crossed];
        let misbehaviours = [
            Misbehaviour::Die,
            Misbehaviour::Silent,
            Misbehaviour::Truncated,
            Misbehaviour::Crossed,
        ];
        for (count, misbehaviour) in counts.into_iter().zip(misbehaviours) {
            if *count > 0 {
                *count -= 1;
                return misbehaviour;
            }
        }
        Misbehaviour::None
    }
}
