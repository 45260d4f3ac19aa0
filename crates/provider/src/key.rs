//! The keys of the store.
//!
//! Everything that all processes need is under the one prefix [`SHARED`], so
//! that each process needs a single watch: a waiting watch counts as a call.

use corianderfork_model::Name;

use crate::record::Role;

/// The prefix that every process watches.
pub const SHARED: &str = "shared/";
/// The configuration: [`crate::record::Config`].
pub const CONFIG: &str = "shared/config";
/// The prefix of the VM records: [`crate::record::Vm`].
pub const VMS: &str = "shared/vm/";
/// The prefix of the operators' drain requests: [`crate::record::Drain`].
pub const DRAINS: &str = "shared/drain/";
/// The prefix of the members of all roles: [`crate::record::Member`].
pub const MEMBERS: &str = "shared/member/";
/// The leader lease of the controllers: [`crate::record::Holder`].
pub const PLANNER: &str = "lease/planner";
/// The current maintenance wave: [`crate::record::Wave`].
pub const WAVE: &str = "wave/current";
/// The controller's last decision and its reasons: [`crate::record::Explain`].
pub const EXPLAIN: &str = "explain/current";
/// The newest operator write that the leading controller knows of:
/// [`crate::record::OperatorRevision`].
pub const OPERATOR_REVISION: &str = "heard/operators";
/// The prefix of the audit trail.
pub const AUDIT: &str = "audit/";
/// The prefix of the claims of request ids (non-idempotent requests).
pub const CLAIMS: &str = "claim/";

/// Returns the key of a [`crate::record::Vm`].
pub fn vm(name: &Name) -> String {
    format!("{VMS}{name}")
}

/// Returns the key of a [`crate::record::Drain`].
pub fn drain(vm: &Name) -> String {
    format!("{DRAINS}{vm}")
}

/// Returns the key of a [`crate::record::Member`].
pub fn member(role: Role, name: &Name) -> String {
    format!("{MEMBERS}{role}/{name}")
}

/// The number of shards of request ids.
///
/// Not a setting: if two proxies used different numbers, or a proxy restarted
/// with another number while ids are still remembered, an id would have two
/// journals and its request could run twice. Four owners that write at most
/// every 20 ms stay within 200 writes per second, regardless of the number of
/// entry VMs and requests.
pub const CLAIM_SHARDS: u32 = 4;
/// The prefix of the owners of shards, which every proxy watches.
pub const CLAIM_OWNERS: &str = "shared/claim/";

/// Returns the key of the owner of a shard: [`crate::record::Holder`].
pub fn claim_owner(shard: u32) -> String {
    format!("{CLAIM_OWNERS}{shard}")
}

/// Returns the prefix of the claim segments of a shard.
pub fn claim_log(shard: u32) -> String {
    format!("{CLAIMS}{shard}/log/")
}

/// Returns the key of one claim segment of a shard.
pub fn claim_segment(shard: u32, segment: u64) -> String {
    format!("{}{segment:08}", claim_log(shard))
}

/// Returns the key of a segment of the audit trail:
/// [`crate::record::AuditSegment`].
pub fn audit(segment: u64) -> String {
    format!("{AUDIT}{segment:08}")
}
