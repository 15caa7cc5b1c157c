//! Structured logs on standard output, one JSON object a line, with a level per
//! module.
//!
//! Logging never waits: lines go through a bounded queue to a thread of their
//! own, and a line that finds the queue full is dropped. How many were dropped is
//! logged once there is room again.
//!
//! Neither keys nor the text of requests or answers may be logged. Log calls
//! therefore name only ids, counts and typed errors.

use std::{
    num,
    sync::{
        self,
        atomic::{self, AtomicU64},
    },
};

use snafu::Snafu;
use spdlog::{
    Level, LevelFilter, Record, ThreadPool, formatter,
    sink::{self, SinkPropAccess},
};

/// Lines that may wait to be written.
const MAX_QUEUED_LINES: num::NonZeroUsize = num::NonZeroUsize::new(4_096).unwrap();

/// The logs could not be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A level is not known.
    #[snafu(display("{found}: expected off, error, warn, info, debug or trace"))]
    UnknownLevel {
        /// What was given.
        found: String,
    },
    /// The library refused.
    #[snafu(display("logs: {source}"))]
    Setup {
        /// What it says.
        source: spdlog::Error,
    },
}

/// Levels: one for all modules, and others for some.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    default: LevelFilter,
    /// Module paths with their levels.
    modules: Vec<(String, LevelFilter)>,
}

impl Levels {
    /// Reads levels such as `info,request=debug,process::entry=trace`.
    ///
    /// # Errors
    ///
    /// Returns an error that names what is not a level.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut levels =
            Self { default: LevelFilter::MoreSevereEqual(Level::Info), modules: Vec::new() };
        for part in text.split(',').filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                Some((module, level)) => {
                    let module = format!("hornbeamdock::{module}");
                    levels.modules.push((module, parse_level(level)?));
                }
                None => levels.default = parse_level(part)?,
            }
        }
        // The longest module that matches decides.
        levels.modules.sort_by_key(|(module, _)| std::cmp::Reverse(module.len()));
        Ok(levels)
    }

    fn allows(&self, level: Level, module: Option<&str>) -> bool {
        let found = self
            .modules
            .iter()
            .find(|(prefix, _)| module.is_some_and(|m| m.starts_with(prefix.as_str())));
        found.map_or(self.default, |(_, filter)| *filter).test(level)
    }
}

fn parse_level(text: &str) -> Result<LevelFilter, Error> {
    let level = match text {
        "off" => return Ok(LevelFilter::Off),
        "error" => Level::Error,
        "warn" => Level::Warn,
        "info" => Level::Info,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => return Err(Error::UnknownLevel { found: text.to_owned() }),
    };
    Ok(LevelFilter::MoreSevereEqual(level))
}

/// Queues the records that the levels allow to standard output.
struct ModuleSink {
    levels: Levels,
    inner: sink::AsyncPoolSink,
    /// Lines dropped since the last one that was queued.
    dropped: AtomicU64,
}

impl SinkPropAccess for ModuleSink {
    fn level_filter(&self) -> LevelFilter {
        self.inner.level_filter()
    }

    fn set_level_filter(&self, filter: LevelFilter) {
        self.inner.set_level_filter(filter);
    }

    fn set_formatter(&self, formatter: Box<dyn formatter::Formatter>) {
        self.inner.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: spdlog::ErrorHandler) {
        self.inner.set_error_handler(handler);
    }
}

impl sink::Sink for ModuleSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let module = record.source_location().map(spdlog::SourceLocation::module_path);
        if !self.levels.allows(record.level(), module) {
            return Ok(());
        }
        if self.inner.log(record).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            spdlog::warn!("log lines were dropped", kv: { lines = dropped });
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }
}

/// Sets the process's logs up.
///
/// # Errors
///
/// Returns an error if the library refuses.
pub fn init(levels: Levels) -> Result<(), Error> {
    let build = || {
        let stream = sink::StdStreamSink::builder()
            .std_stream(sink::StdStream::Stdout)
            .formatter(formatter::JsonFormatter::new())
            .build_arc()?;
        let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
        let inner = sink::AsyncPoolSink::builder()
            .overflow_policy(sink::OverflowPolicy::DropIncoming)
            .thread_pool(pool)
            .sink(stream)
            .build()?;
        let dropped = AtomicU64::new(0);
        spdlog::Logger::builder()
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Error))
            .sink(sync::Arc::new(ModuleSink { levels, inner, dropped }))
            .build_arc()
    };
    let logger = build().map_err(|source| Error::Setup { source })?;
    spdlog::set_default_logger(logger);
    Ok(())
}
