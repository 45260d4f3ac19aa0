//! 128 bits as 22 characters, safe in JSON without escapes.

/// The digits of base 64 as in RFC 4648, section 5.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// How many digits 128 bits take.
pub(super) const LEN: usize = 22;

/// The text of `bits`, the most significant digit first.
pub(super) fn encode(bits: u128) -> String {
    let digit = |at: usize| DIGITS[(bits >> (6 * (LEN - 1 - at))) as usize & 63] as char;
    (0..LEN).map(digit).collect()
}

/// The bits of a text, or `None` if it isn't one of [`encode`]'s.
pub(super) fn decode(s: &str) -> Option<u128> {
    if s.len() != LEN {
        return None;
    }
    let mut bits = 0u128;
    for byte in s.bytes() {
        let digit = DIGITS.iter().position(|&d| d == byte)?;
        if bits >> (128 - 6) != 0 {
            return None;
        }
        bits = bits << 6 | digit as u128;
    }
    Some(bits)
}
