//! Operations on files, and the atomic replacement of a file.

use std::{
    fmt, fs,
    io::{self, Write as _},
    path,
};

use snafu::ResultExt as _;

use super::{Error, IoSnafu};

/// Operations on which it depends what outlasts a loss of power. Tests let them fail.
pub trait Files: fmt::Debug + Send {
    /// Creates an empty file, or empties an existing one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn create(&self, path: &path::Path) -> io::Result<fs::File> {
        fs::File::create(path)
    }

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_data(&self, file: &fs::File) -> io::Result<()> {
        file.sync_data()
    }

    /// Makes the content and the metadata of a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_all(&self, file: &fs::File) -> io::Result<()> {
        file.sync_all()
    }

    /// Makes the names in a folder durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&self, folder: &path::Path) -> io::Result<()> {
        fs::File::open(folder)?.sync_all()
    }
}

/// The files of the operating system.
#[derive(Debug)]
pub(super) struct SystemFiles;

impl Files for SystemFiles {}

/// Replaces a file atomically: after a crash it has either the old or the new content. Returns the
/// new file, open for writing behind its content.
pub(super) fn replace(
    files: &dyn Files,
    folder: &path::Path,
    name: &str,
    bytes: &[u8],
) -> Result<fs::File, Error> {
    let path = folder.join(name);
    let partial = folder.join(format!("{name}.partial"));
    let mut file = files.create(&partial).context(IoSnafu { path: &partial })?;
    file.write_all(bytes).context(IoSnafu { path: &partial })?;
    files.sync_all(&file).context(IoSnafu { path: &partial })?;
    fs::rename(&partial, &path).context(IoSnafu { path: &path })?;
    files.sync_folder(folder).context(IoSnafu { path: folder })?;
    Ok(file)
}
