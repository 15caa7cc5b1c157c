//! Waiting to be asked to stop.

use tokio::signal::unix;

/// Completes on SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the handlers can't be installed.
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
