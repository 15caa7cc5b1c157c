//! File with the targets that have left, as a replica knows them.
//!
//! A target is told that its departure is known only when enough replicas have it on their
//! disks, so the file is synced before a replica confirms anything. It is no part of the log:
//! a departure needs neither a leader nor an order, only copies.
//!
//! New departures are appended as one frame. The file is written anew, and then replaces the one
//! before it, at the first write after a start, after a failed write, and when what it holds has
//! mostly been forgotten. So nothing is ever written behind a torn frame, and a frame that can't
//! be read is the last one.

use std::{
    collections, fs,
    io::{self, Write as _},
    path,
};

use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;

use super::{
    Error, Files, IoSnafu, SystemFiles, TooManyDeparturesSnafu, UndecodableSnafu, files, frame,
};
use crate::version::directory::Departure;

const DEPARTURES_FILE: &str = "departures";

/// Largest number of departures in the file. It bounds the space of one that is flooded.
const MAX_DEPARTURES: usize = 16_384;

/// Longest id of a target whose departure is stored, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Number of forgotten departures that the file may hold besides as many as are known.
const MAX_FORGOTTEN: usize = 64;

/// Body of a frame. Later builds may add variants at the end.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Departed(Vec<StoredDeparture>),
}

/// A [`Departure`] in the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredDeparture {
    id: String,
    incarnation: u64,
}

impl From<&Departure> for StoredDeparture {
    fn from(departure: &Departure) -> Self {
        Self { id: departure.id.clone(), incarnation: departure.incarnation }
    }
}

impl From<StoredDeparture> for Departure {
    fn from(stored: StoredDeparture) -> Self {
        Self { id: stored.id, incarnation: stored.incarnation }
    }
}

/// The departures on the disk of a replica.
#[derive(Debug)]
pub struct DepartureFile {
    files: Box<dyn Files>,
    folder: path::PathBuf,
    /// The file to append to; `None` if it must be written anew first.
    file: Option<fs::File>,
    stored: collections::HashSet<Departure>,
}

impl DepartureFile {
    /// Reads the departures in a data folder. Nothing is written until there is something to
    /// store, so a full disk does not keep a replica from starting.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is there and can't be read.
    pub fn open(folder: &path::Path) -> Result<Self, Error> {
        Self::open_with(folder, Box::new(SystemFiles))
    }

    /// Does the same by the given operations on files.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::open`] does.
    pub fn open_with(folder: &path::Path, files: Box<dyn Files>) -> Result<Self, Error> {
        let stored = read(&folder.join(DEPARTURES_FILE))?;
        Ok(Self { files, folder: folder.to_owned(), file: None, stored })
    }

    /// Returns the departures in the file.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.stored.iter()
    }

    /// Returns whether a departure is in the file.
    #[must_use]
    pub fn contains(&self, departure: &Departure) -> bool {
        self.stored.contains(departure)
    }

    /// Returns whether a departure may be stored. The ids of targets are short.
    #[must_use]
    pub fn accepts(departure: &Departure) -> bool {
        departure.id.len() <= MAX_ID_BYTES
    }

    /// Makes departures durable. Those that are in the file already cost nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written or synced, or holds too many departures.
    /// Then none of the new ones counts as stored, and they may be stored again.
    pub fn store(&mut self, departures: &[Departure]) -> Result<(), Error> {
        let new: collections::HashSet<_> =
            departures.iter().filter(|d| !self.stored.contains(*d)).cloned().collect();
        if new.is_empty() {
            return Ok(());
        }
        if self.stored.len() + new.len() > MAX_DEPARTURES {
            return TooManyDeparturesSnafu { path: self.path() }.fail();
        }
        match self.file.take() {
            Some(file) => self.append(file, &new)?,
            None => self.rewrite(self.stored.iter().chain(&new).map(Into::into).collect())?,
        }
        self.stored.extend(new);
        Ok(())
    }

    /// Forgets the departures for which `is_known` returns false, once they are more than the
    /// rest.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written or synced. The departures are then kept.
    pub fn retain(&mut self, is_known: impl Fn(&Departure) -> bool) -> Result<(), Error> {
        let known: collections::HashSet<_> =
            self.stored.iter().filter(|d| is_known(d)).cloned().collect();
        if !is_mostly_forgotten(self.stored.len(), known.len()) {
            return Ok(());
        }
        self.file = None;
        self.rewrite(known.iter().map(Into::into).collect())?;
        self.stored = known;
        Ok(())
    }

    /// Appends a frame. After an error it is not known what the file holds behind the last one,
    /// so it is not appended to again.
    fn append(
        &mut self,
        mut file: fs::File,
        new: &collections::HashSet<Departure>,
    ) -> Result<(), Error> {
        let path = self.path();
        let frame = encode(&path, new.iter().map(Into::into).collect())?;
        file.write_all(&frame).context(IoSnafu { path: &path })?;
        self.files.sync_data(&file).context(IoSnafu { path: &path })?;
        self.file = Some(file);
        Ok(())
    }

    fn rewrite(&mut self, departures: Vec<StoredDeparture>) -> Result<(), Error> {
        let frame = encode(&self.path(), departures)?;
        let file = files::replace(self.files.as_ref(), &self.folder, DEPARTURES_FILE, &frame)?;
        self.file = Some(file);
        Ok(())
    }

    fn path(&self) -> path::PathBuf {
        self.folder.join(DEPARTURES_FILE)
    }
}

/// Returns true if a file with `stored` departures, of which `known` are still known, should be
/// written anew.
#[must_use]
pub fn is_mostly_forgotten(stored: usize, known: usize) -> bool {
    stored > 2 * known + MAX_FORGOTTEN
}

fn encode(path: &path::Path, departures: Vec<StoredDeparture>) -> Result<Vec<u8>, Error> {
    frame::encode(&Record::Departed(departures)).context(UndecodableSnafu { path })
}

/// Reads the departures up to the first frame that is torn or of a later build.
fn read(path: &path::Path) -> Result<collections::HashSet<Departure>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(collections::HashSet::new()),
        Err(source) => return Err(Error::Io { path: path.to_owned(), source }),
    };
    let mut departures = collections::HashSet::new();
    let mut rest = bytes.as_slice();
    while let Some(body) = frame::parse(rest) {
        let Ok(Record::Departed(stored)) = postcard::from_bytes(body) else {
            break;
        };
        departures.extend(stored.into_iter().map(Departure::from));
        rest = &rest[frame::HEADER_BYTES + body.len()..];
    }
    if !rest.is_empty() {
        spdlog::warn!("left out the unreadable end of the file of departures", kv: {
            bytes = rest.len()
        });
    }
    Ok(departures)
}
