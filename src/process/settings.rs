//! Settings of the daemons, from flags and environment variables. All problems are
//! reported at once.

use std::{collections, fmt, net, path, time};

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::Snafu;

use crate::version::{key, raft};

use super::{control, entry, log};

/// Minimum length of the cluster's secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A missing or invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Message that states the expected value.
    pub expected: String,
}

/// All problems of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", ProblemLines(problems)))]
pub struct Error {
    /// The problems, at least one.
    pub problems: Vec<Problem>,
}

struct ProblemLines<'p>(&'p [Problem]);

impl fmt::Display for ProblemLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}--{}: {}", problem.flag, problem.expected)?;
        }
        Ok(())
    }
}

/// Settings of an entry daemon.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Options of the daemon.
    pub options: entry::Options,
    /// Log levels.
    pub levels: log::Levels,
    /// Whether to exit after the settings were checked.
    pub check_only: bool,
}

/// Settings of a control daemon.
#[derive(Clone, Debug)]
pub struct Control {
    /// Options of the daemon.
    pub options: control::Options,
    /// Log levels.
    pub levels: log::Levels,
    /// Whether to exit after the settings were checked.
    pub check_only: bool,
}

/// Reads settings and collects their problems. A setting with a problem reads as a
/// placeholder, since [`Reader::finish`] then returns an error.
struct Reader<'m> {
    matches: &'m ArgMatches,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn required(&mut self, flag: &'static str) -> String {
        let text = self.matches.get_one::<String>(flag).cloned().unwrap_or_default();
        if text.is_empty() {
            self.add_problem(flag, "expected a value, but it is not set".into());
        }
        text
    }

    fn parse<T: std::str::FromStr>(&mut self, flag: &'static str, expected: &str) -> Option<T> {
        let text = self.required(flag);
        let parsed = text.parse().ok();
        if parsed.is_none() && !text.is_empty() {
            self.add_problem(flag, format!("expected {expected}, found {text:?}"));
        }
        parsed
    }

    fn address(&mut self, flag: &'static str) -> net::SocketAddr {
        self.parse(flag, "an IP address and port, such as 127.0.0.1:8080")
            .unwrap_or_else(|| net::SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn millis(&mut self, flag: &'static str) -> time::Duration {
        time::Duration::from_millis(self.parse(flag, "a number of ms").unwrap_or(0))
    }

    fn secret(&mut self) -> String {
        let secret = self.required("secret");
        if !secret.is_empty() && secret.len() < MIN_SECRET_BYTES {
            self.add_problem("secret", format!("expected at least {MIN_SECRET_BYTES} bytes"));
        }
        secret
    }

    fn replicas(
        &mut self,
        flag: &'static str,
    ) -> collections::BTreeMap<raft::NodeId, net::SocketAddr> {
        let text = self.required(flag);
        let mut replicas = collections::BTreeMap::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let pair = part.split_once('=');
            let parsed =
                pair.and_then(|(id, address)| Some((id.parse().ok()?, address.parse().ok()?)));
            match parsed {
                Some((id, address)) if !replicas.contains_key(&id) => {
                    replicas.insert(id, address);
                }
                Some((id, _)) => self.add_problem(flag, format!("replica {id} is given twice")),
                None => self.add_problem(flag, format!("expected ID=IP:PORT, found {part:?}")),
            }
        }
        replicas
    }

    fn levels(&mut self) -> log::Levels {
        let text = self.required("log");
        match log::Levels::parse(&text) {
            Ok(levels) => levels,
            Err(error) => {
                self.add_problem("log", error.to_string());
                log::Levels::parse("")
                    .unwrap_or_else(|_| unreachable!("an empty text has no unknown level"))
            }
        }
    }

    fn add_problem(&mut self, flag: &'static str, expected: String) {
        self.problems.push(Problem { flag, expected });
    }

    fn finish<T>(self, settings: T) -> Result<T, Error> {
        if self.problems.is_empty() {
            return Ok(settings);
        }
        Err(Error { problems: self.problems })
    }
}

