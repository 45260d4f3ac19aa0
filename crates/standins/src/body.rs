//! Request bodies of the platform's HTTP interface.

use serde::Deserialize;

use crate::fleet::{State, Usage};

#[derive(Deserialize)]
pub(crate) struct Put {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) expect: Option<u64>,
    pub(crate) lease: Option<u64>,
}

#[derive(Deserialize)]
pub(crate) struct Delete {
    pub(crate) key: String,
    pub(crate) expect: Option<u64>,
}

#[derive(Deserialize)]
pub(crate) struct Ttl {
    pub(crate) ttl_ms: u64,
}

#[derive(Deserialize)]
pub(crate) struct LeaseId {
    pub(crate) lease: u64,
}

#[derive(Deserialize)]
pub(crate) struct Place {
    pub(crate) vm: String,
    #[serde(default)]
    pub(crate) service: String,
}

#[derive(Deserialize)]
pub(crate) struct Vms {
    pub(crate) vms: Vec<String>,
    pub(crate) state: Option<State>,
}

#[derive(Deserialize)]
pub(crate) struct Reports {
    pub(crate) usage: Vec<Usage>,
}
