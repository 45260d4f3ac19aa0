//! Snapshots of the records, which peers send to each other.

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_wire::peer;

use super::{Effect, View};

impl View {
    /// Applies a snapshot from a peer.
    pub fn on_snapshot(&mut self, snapshot: &peer::SnapshotReply) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !snapshot.config.is_empty() {
            self.offer_config(snapshot.config_revision, &snapshot.config, &mut effects);
        }
        if snapshot.store_revision <= self.synced_revision {
            return effects;
        }
        let known_vms: Vec<Name> = self.vms.keys().cloned().collect();
        let is_sent = |name: &Name| snapshot.vms.iter().any(|record| record.key == key::vm(name));
        for name in known_vms.into_iter().filter(|name| !is_sent(name)) {
            self.remove_vm(name, snapshot.store_revision, &mut effects);
        }
        // A peer is ahead, so this process has lost contact and may not know of it yet.
        self.on_contact_lost();
        let is_listed = |key: &str| snapshot.members.iter().any(|record| record.key == key);
        self.remove_missing_drains(snapshot.store_revision, is_listed, &mut effects);
        // Drains come first: the router applies a revision once, and would ignore the drain
        // of a VM whose record is newer and says that it serves.
        for record in snapshot.members.iter().chain(&snapshot.vms) {
            self.apply_record(&record.key, &record.value, record.revision, &mut effects);
        }
        self.synced_revision = snapshot.store_revision;
        effects
    }

    /// Returns the records that are newer than those of the requesting peer.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = peer::SnapshotReply {
            config_revision: self.config.revision(),
            store_revision: self.synced_revision,
            ..peer::SnapshotReply::default()
        };
        if request.config_revision < reply.config_revision
            && let Some(config) = self.config.get()
        {
            reply.config = config.text.to_string();
        }
        if request.store_revision < reply.store_revision {
            reply.vms = self
                .vms
                .iter()
                .filter_map(|(name, stored)| {
                    let value = stored.get()?.as_ref()?.value.clone();
                    Some(peer::Record { key: key::vm(name), value, revision: stored.revision() })
                })
                .collect();
            reply.members = self
                .members
                .iter()
                .filter_map(|(key, stored)| {
                    let (_, value) = stored.record.as_ref()?;
                    let (key, value) = (key.clone(), value.clone());
                    Some(peer::Record { key, value, revision: stored.revision })
                })
                .collect();
            // A drain request missing here counts as withdrawn.
            reply.members.extend(self.drain_records());
        }
        reply
    }
}
