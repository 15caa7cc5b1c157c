//! A serving system that runs many models on few accelerators.
//!
//! Its processes run between callers and targets, which are model engines and other
//! services. Gateways and entry processes accept requests and forward them to targets,
//! and control replicas hold the replicated state. Operators configure the system with
//! versioned records or catalogs, and with API keys.
//!
//! # Example
//!
//! Parsing a record and applying it to a view, as every control replica and every
//! entry process does:
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
//! The modules are divided by the lifetime of the state that they manage:
//!
//! - [`request`]: state of single requests: limits, scheduling, retries and refusals;
//! - [`connection`]: state of connections: messages between processes, orders and
//!   announcements;
//! - [`version`]: replicated and versioned state: records, keys, the view, claims,
//!   placement and the Raft log;
//! - [`process`]: state of a process: the daemons, their settings, disks, clocks, logs
//!   and metrics.
//!
//! # Decisions
//!
//! Decisions are made by state machines that do no I/O: they take a typed event and
//! the time, and return typed actions. Examples are [`version::raft::Raft`],
//! [`request::schedule::Scheduler`], [`request::limit::owner::Owner`],
//! [`request::limit::holder::WorkspaceGrants`] and [`version::placement::Planner`]. The daemons
//! in [`process`] carry out the actions. Tests drive the same state machines without
//! daemons.
//!
//! # Safety
//!
//! No guarantee depends on synchronized clocks, only on monotonic clocks with bounded
//! drift. An unknown outcome counts as the worst case: an order that may still arrive
//! keeps its memory reserved, a non-idempotent request that may have run is not run
//! again, and tokens that may have been spent count as spent.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
