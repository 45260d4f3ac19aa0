//! A transport that records whether anything was sent on a connection.
//!
//! A request may be reported as "not run" only if no byte of it was sent. The error kinds
//! of the HTTP library do not show this: "host unreachable" can come from opening a
//! connection and also from one that already carried the request. So the transport itself
//! records the first write.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

/// Records whether a byte may have been sent.
#[derive(Debug, Default)]
pub struct WriteProbe {
    sent: AtomicBool,
}

impl WriteProbe {
    /// Returns whether a byte may have been sent.
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }
}

/// A connector that wraps the connections of the previous connector in the chain.
#[derive(Debug)]
pub struct Recorder {
    probe: Arc<WriteProbe>,
}

impl Recorder {
    /// Creates a connector whose connections record writes in `probe`.
    pub fn new(probe: Arc<WriteProbe>) -> Self {
        Self { probe }
    }
}

impl<T: Transport> Connector<T> for Recorder {
    type Out = RecordedTransport<T>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<T>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| RecordedTransport { inner, probe: Arc::clone(&self.probe) }))
    }
}

/// A connection that records the first write.
#[derive(Debug)]
pub struct RecordedTransport<T> {
    inner: T,
    probe: Arc<WriteProbe>,
}

impl<T: Transport> Transport for RecordedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // A process that was paused after it chose the runner resumes with its deadline
        // expired. If it still wrote, the request could reach a VM that a controller has
        // released in the meantime.
        if timeout.after.is_zero() {
            return Err(Error::Timeout(timeout.reason));
        }
        // Set before the write: a failed write may have sent a part.
        self.probe.sent.store(true, Ordering::SeqCst);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
