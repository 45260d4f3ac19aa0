//! Resolves names in a text to ids of the fleet.

use corianderfork_model::place::{DataCentreId, PoolId, RackId, VmId};
use corianderfork_model::service::ServiceId;

use crate::cursor::{Cursor, Word};
use crate::error::{Error, Kind};

/// The services that a text names, and how it names them.
pub(crate) struct Scope {
    pub services: Vec<ServiceId>,
    pub specificity: Specificity,
    pub label: String,
}

/// How specifically services are named, from least to most specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Specificity {
    All,
    Pool,
    Service,
}

impl Cursor<'_> {
    /// Parses `NAME` or `pool NAME`. `pool` without a name after it is the name
    /// of a service.
    pub(crate) fn parse_scope(&mut self) -> Result<Scope, Error> {
        let word = self.word("the name of a service, or `pool` and its name")?;
        let is_pool = word.text == "pool" && !matches!(self.peek(), "" | ")" | "," | ";");
        if !is_pool {
            let id = self.resolve_service(&word)?;
            let label = word.text.to_owned();
            return Ok(Scope { services: vec![id], specificity: Specificity::Service, label });
        }
        let word = self.word("the name of a pool")?;
        let pool = self.resolve_pool(&word)?;
        let services: Vec<_> = self
            .fleet
            .services()
            .filter(|(_, service)| service.pool == pool)
            .map(|(id, _)| id)
            .collect();
        if services.is_empty() {
            let kind = Kind::EmptyPool(word.text.to_owned());
            return Err(Error::new(kind, word.span, "name a pool that carries a service"));
        }
        Ok(Scope { services, specificity: Specificity::Pool, label: format!("pool {}", word.text) })
    }

    /// Returns the service called `word`.
    pub(crate) fn resolve_service(&self, word: &Word<'_>) -> Result<ServiceId, Error> {
        let names = self.fleet.services().map(|(_, spec)| spec.name.as_str());
        word.resolve("service", self.fleet.find_service(word.text), names)
    }

    fn resolve_pool(&self, word: &Word<'_>) -> Result<PoolId, Error> {
        let names = self.fleet.pools().map(|(_, spec)| spec.name.as_str());
        word.resolve("pool", self.fleet.find_pool(word.text), names)
    }

    /// Parses the name of a data centre.
    pub(crate) fn parse_data_centre(&mut self) -> Result<DataCentreId, Error> {
        let word = self.word("the name of a data centre")?;
        let names = self.fleet.data_centres().map(|(_, spec)| spec.name.as_str());
        word.resolve("data centre", self.fleet.find_data_centre(word.text), names)
    }

    /// Parses the name of a rack.
    pub(crate) fn parse_rack(&mut self) -> Result<RackId, Error> {
        let word = self.word("the name of a rack")?;
        let names = self.fleet.racks().map(|(_, spec)| spec.name.as_str());
        word.resolve("rack", self.fleet.find_rack(word.text), names)
    }

    /// Parses the name of a VM.
    pub(crate) fn parse_vm(&mut self) -> Result<VmId, Error> {
        let word = self.word("the name of a VM")?;
        let names = self.fleet.vms().map(|(_, spec)| spec.name.as_str());
        word.resolve("VM", self.fleet.find_vm(word.text), names)
    }
}
