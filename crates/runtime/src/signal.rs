//! Handlers of SIGTERM and SIGINT for a graceful stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `stop` on a separate thread for each signal.
///
/// # Errors
///
/// Returns an error if the handlers or the thread cannot be set up.
pub fn on_stop(mut stop: impl FnMut() + Send + 'static) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            stop();
        }
    })?;
    Ok(())
}
