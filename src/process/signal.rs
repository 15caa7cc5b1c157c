//! Signals that ask the process to stop.

use tokio::signal::unix;

/// Returns a future that completes on SIGTERM or SIGINT. The signal handlers are
/// installed by the call itself.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub fn stop_requested() -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
