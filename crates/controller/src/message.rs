//! Conversion of members to and from the peer protocol.

use corianderfork_model::Name;
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

/// Decodes a member that a peer sent. Returns `None` if a field is invalid.
pub fn decode_member(message: &peer::Member) -> Option<Member> {
    let role = match message.role() {
        peer::Role::Proxy => Role::Proxy,
        peer::Role::Controller => Role::Controller,
        peer::Role::Unspecified => return None,
    };
    Some(Member {
        name: Name::new(&message.name).ok()?,
        role,
        incarnation: message.incarnation,
        data_centre: Name::new(&message.data_centre).ok()?,
        peers: message.peers.parse().ok()?,
        callers: None,
    })
}

/// Encodes a member for a peer.
pub fn encode_member(member: &Member) -> peer::Member {
    let role = match member.role {
        Role::Proxy => peer::Role::Proxy,
        Role::Controller => peer::Role::Controller,
    };
    peer::Member {
        name: member.name.to_string(),
        role: role.into(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.to_string(),
        peers: member.peers.to_string(),
    }
}
