//! Structured logs on standard output, one JSON object per line, with a level per
//! module.
//!
//! Logging never blocks: lines go through a bounded queue to a separate thread, and
//! lines are dropped while the queue is full. The number of dropped lines is logged
//! once the queue has space again.
//!
//! API keys and the text of requests and responses must not be logged. Log calls
//! therefore contain only ids, counts and typed errors.

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

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: num::NonZeroUsize = num::NonZeroUsize::new(4_096).unwrap();

/// Why the logs could not be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A log level is unknown.
    #[snafu(display("{found}: expected off, error, warn, info, debug or trace"))]
    UnknownLevel {
        /// The unknown level.
        found: String,
    },
    /// The logging library failed to start.
    #[snafu(display("logs: {source}"))]
    Setup {
        /// Error of the logging library.
        source: spdlog::Error,
    },
}

/// A default log level, and levels of single modules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    default: LevelFilter,
    /// Path prefixes of modules with their levels, longest first.
    modules: Vec<(String, LevelFilter)>,
}

impl Levels {
    /// Parses levels such as `info,request=debug,process::entry=trace`. The default
    /// level is `info`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first unknown level.
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
        // The longest matching prefix decides, so the longest come first.
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

/// Queues the records that [`Levels`] allow for writing to standard output.
struct ModuleSink {
    levels: Levels,
    inner: sink::AsyncPoolSink,
    /// Number of lines dropped since the last one that was queued.
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

/// Sets up the logs of the process. Called once at the start.
///
/// # Errors
///
/// Returns an error if the logging library fails to start.
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
