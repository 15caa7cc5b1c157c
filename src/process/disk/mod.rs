//! Durable state of a control replica: a write-ahead log file and a snapshot file, and a file of
//! the targets that have left ([`DepartureFile`]).
//!
//! Each batch of writes is one frame with a magic number, a length and a CRC. It is
//! written and synced before the other actions of the batch are carried out. A new
//! snapshot replaces the snapshot file and starts a new log file, so recovery reads
//! one snapshot and the writes since.
//!
//! An incomplete or corrupt frame at the end of the log is the tail of a torn write,
//! which was never acknowledged, and is cut off. A corrupt frame with a valid one
//! after it can't come from a torn write, because a frame is written only after the
//! one before it was synced. In that case the disk counts as lost, and the replica
//! refuses to start from it.

mod departures;
mod files;
mod frame;

use std::{
    fs,
    io::{self, Read as _, Seek as _, Write as _},
    path,
};

use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::version::raft;

use self::files::SystemFiles;
pub use self::{
    departures::{DepartureFile, is_mostly_forgotten},
    files::Files,
};

/// Version of the format of the files. A folder without a format file has version 1.
const FORMAT: u32 = 1;

const FORMAT_FILE: &str = "format";
const STORE_FILE: &str = "store";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_PREFIX: &str = "log-";

/// Why the durable state can't be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An operation on a file or folder failed.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// File or folder.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is corrupt in a way that a torn write can't explain.
    #[snafu(display(
        "{}: corrupt at byte {offset}, which a torn write does not explain; this disk counts as lost",
        path.display()
    ))]
    Corrupt {
        /// File.
        path: path::PathBuf,
        /// Byte at which the corrupt data starts.
        offset: u64,
    },
    /// A valid frame can't be decoded, or a batch can't be encoded.
    #[snafu(display("{}: written by another version: {source}", path.display()))]
    Undecodable {
        /// File.
        path: path::PathBuf,
        /// Error of the decoder or encoder.
        source: postcard::Error,
    },
    /// The folder was written by a later build, in a format that this one can't read.
    #[snafu(display(
        "{}: format {found} is of a later build, this one reads up to {FORMAT}; start the later \
         build, or empty the folder so that this replica gets everything from the others",
        path.display()
    ))]
    LaterFormat {
        /// Format file.
        path: path::PathBuf,
        /// Version of the format.
        found: u32,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: in use by another process", path.display()))]
    Locked {
        /// Folder.
        path: path::PathBuf,
    },
    /// The file of departures holds as many as it may.
    #[snafu(display("{}: too many departures", path.display()))]
    TooManyDepartures {
        /// File.
        path: path::PathBuf,
    },
}

/// Content of the snapshot file.
#[derive(Serialize, Deserialize)]
struct SnapshotFile {
    /// Number of the log file with the writes since the snapshot.
    log_number: u64,
    hard_state: raft::HardState,
    snapshot: Option<raft::Snapshot>,
}

/// An open data folder, locked against use by other processes.
#[derive(Debug)]
pub struct Disk {
    files: Box<dyn Files>,
    folder: path::PathBuf,
    file: fs::File,
    path: path::PathBuf,
    /// Highest number of a log file that the snapshot file may name.
    log_number: u64,
    /// Length of the log file up to the end of the last synced frame.
    synced_len: u64,
    hard_state: raft::HardState,
    store_id: raft::StoreId,
    next_log: Option<NextLog>,
    /// Holds the lock on the data folder.
    _lock_file: fs::File,
}

/// A synced log file that the snapshot file may already name, although its replacement was not
/// confirmed. It must stay as it is, since the next start may read it.
#[derive(Debug)]
struct NextLog {
    log_number: u64,
    file: fs::File,
    path: path::PathBuf,
    /// Its only frame; empty without entries after the snapshot.
    frame: Vec<u8>,
}

