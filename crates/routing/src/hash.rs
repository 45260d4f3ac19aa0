//! A hash that is identical in every process and release.
//!
//! The proxies divide slots by this hash without communicating. The standard
//! library's hasher may change between releases, and during a rolling update
//! old and new proxies would then assign the same slot twice.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes `parts`, marking the end of each. FNV-1a with a final mix, because
/// plain FNV hardly spreads the last byte, in which the names differ.
pub(crate) fn of(parts: &[&str]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    mix(bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
}

/// The finalizer of SplitMix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
