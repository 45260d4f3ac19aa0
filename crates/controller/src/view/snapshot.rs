//! The records as peers send them to each other.

use corianderfork_provider::key;
use corianderfork_provider::record::Config;
use corianderfork_provider::store::{Entry, Revision};
use corianderfork_wire::peer;
use serde::Serialize;

use super::View;

impl View {
    /// What a peer asks for that knows less.
    pub fn snapshot(&self, request: &peer::SnapshotRequest) -> peer::SnapshotReply {
        let mut reply = peer::SnapshotReply {
            config_revision: self.config_revision(),
            store_revision: self.complete().0,
            ..peer::SnapshotReply::default()
        };
        if let Some((revision, active)) = self.config()
            && revision > request.config_revision
        {
            reply.config.clone_from(&active.text);
        }
        if self.complete().0 > request.store_revision {
            let vms = self.vms().map(|(name, held)| (key::vm(name), held));
            reply.vms =
                vms.filter_map(|(key, held)| record(key, &held.record, held.revision.0)).collect();
            let members =
                self.members().map(|member| (key::member(member.role, &member.name), member));
            reply.members = members.filter_map(|(key, member)| record(key, member, 0)).collect();
            // A proxy takes a wish that is missing here for one that is over,
            // and would send requests to the drained VM again.
            reply.members.extend(self.wish_records());
        }
        reply
    }

    /// Takes in what a peer sent; says whether a configuration came into force.
    pub fn on_snapshot(&mut self, snapshot: &peer::SnapshotReply) -> bool {
        let mut is_news = false;
        if !snapshot.config.is_empty() {
            // Peers send the text, an entry of the store holds a record around it.
            let text = serde_json::from_str::<Config>(&snapshot.config).map(|config| config.text);
            let text = text.unwrap_or_else(|_| snapshot.config.clone());
            is_news = self.offer_config(snapshot.config_revision, &text);
        }
        for one in &snapshot.vms {
            let entry = entry(one);
            self.on_entry(&one.key, entry.revision, Some(&entry));
        }
        self.on_wishes(&snapshot.members);
        is_news
    }
}

pub(super) fn record(key: String, value: &impl Serialize, revision: u64) -> Option<peer::Record> {
    let value = serde_json::to_string(value).ok()?;
    Some(peer::Record { key, value, revision })
}

/// A record of a peer as an entry of the store.
pub(super) fn entry(record: &peer::Record) -> Entry {
    let (key, value) = (record.key.clone(), record.value.clone());
    Entry { key, value, revision: Revision(record.revision), lease: None }
}