/// An opened data folder and its content.
#[derive(Debug)]
pub struct Opened {
    /// The data folder, ready for writing.
    pub disk: Disk,
    /// State from the snapshot and the log.
    pub restored: raft::Restored,
    /// Length of the torn tail that was cut off the log, in bytes.
    pub torn_bytes: u64,
}

impl Disk {
    /// Opens a data folder. An empty or missing folder is initialized with a new store
    /// id.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read or written, is in use by another
    /// process, or is corrupt.
    pub fn open(folder: &path::Path) -> Result<Opened, Error> {
        Self::open_with(folder, Box::new(SystemFiles))
    }

    /// Does the same by the given operations on files.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::open`] does.
    pub fn open_with(folder: &path::Path, files: Box<dyn Files>) -> Result<Opened, Error> {
        fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let lock_file = lock(folder)?;
        check_format(files.as_ref(), folder)?;
        let store_id = open_store_id(files.as_ref(), folder)?;
        let snapshot_file = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let (log_number, hard_state, snapshot) = snapshot_file
            .map_or((0, raft::HardState::default(), None), |s| {
                (s.log_number, s.hard_state, s.snapshot)
            });
        let path = log_path(folder, log_number);
        let (writes, synced_len, torn_bytes) = read_log(&path)?;
        let mut restored = raft::Restored { hard_state, snapshot, entries: Vec::new() };
        for write in writes {
            replay(&mut restored, write);
        }
        let file = open_log(files.as_ref(), &path, synced_len)?;
        files.sync_folder(folder).context(IoSnafu { path: folder })?;
        remove_old_logs(folder, log_number)?;
        let hard_state = restored.hard_state;
        let folder = folder.to_owned();
        let disk = Self {
            files,
            folder,
            file,
            path,
            log_number,
            synced_len,
            hard_state,
            store_id,
            next_log: None,
            _lock_file: lock_file,
        };
        Ok(Opened { disk, restored, torn_bytes })
    }

    /// Returns the store id, a random number chosen when the folder was initialized.
    #[must_use]
    pub fn store_id(&self) -> raft::StoreId {
        self.store_id
    }

    /// Makes a batch of writes durable. If the batch installs a snapshot, `tail` must
    /// be the log entries after it.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch could not be written or synced. The caller must
    /// then write the same batch again, and do nothing else until that succeeds.
    pub fn write(&mut self, writes: &[raft::DiskWrite], tail: &[raft::Entry]) -> Result<(), Error> {
        for write in writes {
            if let raft::DiskWrite::HardState(hard_state) = write {
                self.hard_state = *hard_state;
            }
        }
        let installed = writes.iter().rev().find_map(|w| match w {
            raft::DiskWrite::InstallSnapshot(snapshot) => Some(snapshot),
            _ => None,
        });
        match installed {
            Some(snapshot) => self.rotate(snapshot, tail),
            None => self.append(writes),
        }
    }

    fn append(&mut self, writes: &[raft::DiskWrite]) -> Result<(), Error> {
        let path = &self.path;
        let frame = frame::encode(writes).context(UndecodableSnafu { path })?;
        // A failed attempt may have written a part of its frame.
        self.file.set_len(self.synced_len).context(IoSnafu { path })?;
        self.file.seek(io::SeekFrom::Start(self.synced_len)).context(IoSnafu { path })?;
        self.file.write_all(&frame).context(IoSnafu { path })?;
        self.files.sync_data(&self.file).context(IoSnafu { path })?;
        self.synced_len += frame.len() as u64;
        Ok(())
    }

