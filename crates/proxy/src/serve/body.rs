//! Reads request bodies within a size limit and a limit on the workers that do so.

use std::io::Read;
use std::sync::atomic::Ordering;

use super::Frontend;
use crate::request::{Error, Head, Request};

impl Frontend {
    pub(super) fn read_body(
        &self,
        request: &mut tiny_http::Request,
        head: &Head,
        mut checked: Request,
    ) -> Result<Request, Error> {
        let length = head.length()?;
        let max = self.config.max_body;
        if length.is_some_and(|length| length > max as u64) {
            return Err(Error::LongBody(max));
        }
        if length == Some(0) {
            return Ok(checked);
        }
        checked.body = self.read_limited(request, max)?;
        if checked.body.len() > max {
            return Err(Error::LongBody(max));
        }
        if length.is_some_and(|length| length != checked.body.len() as u64) {
            return Err(Error::ShortBody);
        }
        Ok(checked)
    }

    /// tiny_http has no read timeout, so a caller that sends slowly occupies a worker. At
    /// most about half of the workers read bodies; the others stay free for requests that
    /// have arrived completely.
    fn read_limited(&self, request: &mut tiny_http::Request, max: usize) -> Result<Vec<u8>, Error> {
        let others = self.body_readers.fetch_add(1, Ordering::SeqCst);
        let result = if others > self.config.worker_threads / 2 {
            Err(Error::Busy)
        } else {
            let mut body = Vec::new();
            let read = request.as_reader().take(max as u64 + 1).read_to_end(&mut body);
            read.map(|_| body).map_err(|_| Error::ShortBody)
        };
        self.body_readers.fetch_sub(1, Ordering::SeqCst);
        result
    }
}
