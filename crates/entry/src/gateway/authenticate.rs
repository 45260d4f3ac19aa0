//! Authentication of callers by the keys of the configuration.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_adapter::config::Config;
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

    /// Returns on whose behalf a request is made, or the response to one without a valid key.
    pub(super) fn authenticate(
        &self,
        config: &Config,
        is_public: bool,
        request: &HttpRequest,
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
        match directory.find(digest) {
            Some(organisation) => Ok(Identity::Organisation(organisation.name.clone())),
            None => {
                self.node.trace.line(
                    "key unknown",
                    || json!({ "key": digest.to_string(), "config": config.version }),
                );
                let why = "the key is unknown; it was removed, or isn't in force yet";
                Err((unauthorized(why), "unknown key"))
            }
        }
    }
}

fn unauthorized(why: &str) -> HttpResponse {
    HttpResponse {
        challenge: Some(caller::CHALLENGE),
        ..HttpResponse::new(401, caller::error(why))
    }
}