    /// Writes a snapshot and starts a new log file. The snapshot file contains the
    /// number of the log file, so renaming it switches both atomically.
    fn rotate(&mut self, snapshot: &raft::Snapshot, tail: &[raft::Entry]) -> Result<(), Error> {
        let next = self.prepare_log(tail)?;
        let snapshot_file = SnapshotFile {
            log_number: next.log_number,
            hard_state: self.hard_state,
            snapshot: Some(snapshot.clone()),
        };
        self.log_number = next.log_number;
        if let Err(error) = write_snapshot(self.files.as_ref(), &self.folder, &snapshot_file) {
            self.next_log = Some(next);
            return Err(error);
        }
        let old_path = std::mem::replace(&mut self.path, next.path);
        self.file = next.file;
        self.synced_len = next.frame.len() as u64;
        // If this fails, the next start removes the file.
        if let Err(error) = fs::remove_file(&old_path) {
            spdlog::warn!("old log file not removed", kv: { reason = error.to_string().as_str() });
        }
        Ok(())
    }

    /// Returns a synced log file with the entries after a snapshot. After a failed attempt to
    /// name it in the snapshot file it is the same one, if the entries are.
    fn prepare_log(&mut self, tail: &[raft::Entry]) -> Result<NextLog, Error> {
        let log_number = self.log_number + 1;
        let path = log_path(&self.folder, log_number);
        let frame = match tail {
            [] => Vec::new(),
            _ => frame::encode(&vec![raft::DiskWrite::Append(tail.to_vec())])
                .context(UndecodableSnafu { path: &path })?,
        };
        if let Some(next) = self.next_log.take_if(|next| next.frame == frame) {
            return Ok(next);
        }
        let mut file = self.files.create(&path).context(IoSnafu { path: &path })?;
        file.write_all(&frame).context(IoSnafu { path: &path })?;
        self.files.sync_all(&file).context(IoSnafu { path: &path })?;
        Ok(NextLog { log_number, file, path, frame })
    }
}

fn replay(restored: &mut raft::Restored, write: raft::DiskWrite) {
    match write {
        raft::DiskWrite::HardState(hard_state) => restored.hard_state = hard_state,
        raft::DiskWrite::Append(entries) => restored.entries.extend(entries),
        raft::DiskWrite::Truncate(first) => restored.entries.retain(|e| e.position.index < first),
        raft::DiskWrite::InstallSnapshot(snapshot) => {
            restored.entries.retain(|e| e.position.index > snapshot.position.index);
            restored.snapshot = Some(snapshot);
        }
    }
}

fn lock(folder: &path::Path) -> Result<fs::File, Error> {
    let path = folder.join("lock");
    let file = fs::File::create(&path).context(IoSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(Error::Locked { path: folder.to_owned() }),
        Err(fs::TryLockError::Error(source)) => Err(Error::Io { path, source }),
    }
}

/// Checks that this build reads the format of the folder. Writes the format file if there
/// is none.
fn check_format(files: &dyn Files, folder: &path::Path) -> Result<(), Error> {
    let path = folder.join(FORMAT_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            write_format(files, folder);
            return Ok(());
        }
        Err(source) => return Err(Error::Io { path, source }),
    };
    match text.trim().parse() {
        Ok(found) if found > FORMAT => Err(Error::LaterFormat { path, found }),
        Ok(_) => Ok(()),
        Err(_) => Err(Error::Corrupt { path, offset: 0 }),
    }
}

/// Writes the format file. A folder without one can be read as well, so a full disk does not
/// keep a replica from starting.
fn write_format(files: &dyn Files, folder: &path::Path) {
    if let Err(error) = files::replace(files, folder, FORMAT_FILE, format!("{FORMAT}\n").as_bytes())
    {
        spdlog::warn!("format file not written", kv: { reason = error.to_string().as_str() });
    }
}

/// Reads the store id, or writes a new one if there is none.
fn open_store_id(files: &dyn Files, folder: &path::Path) -> Result<raft::StoreId, Error> {
    let path = folder.join(STORE_FILE);
    match fs::read(&path) {
        Ok(bytes) => {
            let bytes: [u8; 16] =
                bytes.try_into().map_err(|_| Error::Corrupt { path: path.clone(), offset: 0 })?;
            Ok(raft::StoreId::from_le_bytes(bytes))
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            let store_id: raft::StoreId = rand::rng().random();
            files::replace(files, folder, STORE_FILE, &store_id.to_le_bytes())?;
            Ok(store_id)
        }
        Err(source) => Err(Error::Io { path, source }),
    }
}

