//! Authentication of callers by the keys of the configuration.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_adapter::config::{self, Config};
use corianderfork_adapter::store::Update;
use corianderfork_jobs::organisation::{Digest, Directory};
use corianderfork_model::Time;
use serde_json::json;

use super::{Gateway, refuse};
use crate::access::{Credential, Identity};
use crate::clock;
use crate::owner::ms;
use crate::server::{HttpRequest, HttpResponse};

/// The age from which the configuration isn't relied on: a key may have been removed since. The
/// waiting watch answers in less than half of this. The clock goes on while the process is frozen.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(1_900);
/// How long a request waits for news of the configuration.
const NEWS_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause between two calls that ask the store for a newer configuration, however many requests
/// have unknown keys.
const ASK_PAUSE: Duration = Duration::from_millis(100);

impl Gateway {
    /// Returns the configuration to serve a request by: one that was confirmed a moment ago, or the
    /// last one if the store is down for all. Returns the response if there is none.
    ///
    /// A process that was frozen or is cut off would serve keys that were removed meanwhile.
    pub(super) async fn current_config(&self) -> Result<Rc<Config>, HttpResponse> {
        let known = self.node.config.borrow().clone();
        let Some(config) = known else {
            return Err(refuse("this entry VM has no configuration yet"));
        };
        if config.organisations.is_none() || self.is_config_confirmed() {
            return Ok(config);
        }
        let _ = tokio::time::timeout(NEWS_TIMEOUT, self.await_news()).await;
        let config = self.node.config.borrow().clone().unwrap_or(config);
        if self.is_config_confirmed() || self.node.store.is_down() {
            return Ok(config);
        }
        self.node.trace.line(
            "configuration not confirmed",
            || json!({ "version": config.version, "age_ms": ms(clock::now() - self.node.config_known_at.get()) }),
        );
        Err(refuse("this entry VM doesn't know the newest keys; come back"))
    }

    async fn await_news(&self) {
        while !self.is_config_confirmed() && !self.node.store.is_down() {
            self.node.config_news.notified().await;
        }
    }

    fn is_config_confirmed(&self) -> bool {
        clock::now() - self.node.config_known_at.get() < MAX_CONFIG_AGE
    }

    /// Returns on whose behalf a request is made that arrived at `arrived`, or the response to one
    /// without a valid key.
    ///
    /// A key that this process doesn't know may be in force: it may have been frozen, or be cut off
    /// from the store. A caller that is told that its key is unknown gives up, so that this is only
    /// said of a key that no configuration up to the request has.
    pub(super) async fn authenticate(
        &self,
        config: &Config,
        is_public: bool,
        request: &HttpRequest,
        arrived: Time,
    ) -> Result<Identity, (HttpResponse, &'static str)> {
        let Some(directory) = config.organisations.as_ref().filter(|_| !is_public) else {
            return Ok(Identity::Anonymous);
        };
        let digest = match &request.credential {
            Credential::Key(digest) => digest,
            Credential::Missing => return Err((unauthorized("send the header `Key`"), "no key")),
            Credential::Malformed => {
                let why = "send one header `Key`, with visible ASCII";
                return Err((unauthorized(why), "malformed key"));
            }
        };
        if let Some(identity) = identity(directory, digest) {
            return Ok(identity);
        }
        let is_newest = self.await_newest_config(arrived).await;
        let config = self.node.config.borrow().clone();
        let directory = config.as_ref().and_then(|config| config.organisations.as_ref());
        if let Some(identity) = directory.and_then(|directory| identity(directory, digest)) {
            return Ok(identity);
        }
        let version = config.as_ref().map(|config| config.version);
        self.node.trace.line(
            "key unknown",
            || json!({ "key": digest.to_string(), "config": version, "newest": is_newest }),
        );
        if is_newest {
            let why = "the key is unknown; it was removed, or isn't in force yet";
            Err((unauthorized(why), "unknown key"))
        } else {
            let why = "this entry VM can't tell whether the key is in force; come back";
            Err((refuse(why), "key not confirmed"))
        }
    }

    /// Waits until all configurations that were accepted before `since` are known, and returns
    /// whether they are.
    async fn await_newest_config(&self, since: Time) -> bool {
        let is_known = || self.node.config_known_at.get() >= since;
        let ask = async {
            let mut asked_at = self.config_asked_at.lock().await;
            while !is_known() {
                tokio::time::sleep((*asked_at + ASK_PAUSE) - clock::now()).await;
                if is_known() {
                    return;
                }
                *asked_at = clock::now();
                let revision = self.node.config_revision.get();
                let news = self.node.store.watch(config::PREFIX, revision, Duration::ZERO).await;
                match news {
                    Ok(Update::Events(events, _)) if events.is_empty() => {
                        self.node.note_config_known(*asked_at);
                    }
                    // They are applied by what follows the configuration.
                    Ok(Update::Events(..)) => {}
                    Ok(Update::Compacted) | Err(_) => return,
                }
            }
        };
        let _ = tokio::time::timeout(NEWS_TIMEOUT, ask).await;
        is_known()
    }
}

fn identity(directory: &Directory, key: &Digest) -> Option<Identity> {
    let organisation = directory.find(key)?;
    Some(Identity::Organisation(organisation.name.clone()))
}

fn unauthorized(why: &str) -> HttpResponse {
    HttpResponse {
        challenge: Some(caller::CHALLENGE),
        ..HttpResponse::new(401, caller::error(why))
    }
}
