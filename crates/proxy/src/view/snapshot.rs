//! The records as peers send them to each other.

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_wire::peer;

use super::{Effect, View};

impl View {
    /// Applies what a peer sent.
    pub fn on_snapshot(&mut self, snapshot: &peer::SnapshotReply) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !snapshot.config.is_empty() {
            self.offer_config(snapshot.config_revision, &snapshot.config, &mut effects);
        }
        if snapshot.store_revision <= self.synced {
            return effects;
        }
        let known: Vec<Name> = self.vms.keys().cloned().collect();
        let sent = |name: &Name| snapshot.vms.iter().any(|record| record.key == key::vm(name));
        for name in known.into_iter().filter(|name| !sent(name)) {
            self.vm_gone(name, snapshot.store_revision, &mut effects);
        }
        let listed = |key: &str| snapshot.members.iter().any(|record| record.key == key);
        self.drop_wishes(snapshot.store_revision, listed, &mut effects);
        for record in snapshot.vms.iter().chain(&snapshot.members) {
            self.record(&record.key, &record.value, record.revision, &mut effects);
        }
        self.synced = snapshot.store_revision;
        effects
    }

    /// What a peer asks for that knows less.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = peer::SnapshotReply {
            config_revision: self.config.revision(),
            store_revision: self.synced,
            ..peer::SnapshotReply::default()
        };
        if request.config_revision < reply.config_revision
            && let Some(applied) = self.config.get()
        {
            reply.config = applied.text.to_string();
        }
        if request.store_revision < reply.store_revision {
            reply.vms = self
                .vms
                .iter()
                .filter_map(|(name, row)| {
                    let value = row.get()?.as_ref()?.value.clone();
                    Some(peer::Record { key: key::vm(name), value, revision: row.revision() })
                })
                .collect();
            reply.members = self
                .members
                .iter()
                .map(|(key, (revision, _, value))| peer::Record {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                })
                .collect();
            // What is missing here counts as over.
            reply.members.extend(self.wish_records());
        }
        reply
    }
}