/// Returns the definition of the command line of the entry daemon.
#[must_use]
pub fn entry_command() -> Command {
    common(Command::new("hornbeamdock-entry"))
        .about("Accepts requests and forwards them to targets. Stores no durable state.")
        .arg(setting(
            "name",
            "HORNBEAMDOCK_NAME",
            "Name of this process, unique among entry processes",
        ))
        .arg(setting("domain", "HORNBEAMDOCK_DOMAIN", "Failure domain of this instance"))
        .arg(
            setting(
                "listen",
                "HORNBEAMDOCK_LISTEN",
                "Address for callers and operators, as IP:PORT",
            )
            .default_value("127.0.0.1:8080"),
        )
        .arg(
            setting(
                "internal",
                "HORNBEAMDOCK_INTERNAL",
                "Address for announcements of targets, as IP:PORT",
            )
            .default_value("127.0.0.1:8081"),
        )
        .arg(setting(
            "control",
            "HORNBEAMDOCK_CONTROL",
            "Control replicas, as ID=IP:PORT,ID=IP:PORT",
        ))
        .arg(
            setting(
                "notice-ms",
                "HORNBEAMDOCK_NOTICE_MS",
                "How long to accept requests after SIGTERM, in ms, so that load balancers notice",
            )
            .default_value("3000"),
        )
        .arg(
            setting(
                "drain-ms",
                "HORNBEAMDOCK_DRAIN_MS",
                "How long requests in flight may take after that, in ms",
            )
            .default_value("600000"),
        )
}

/// Returns the definition of the command line of the control daemon.
#[must_use]
pub fn control_command() -> Command {
    common(Command::new("hornbeamdock-control"))
        .about("Holds the replicated state. Runs as a single replica or in a group of 3 or 5.")
        .arg(setting("id", "HORNBEAMDOCK_ID", "Id of this replica, as in --peers"))
        .arg(setting("domain", "HORNBEAMDOCK_DOMAIN", "Failure domain of this instance"))
        .arg(setting(
            "peers",
            "HORNBEAMDOCK_PEERS",
            "All replicas, including this one, as ID=IP:PORT,ID=IP:PORT",
        ))
        .arg(setting("data", "HORNBEAMDOCK_DATA", "Folder for durable state"))
        .arg(
            setting(
                "first-key",
                "HORNBEAMDOCK_FIRST_KEY",
                "Key hbd.<id>.<secret>, granted as operator of the system if there is no other",
            )
            .required(false),
        )
        .arg(
            setting(
                "election-ms",
                "HORNBEAMDOCK_ELECTION_MS",
                "Minimum time without a leader before an election, in ms",
            )
            .default_value("1000"),
        )
}

fn common(command: Command) -> Command {
    command
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            setting(
                "secret",
                "HORNBEAMDOCK_SECRET",
                "Secret shared by all processes of the system; preferably set by the variable",
            )
            .hide_env_values(true),
        )
        .arg(
            setting(
                "log",
                "HORNBEAMDOCK_LOG",
                "Log levels, such as info,request=debug,process::entry=trace",
            )
            .default_value("info"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn setting(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(variable).help(help).value_name("VALUE")
}

/// Reads the settings of an entry daemon from the parsed command line.
///
/// # Errors
///
/// Returns an error that names every problem.
pub fn entry(matches: &ArgMatches) -> Result<Entry, Error> {
    let mut reader = Reader { matches, problems: Vec::new() };
    let control_replicas = reader.replicas("control");
    let options = entry::Options {
        name: reader.required("name"),
        domain: reader.required("domain"),
        listen: reader.address("listen"),
        internal_listen: reader.address("internal"),
        control_replicas,
        secret: reader.secret(),
        shutdown_delay: reader.millis("notice-ms"),
        drain_timeout: reader.millis("drain-ms"),
    };
    let levels = reader.levels();
    reader.finish(Entry { options, levels, check_only: matches.get_flag("check") })
}

/// Reads the settings of a control daemon from the parsed command line.
///
/// # Errors
///
/// Returns an error that names every problem.
pub fn control(matches: &ArgMatches) -> Result<Control, Error> {
    let mut reader = Reader { matches, problems: Vec::new() };
    let id: raft::NodeId = reader.parse("id", "a number").unwrap_or_default();
    let peers = reader.replicas("peers");
    let listen = peers.get(&id).copied();
    if listen.is_none() && !peers.is_empty() {
        reader.add_problem("peers", format!("this replica, {id}, is missing"));
    }
    let election_timeout = reader.millis("election-ms");
    if election_timeout < time::Duration::from_millis(100) {
        reader.add_problem("election-ms", "expected at least 100".into());
    }
    let first_key = first_key(&mut reader);
    let listen = listen.unwrap_or_else(|| net::SocketAddr::from(([127, 0, 0, 1], 0)));
    let data = path::PathBuf::from(reader.required("data"));
    let secret = reader.secret();
    let options = control::Options {
        domain: reader.required("domain"),
        peers,
        first_key,
        election_timeout,
        ..control::Options::new(id, listen, &data, &secret)
    };
    let levels = reader.levels();
    reader.finish(Control { options, levels, check_only: matches.get_flag("check") })
}

fn first_key(reader: &mut Reader<'_>) -> Option<key::Presented> {
    let text = reader.matches.get_one::<String>("first-key")?;
    let presented = key::Presented::parse(text);
    if presented.is_none() {
        reader.add_problem("first-key", "expected hbd.<id>.<secret>".into());
    }
    presented
}
