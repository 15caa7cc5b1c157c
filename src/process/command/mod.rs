//! Command-line tool for operators, a client of the administration API of entry
//! processes.

mod client;

use std::{fs, io, path};

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::{ResultExt as _, Snafu};

use crate::version::key;

use self::client::Client;
use super::{
    entry::api::{GrantV1, ScopeV1},
    timeline,
};

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No entry process could be reached. Names the last that was called.
    #[snafu(display("{entry}: {reason}"))]
    Unreachable {
        /// Address of the entry process, as in the argument.
        entry: String,
        /// Error of the connection.
        reason: String,
    },
    /// The entry process responded with an error.
    #[snafu(display("{status}: {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error message in the response.
        message: String,
    },
    /// A response could not be decoded, or JSON could not be encoded.
    #[snafu(display("unexpected response: {source}"))]
    InvalidResponse {
        /// Error of the JSON library.
        source: serde_json::Error,
    },
    /// An argument is missing or invalid.
    #[snafu(display("{argument}: {expected}"))]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// Message that states the expected value.
        expected: String,
    },
}

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("hornbeamdock")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a hornbeamdock system through any of its entry processes.")
        .subcommand_required(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .env("HORNBEAMDOCK_ENTRY")
                .default_value("127.0.0.1:8080")
                .value_delimiter(',')
                .global(true)
                .help("Entry processes, as IP:PORT,IP:PORT; the first that responds is used"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .env("HORNBEAMDOCK_KEY")
                .hide_env_values(true)
                .global(true)
                .default_value("")
                .help("API key of the operator; preferably set by the variable"),
        )
        .subcommand(
            Command::new("apply")
                .about("Apply records, all or none of them")
                .arg(file_arg())
                .arg(flag_arg("dry-run", "Only check the records"))
                .arg(flag_arg("wait", "Return once no entry process uses older records")),
        )
        .subcommand(
            Command::new("get")
                .about("Show the applied records")
                .arg(Arg::new("id").help("Show only this record, as kind/name")),
        )
        .subcommand(
            Command::new("diff").about("Compare records with the applied ones").arg(file_arg()),
        )
        .subcommand(
            Command::new("grant")
                .about("Grant a key and print it; it can't be shown again")
                .arg(Arg::new("id").required(true).help("Public part of the key"))
                .arg(Arg::new("workspace").long("workspace").help("Workspace of the key"))
                .arg(flag_arg("operator", "Let the key operate the workspace, or without a workspace the system"))
                .arg(
                    Arg::new("secret-key")
                        .long("secret-key")
                        .help("Grant this key, hbd.<id>.<secret>; for repeating a grant whose response was lost"),
                ),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key permanently")
                .arg(Arg::new("id").required(true).help("Public part of the key"))
                .arg(flag_arg("wait", "Return once no entry process accepts the key")),
        )
        .subcommand(Command::new("keys").about("List the keys"))
        .subcommand(
            Command::new("drain")
                .about("Send no more requests to a target; requests that it runs are completed")
                .arg(Arg::new("target").required(true).help("Name of the target")),
        )
        .subcommand(
            Command::new("evacuate")
                .about("Send no requests to the targets of a failure domain, until it is finished")
                .subcommand_required(true)
                .subcommand(
                    Command::new("begin").about("Begin an evacuation").arg(domain_arg()).arg(
                        flag_arg("wait", "Return once no entry process sends requests there"),
                    ),
                )
                .subcommand(
                    Command::new("finish").about("End an evacuation").arg(domain_arg()),
                )
                .subcommand(Command::new("list").about("List the evacuations")),
        )
        .subcommand(Command::new("status").about("Show the entry process, control replicas, targets and records"))
        .subcommand(
            Command::new("timeline").about("Show the events of all processes in causal order"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file").required(true).help("JSON file with one record or an array; - for stdin")
}

fn domain_arg() -> Arg {
    Arg::new("domain").required(true).help("Name of the failure domain")
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// Runs the command that was given, and returns its output.
///
/// # Errors
///
/// Returns an error if an argument is invalid, or no entry process can be reached or
/// accepts the command.
pub async fn run(matches: &ArgMatches) -> Result<String, Error> {
    let entries = matches.get_many::<String>("entry").into_iter().flatten().cloned().collect();
    let client = Client::new(entries, argument(matches, "key"));
    match matches.subcommand() {
        Some(("apply", m)) => apply(&client, m).await,
        Some(("get", m)) => get(&client, m).await,
        Some(("diff", m)) => diff(&client, m).await,
        Some(("grant", m)) => grant(&client, m).await,
        Some(("withdraw", m)) => {
            let wait = if m.get_flag("wait") { "?wait=true" } else { "" };
            let path = format!("keys/{}{wait}", argument(m, "id"));
            client.call(http::Method::DELETE, &path, Vec::new()).await
        }
        Some(("keys", _)) => pretty_json(&client.get("keys").await?),
        Some(("drain", m)) => {
            let path = format!("targets/{}/drain", argument(m, "target"));
            client.call(http::Method::POST, &path, Vec::new()).await
        }
        Some(("evacuate", m)) => evacuate(&client, m).await,
        Some(("status", _)) => pretty_json(&client.get("status").await?),
        _ => show_timeline(&client).await,
    }
}

fn argument<'m>(matches: &'m ArgMatches, name: &str) -> &'m str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn read_file(matches: &ArgMatches) -> Result<Vec<u8>, Error> {
    let path = path::Path::new(argument(matches, "file"));
    if path == path::Path::new("-") {
        let text = io::read_to_string(io::stdin()).context(ReadSnafu { path })?;
        return Ok(text.into_bytes());
    }
    fs::read(path).context(ReadSnafu { path })
}

fn pretty_json(response: &str) -> Result<String, Error> {
    let value: serde_json::Value = serde_json::from_str(response).context(InvalidResponseSnafu)?;
    serde_json::to_string_pretty(&value).context(InvalidResponseSnafu)
}

async fn apply(client: &Client, matches: &ArgMatches) -> Result<String, Error> {
    let mut options = Vec::new();
    if matches.get_flag("dry-run") {
        options.push("dry_run=true");
    }
    if matches.get_flag("wait") {
        options.push("wait=true");
    }
    let path = format!("records?{}", options.join("&"));
    client.call(http::Method::POST, &path, read_file(matches)?).await
}

async fn records(client: &Client) -> Result<Vec<serde_json::Value>, Error> {
    serde_json::from_str(&client.get("records").await?).context(InvalidResponseSnafu)
}

/// Returns the kind and name of a record.
fn record_id(record: &serde_json::Value) -> String {
    let field = |name: &str| record[name].as_str().unwrap_or_default().to_owned();
    format!("{}/{}", field("kind"), field("name"))
}

async fn get(client: &Client, matches: &ArgMatches) -> Result<String, Error> {
    let mut records = records(client).await?;
    if let Some(id) = matches.get_one::<String>("id") {
        records.retain(|r| record_id(r) == *id);
    }
    serde_json::to_string_pretty(&records).context(InvalidResponseSnafu)
}

/// Lists the records of a file that are not applied, and the fields in which others
/// differ from the applied records, one per line.
async fn diff(client: &Client, matches: &ArgMatches) -> Result<String, Error> {
    let bytes = read_file(matches)?;
    let given = String::from_utf8_lossy(&bytes).into_owned();
    let given = crate::version::record::wire::parse(&given)
        .map_err(|e| Error::Argument { argument: "file", expected: e.to_string() })?;
    let current = records(client).await?;
    let mut lines = Vec::new();
    for record in given {
        let given = crate::version::record::wire::to_json(&record);
        let id = record_id(&given);
        match current.iter().find(|c| record_id(c) == id) {
            None => lines.push(format!("+ {id} version {}", record.version)),
            Some(current) => lines.extend(differences(&id, current, &given)),
        }
    }
    Ok(if lines.is_empty() { "no difference".into() } else { lines.join("\n") })
}

fn differences(id: &str, current: &serde_json::Value, given: &serde_json::Value) -> Vec<String> {
    let empty = serde_json::Map::new();
    let current = current.as_object().unwrap_or(&empty);
    let given = given.as_object().unwrap_or(&empty);
    let names: std::collections::BTreeSet<_> = current.keys().chain(given.keys()).collect();
    let display = |value: Option<&serde_json::Value>| {
        value.map_or_else(|| "absent".to_owned(), ToString::to_string)
    };
    names
        .into_iter()
        .filter(|name| current.get(*name) != given.get(*name))
        .map(|name| {
            format!("~ {id} {name}: {} -> {}", display(current.get(name)), display(given.get(name)))
        })
        .collect()
}

async fn evacuate(client: &Client, matches: &ArgMatches) -> Result<String, Error> {
    let path = match matches.subcommand() {
        Some(("begin", m)) => {
            let wait = if m.get_flag("wait") { "?wait=true" } else { "" };
            format!("evacuations/{}/begin{wait}", argument(m, "domain"))
        }
        Some(("finish", m)) => format!("evacuations/{}/finish", argument(m, "domain")),
        _ => return pretty_json(&client.get("evacuations").await?),
    };
    client.call(http::Method::POST, &path, Vec::new()).await
}

async fn grant(client: &Client, matches: &ArgMatches) -> Result<String, Error> {
    let id = argument(matches, "id");
    if !key::is_valid_id(id) {
        let expected = "expected letters, digits, - and _".to_owned();
        return Err(Error::Argument { argument: "id", expected });
    }
    let workspace = matches.get_one::<String>("workspace").cloned();
    let scope = match (workspace, matches.get_flag("operator")) {
        (Some(workspace), false) => ScopeV1::Caller(workspace),
        (Some(workspace), true) => ScopeV1::Workspace(workspace),
        (None, true) => ScopeV1::System,
        (None, false) => {
            let expected = "expected --workspace, --operator, or both".to_owned();
            return Err(Error::Argument { argument: "workspace", expected });
        }
    };
    let given = matches.get_one::<String>("secret-key").cloned();
    let key = given.unwrap_or_else(|| key::generate(id));
    let body = GrantV1 { id: id.to_owned(), key: key.clone(), scope };
    let body = serde_json::to_vec(&body).context(InvalidResponseSnafu)?;
    client.call(http::Method::POST, "keys", body).await?;
    Ok(key)
}

/// Prints the merged time lines of all entry processes that respond. Each response
/// includes those of the control replicas.
async fn show_timeline(client: &Client) -> Result<String, Error> {
    let mut events = Vec::new();
    for response in client.get_all("timeline").await? {
        let part: Vec<timeline::Event> =
            serde_json::from_str(&response).context(InvalidResponseSnafu)?;
        events.extend(part);
    }
    let lines = timeline::merge(events)
        .iter()
        .map(|event| serde_json::to_string(event).context(InvalidResponseSnafu))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(lines.join("\n"))
}
