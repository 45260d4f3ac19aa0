//! Which record is kept under which key.
//!
//! What every process has to know lies under the one prefix [`SHARED`], so
//! that one watch a process carries it all: a waiting watch counts as a call.

use corianderfork_model::Name;

use crate::record::Role;

/// The prefix of what every process watches.
pub const SHARED: &str = "shared/";
/// The operators' configuration: [`crate::record::Config`].
pub const CONFIG: &str = "shared/config";
/// The prefix of all VM records.
pub const VMS: &str = "shared/vm/";
/// The prefix of the operators' drains.
pub const DRAINS: &str = "shared/drain/";
/// The prefix of the members of all roles.
pub const MEMBERS: &str = "shared/member/";
/// The lease under which one controller decides: [`crate::record::Holder`].
pub const PLANNER: &str = "lease/planner";
/// The maintenance wave under way: [`crate::record::Wave`].
pub const WAVE: &str = "wave/current";
/// What the controller decided last and why: [`crate::record::Explain`].
pub const EXPLAIN: &str = "explain/current";
/// What the controller that decides has heard of operators: [`crate::record::OperatorRevision`].
pub const OPERATOR_REVISION: &str = "heard/operators";
/// The prefix of the audit trail.
pub const AUDIT: &str = "audit/";
/// The prefix of the claims on ids of non-idempotent requests.
pub const CLAIMS: &str = "claim/";

/// The record of a VM: [`crate::record::Vm`].
pub fn vm(name: &Name) -> String {
    format!("{VMS}{name}")
}

/// An operator's wish to drain a VM: [`crate::record::Drain`].
pub fn drain(vm: &Name) -> String {
    format!("{DRAINS}{vm}")
}

/// The record of a member: [`crate::record::Member`].
pub fn member(role: Role, name: &Name) -> String {
    format!("{MEMBERS}{role}/{name}")
}

/// Into how many shards claims on ids are divided.
///
/// No setting: were two proxies to divide differently, or one to start with
/// another number while ids are remembered, an id would have two journals and
/// could run twice. Four owners that write at most each 20 ms stay within 200
/// writes a second, however many entry VMs or requests there are.
pub const CLAIM_SHARDS: u32 = 4;
/// The prefix of the owners of shards: every proxy watches who they are.
pub const CLAIM_OWNERS: &str = "shared/claim/";

/// The owner of a shard of claims: [`crate::record::Holder`].
pub fn claim_owner(shard: u32) -> String {
    format!("{CLAIM_OWNERS}{shard}")
}

/// The prefix of a shard's segments.
pub fn claim_log(shard: u32) -> String {
    format!("{CLAIMS}{shard}/log/")
}

/// A segment of a shard's claims.
pub fn claim_segment(shard: u32, segment: u64) -> String {
    format!("{}{segment:08}", claim_log(shard))
}

/// A segment of the audit trail: [`crate::record::AuditSegment`].
pub fn audit(segment: u64) -> String {
    format!("{AUDIT}{segment:08}")
}
