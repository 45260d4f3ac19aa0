//! Snapshots of the records, exchanged between peers.

use corianderfork_provider::key;
use corianderfork_provider::record::Config;
use corianderfork_provider::store::{Entry, Revision};
use corianderfork_wire::peer;
use serde::Serialize;

use super::View;

impl View {
    /// Returns the records that are newer than those of the requesting peer.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = peer::SnapshotReply {
            config_revision: self.config_revision(),
            store_revision: self.synced_revision().0,
            ..peer::SnapshotReply::default()
        };
        if let Some((revision, active)) = self.config()
            && revision > request.config_revision
        {
            reply.config.clone_from(&active.text);
        }
        if self.synced_revision().0 > request.store_revision {
            let vms = self.vms().map(|(name, vm)| (key::vm(name), vm));
            reply.vms =
                vms.filter_map(|(key, vm)| to_record(key, &vm.record, vm.revision.0)).collect();
            let members =
                self.members().map(|member| (key::member(member.role, &member.name), member));
            reply.members = members.filter_map(|(key, member)| to_record(key, member, 0)).collect();
            // A proxy treats a drain request that is missing here as removed,
            // and would send requests to the drained VM again.
            reply.members.extend(self.drain_records());
        }
        reply
    }

    /// Applies a peer's snapshot. Returns whether it brought a configuration
    /// into force.
    pub fn on_snapshot(&mut self, snapshot: &peer::SnapshotReply) -> bool {
        let mut config_changed = false;
        if !snapshot.config.is_empty() {
            // Peers send the plain text; an entry of the store holds a record
            // around it.
            let text = serde_json::from_str::<Config>(&snapshot.config).map(|config| config.text);
            let text = text.unwrap_or_else(|_| snapshot.config.clone());
            config_changed = self.offer_config(snapshot.config_revision, &text);
        }
        for record in &snapshot.vms {
            let entry = to_entry(record);
            self.on_entry(&record.key, entry.revision, Some(&entry));
        }
        self.on_peer_drains(&snapshot.members);
        config_changed
    }
}

pub(super) fn to_record(
    key: String,
    value: &impl Serialize,
    revision: u64,
) -> Option<peer::Record> {
    let value = serde_json::to_string(value).ok()?;
    Some(peer::Record { key, value, revision })
}

/// Converts a peer's record to an entry of the store.
pub(super) fn to_entry(record: &peer::Record) -> Entry {
    let (key, value) = (record.key.clone(), record.value.clone());
    Entry { key, value, revision: Revision(record.revision), lease: None }
}
