//! A runtime on a thread of its own.
//!
//! The replicas exchange messages of the log, with time limits of a few hundred ms, while
//! gateways make thousands of calls a second. On one event loop each message waits behind
//! the calls that arrived before it. If that takes as long as a leader lease, no leader can
//! prove that it leads, and no election succeeds. The threads share the processor, so the
//! operating system lets the messages through.
//!
//! Not isolated are the decisions of the leader itself: both threads take its lock.

use std::{io, thread};

use tokio::{runtime, sync as tsync};

/// A running runtime. Its tasks end when this is dropped.
#[derive(Debug)]
pub(super) struct IsolatedRuntime {
    handle: runtime::Handle,
    /// Dropped to end the thread.
    _stop: tsync::oneshot::Sender<()>,
}

impl IsolatedRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not start it.
    pub(super) fn start(name: &str) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tsync::oneshot::channel();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            // An error means that the sender is dropped.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        })?;
        Ok(Self { handle, _stop: stop })
    }

    /// Returns the handle to spawn tasks with.
    pub(super) fn handle(&self) -> &runtime::Handle {
        &self.handle
    }
}
