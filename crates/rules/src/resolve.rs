//! Names in a text to ids of the fleet.

use corianderfork_model::place::{DataCentreId, PoolId, RackId, VmId};
use corianderfork_model::service::ServiceId;

use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind};

/// The services that a text names, how narrowly, and how it names them.
pub(crate) struct Scope {
    pub services: Vec<ServiceId>,
    pub breadth: Breadth,
    pub label: String,
}

/// How narrowly services are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Breadth {
    All,
    Pool,
    Service,
}

impl Cursor<'_> {
    /// `NAME` or `pool NAME`. A service called `pool` is read as such unless a
    /// name follows.
    pub(crate) fn scope(&mut self) -> Result<Scope, Error> {
        let word = self.word("the name of a service, or `pool` and its name")?;
        let is_pool = word.text == "pool" && !matches!(self.peek(), "" | ")" | "," | ";");
        if !is_pool {
            let id = self.service_of(&word)?;
            let label = word.text.to_owned();
            return Ok(Scope { services: vec![id], breadth: Breadth::Service, label });
        }
        let word = self.word("the name of a pool")?;
        let pool = self.pool_of(&word)?;
        let services: Vec<_> = self
            .fleet
            .services()
            .filter(|(_, service)| service.pool == pool)
            .map(|(id, _)| id)
            .collect();
        if services.is_empty() {
            let kind = Kind::EmptyPool(word.text.to_owned());
            return Err(Error::new(kind, word.at, "name a pool that carries a service"));
        }
        Ok(Scope { services, breadth: Breadth::Pool, label: format!("pool {}", word.text) })
    }

    /// The service that `word` names.
    pub(crate) fn service_of(&self, word: &Word<'_>) -> Result<ServiceId, Error> {
        let names = self.fleet.services().map(|(_, row)| row.name.as_str());
        word.resolve("service", self.fleet.find_service(word.text), names)
    }

    fn pool_of(&self, word: &Word<'_>) -> Result<PoolId, Error> {
        let names = self.fleet.pools().map(|(_, row)| row.name.as_str());
        word.resolve("pool", self.fleet.find_pool(word.text), names)
    }

    /// The next word, a data centre's name.
    pub(crate) fn data_centre(&mut self) -> Result<DataCentreId, Error> {
        let word = self.word("the name of a data centre")?;
        let names = self.fleet.data_centres().map(|(_, row)| row.name.as_str());
        word.resolve("data centre", self.fleet.find_data_centre(word.text), names)
    }

    /// The next word, a rack's name.
    pub(crate) fn rack(&mut self) -> Result<RackId, Error> {
        let word = self.word("the name of a rack")?;
        let names = self.fleet.racks().map(|(_, row)| row.name.as_str());
        word.resolve("rack", self.fleet.find_rack(word.text), names)
    }

    /// The next word, a VM's name.
    pub(crate) fn vm(&mut self) -> Result<VmId, Error> {
        let word = self.word("the name of a VM")?;
        let names = self.fleet.vms().map(|(_, row)| row.name.as_str());
        word.resolve("VM", self.fleet.find_vm(word.text), names)
    }
}
