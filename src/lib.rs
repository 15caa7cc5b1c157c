//! A serving system that runs many models on few accelerators.
//!
//! Its processes stand between callers and targets, which are model engines and
//! plain services. Entries take requests, control replicas hold the replicated
//! state, and operators drive the system by versioned records and by keys.
//!
//! # Example
//!
//! Reading a record and putting it in force in a view, as every replica and
//! every entry does:
//!
//! ```
//! use hornbeamdock::version::{record::wire, view};
//!
//! let records = wire::parse(
//!     r#"{"schema": 2, "kind": "workspace", "name": "shop", "version": 1,
//!         "rate": 1000, "burst": 5000}"#,
//! )?;
//! let mut view = view::View::default();
//! view.apply(1, 0, &view::Command::PutRecords(records))?;
//! assert_eq!(view.workspace("shop").map(|w| w.rate), Some(1000));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Layers
//!
//! The modules follow the life span of what they hold:
//!
//! - [`request`]: limits, scheduling, retries and refusals;
//! - [`connection`]: messages between processes, orders and announcements;
//! - [`version`]: records, keys, the view, claims, placement and the log;
//! - [`process`]: the daemons, their settings, disks, clocks, logs and metrics.
//!
//! # Decisions
//!
//! Every decision is a state machine without input or output: it takes a typed
//! event and the time, and returns typed actions. [`version::raft::Raft`],
//! [`request::schedule::Scheduler`], [`request::limit::owner::Owner`],
//! [`request::limit::holder::WorkspaceGrants`] and
//! [`version::placement::Planner`] are such machines. The daemons in
//! [`process`] carry out what they decide, so a test drives the very code that
//! serves.
//!
//! # Safety
//!
//! No promise rests on synchronised clocks, only on monotonic clocks with
//! bounded drift. Whatever is not known counts as the worst case: an order that
//! may arrive keeps its memory reserved, a call that may have run is not run
//! again, and tokens that may have been spent are spent.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
