//! Growth of the buffer that a request's body is received into.

/// The smallest buffer, in bytes.
const MIN_SIZE: usize = 4 << 10;

/// Returns the size of the buffer for a body of which `length` bytes have arrived, given the size
/// of its present buffer and the most that the body can still be. Doubling keeps the time for
/// copies linear.
///
/// ```
/// use corianderfork_entry::buffer::next_size;
///
/// assert_eq!(next_size(10, 0, 300), 300);
/// assert_eq!(next_size(5_000, 4_096, 1 << 20), 8_192);
/// assert_eq!(next_size(5_000, 4_096, 6_000), 6_000);
/// assert_eq!(next_size(4_000, 4_096, 6_000), 4_096);
/// ```
pub fn next_size(length: usize, present: usize, max: usize) -> usize {
    if length <= present {
        return present;
    }
    length.max(MIN_SIZE).max(2 * present).min(max.max(length))
}
