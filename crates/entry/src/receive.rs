//! Receiving of request bodies.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use tokio::time::timeout;

use crate::buffer;

/// How long a client may send nothing before the end of a body. Bytes that a partition or a lost
/// packet held up arrive sooner.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Receives a body of at most `max` bytes. Returns `None` if it is longer, is cut off or makes no
/// progress.
///
/// The body is copied into one buffer: a chunk of a few bytes would otherwise keep the whole buffer
/// that it was read into.
pub async fn receive(mut incoming: Incoming, max: usize) -> Option<Bytes> {
    let announced = incoming.size_hint();
    let to_usize = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    if to_usize(announced.lower()) > max {
        return None;
    }
    let longest = announced.upper().map_or(max, |bytes| max.min(to_usize(bytes)));
    let mut bytes = Vec::new();
    loop {
        let Some(frame) = timeout(PROGRESS_TIMEOUT, incoming.frame()).await.ok()? else {
            return Some(bytes.into());
        };
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max {
            return None;
        }
        let size = buffer::next_size(length, bytes.capacity(), longest);
        bytes.reserve_exact(size - bytes.len());
        bytes.extend_from_slice(&data);
    }
}
