//! Signals that ask the process to stop or to read its settings again.

use tokio::signal::unix;

/// Installs the handler of SIGHUP and returns its signals. Without one the signal ends the
/// process, so a daemon calls this before anything else. A signal that came before the first
/// call of `recv` is kept.
///
/// # Errors
///
/// Returns an error if the signal handler can't be installed.
pub fn hangups() -> std::io::Result<unix::Signal> {
    unix::signal(unix::SignalKind::hangup())
}

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