fn read_snapshot(path: &path::Path) -> Result<Option<SnapshotFile>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(Error::Io { path: path.to_owned(), source }),
    };
    let Some(body) = frame::parse(&bytes) else {
        return Err(Error::Corrupt { path: path.to_owned(), offset: 0 });
    };
    postcard::from_bytes(body).map(Some).context(UndecodableSnafu { path })
}

fn write_snapshot(
    files: &dyn Files,
    folder: &path::Path,
    snapshot_file: &SnapshotFile,
) -> Result<(), Error> {
    let path = folder.join(SNAPSHOT_FILE);
    let frame = frame::encode(snapshot_file).context(UndecodableSnafu { path })?;
    files::replace(files, folder, SNAPSHOT_FILE, &frame)?;
    Ok(())
}

/// Reads a log file. Returns its writes, the length of its valid frames, and the
/// number of bytes after them.
fn read_log(path: &path::Path) -> Result<(Vec<raft::DiskWrite>, u64, u64), Error> {
    let mut bytes = Vec::new();
    match fs::File::open(path) {
        Ok(mut file) => {
            file.read_to_end(&mut bytes).context(IoSnafu { path })?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok((Vec::new(), 0, 0)),
        Err(source) => return Err(Error::Io { path: path.to_owned(), source }),
    }
    let mut writes = Vec::new();
    let mut offset = 0;
    while let Some(body) = frame::parse(&bytes[offset..]) {
        writes.extend(decode_batch(body).context(UndecodableSnafu { path })?);
        offset += frame::HEADER_BYTES + body.len();
    }
    let rest = &bytes[offset..];
    if frame::is_within(rest.get(1..).unwrap_or_default()) {
        return Err(Error::Corrupt { path: path.to_owned(), offset: offset as u64 });
    }
    Ok((writes, offset as u64, rest.len() as u64))
}

/// Decodes the writes of a frame. Earlier builds wrote the first frame of a log after a
/// snapshot as a single write without the number of writes. Read as the other, either leaves
/// a rest or can't be decoded.
fn decode_batch(body: &[u8]) -> Result<Vec<raft::DiskWrite>, postcard::Error> {
    if let Ok((batch, [])) = postcard::take_from_bytes(body) {
        return Ok(batch);
    }
    match postcard::take_from_bytes(body)? {
        (write, []) => Ok(vec![write]),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

fn open_log(files: &dyn Files, path: &path::Path, synced_len: u64) -> Result<fs::File, Error> {
    let options = fs::OpenOptions::new().create(true).truncate(false).write(true).to_owned();
    let mut file = options.open(path).context(IoSnafu { path })?;
    file.set_len(synced_len).context(IoSnafu { path })?;
    file.seek(io::SeekFrom::End(0)).context(IoSnafu { path })?;
    files.sync_all(&file).context(IoSnafu { path })?;
    Ok(file)
}

fn remove_old_logs(folder: &path::Path, current: u64) -> Result<(), Error> {
    for entry in fs::read_dir(folder).context(IoSnafu { path: folder })? {
        let entry = entry.context(IoSnafu { path: folder })?;
        let name = entry.file_name();
        let outdated = name
            .to_str()
            .and_then(|n| n.strip_prefix(LOG_PREFIX))
            .and_then(|n| n.parse::<u64>().ok())
            .is_some_and(|n| n != current);
        if outdated {
            fs::remove_file(entry.path()).context(IoSnafu { path: entry.path() })?;
        }
    }
    Ok(())
}

fn log_path(folder: &path::Path, log_number: u64) -> path::PathBuf {
    folder.join(format!("{LOG_PREFIX}{log_number}"))
}
