//! HTTP endpoints for readiness, liveness and metrics, with a server for daemons
//! that do not serve callers.

use std::net::SocketAddr;
use std::sync::Arc;

use tiny_http::{Response, Server};

use crate::metrics::Metrics;

/// The path of the readiness check.
pub const READY: &str = "/-/ready";
/// The path of the liveness check.
pub const LIVE: &str = "/-/live";
/// The path of the metrics.
pub const METRICS: &str = "/-/metrics";

/// Returns why the process is not ready, or `None` if it is ready.
pub type Ready = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Returns the status and body for a path of this module, or `None` for any other
/// path.
pub fn answer(path: &str, metrics: &Metrics, ready: &Ready) -> Option<(u16, String)> {
    match path {
        LIVE => Some((200, "live\n".to_owned())),
        READY => Some(match ready() {
            None => (200, "ready\n".to_owned()),
            Some(reason) => (503, format!("not ready: {reason}\n")),
        }),
        METRICS => Some((200, metrics.text())),
        _ => None,
    }
}

/// Serves the paths at `listen` on a separate thread and returns the bound
/// address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve(listen: SocketAddr, metrics: Metrics, ready: Ready) -> std::io::Result<SocketAddr> {
    let server = Server::http(listen).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(listen);
    std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
        for request in server.incoming_requests() {
            let (status, text) = answer(request.url(), &metrics, &ready)
                .unwrap_or((404, format!("try {READY}, {LIVE} or {METRICS}\n")));
            // Ignores clients that have disconnected: they repeat the request.
            let _ = request.respond(Response::from_string(text).with_status_code(status));
        }
    })?;
    Ok(bound)
}
