//! The daemons and the command line, with what they need of the operating system:
//! clock, disk, logs, metrics, settings and signals.

pub mod clock;
pub mod command;
pub mod control;
pub mod disk;
pub mod entry;
pub mod gateway;
mod lag;
mod limits;
pub mod log;
pub mod metrics;
pub mod replica;
pub mod settings;
pub mod signal;
pub mod timeline;
