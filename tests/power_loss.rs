//! Tests of data folders after a loss of power: what was not synced may be gone, and names may
//! have changed or not.

use std::{
    collections::BTreeMap,
    env, fs, io,
    os::unix::fs::MetadataExt as _,
    path::{Path, PathBuf},
    process,
    sync::{Arc, Mutex, atomic},
};

use googletest::prelude::*;
use hornbeamdock::{
    process::disk::{DepartureFile, Disk, Files},
    version::{
        directory::Departure,
        raft::{DiskWrite, Entry, Members, Payload, Position, Snapshot},
    },
};

static NEXT_FOLDER: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Content of a file by its name.
type Image = BTreeMap<String, Vec<u8>>;

/// A temporary folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::SeqCst);
        Self(env::temp_dir().join(format!("hornbeamdock-power-{}-{number}", process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What is durable in a folder, and what a loss of power could have left of it so far.
#[derive(Debug, Default)]
struct Power {
    folder: PathBuf,
    /// Inodes by name as of the latest sync of the folder.
    names: BTreeMap<String, u64>,
    /// Content that a loss of power leaves of a file, by inode.
    contents: BTreeMap<u64, Vec<u8>>,
    /// All files, so that no inode number comes again: a name as of the latest sync of the folder
    /// may still stand for a file that was replaced.
    kept: Vec<fs::File>,
    /// Index up to which entries, or number up to which departures are acknowledged.
    acknowledged: u64,
    /// Syncs of the folder that fail from now on.
    failures: u32,
    /// Syncs of files that fail from now on.
    sync_failures: u32,
    /// Possible images, and what was acknowledged at that time.
    images: Vec<(u64, Image)>,
}

/// Files whose syncs are recorded in [`Power`].
#[derive(Clone, Debug, Default)]
struct Recorded(Arc<Mutex<Power>>);

impl Power {
    fn current_names(&self) -> BTreeMap<String, u64> {
        let files = fs::read_dir(&self.folder).expect("the folder is there").flatten();
        files
            .map(|f| {
                let inode = f.metadata().expect("the file is there").ino();
                (f.file_name().to_string_lossy().into_owned(), inode)
            })
            .collect()
    }

    /// Records what would be left if the power were lost now: with the names as synced and
    /// as they are, and with the content of files as synced and as it is.
    fn record(&mut self) {
        let current = self.current_names();
        for names in [&self.names, &current] {
            let synced = |inode: &u64| self.contents.get(inode).cloned().unwrap_or_default();
            let image = names.iter().map(|(name, inode)| (name.clone(), synced(inode))).collect();
            self.images.push((self.acknowledged, image));
        }
        let read = |name: &String| fs::read(self.folder.join(name)).unwrap_or_default();
        let image = current.keys().map(|name| (name.clone(), read(name))).collect();
        self.images.push((self.acknowledged, image));
    }

    /// Records the content of a file as durable.
    fn sync(&mut self, file: &fs::File) {
        self.record();
        let inode = file.metadata().expect("the file is open").ino();
        let names = self.current_names();
        let name = names.iter().find(|(_, i)| **i == inode).expect("the file has a name").0;
        let content = fs::read(self.folder.join(name)).expect("the read succeeds");
        self.contents.insert(inode, content);
        self.record();
    }
}

impl Files for Recorded {
    fn create(&self, path: &Path) -> io::Result<fs::File> {
        let mut power = self.0.lock().unwrap();
        let file = fs::File::create(path)?;
        // That an existing file was emptied may outlast a loss of power without a sync.
        power.contents.insert(file.metadata()?.ino(), Vec::new());
        power.kept.push(file.try_clone()?);
        power.record();
        Ok(file)
    }

    fn sync_data(&self, file: &fs::File) -> io::Result<()> {
        let mut power = self.0.lock().unwrap();
        if power.sync_failures > 0 {
            power.sync_failures -= 1;
            power.record();
            return Err(io::Error::other("the sync of the file failed"));
        }
        power.sync(file);
        Ok(())
    }

    fn sync_all(&self, file: &fs::File) -> io::Result<()> {
        self.sync_data(file)
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut power = self.0.lock().unwrap();
        power.record();
        if power.failures > 0 {
            power.failures -= 1;
            return Err(io::Error::other("the sync of the folder failed"));
        }
        power.names = power.current_names();
        power.record();
        Ok(())
    }
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

fn snapshot(index: u64) -> Snapshot {
    let position = Position { term: 1, index };
    Snapshot { position, members: Members::default(), data: Arc::new(vec![7; 100]) }
}

/// Returns the entries that the folder restores after its snapshot, and the index of that.
fn restore(image: &Image) -> (u64, Vec<Entry>) {
    let folder = Folder::new();
    fs::create_dir_all(&folder.0).expect("the folder can be created");
    for (name, content) in image {
        fs::write(folder.0.join(name), content).expect("the write succeeds");
    }
    let restored = Disk::open(&folder.0).expect("the folder opens").restored;
    (restored.snapshot.map_or(0, |s| s.position.index), restored.entries)
}

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                $run;
            }
        )+
    };
}

cases! {
    power_loss_after_a_snapshot_loses_no_entry => check_snapshot(0);
    power_loss_after_a_failed_sync_of_the_folder_loses_no_entry => check_snapshot(1);
    power_loss_after_several_failed_syncs_of_the_folder_loses_no_entry => check_snapshot(4);
    power_loss_loses_no_departure => check_departures(0, 0);
    power_loss_after_a_failed_sync_of_the_folder_loses_no_departure => check_departures(2, 0);
    power_loss_after_a_failed_sync_of_the_file_loses_no_departure => check_departures(0, 2);
}

/// Writes entries, a snapshot for which `failures` syncs of the folder fail, and further
/// entries and another snapshot. Whenever the power is lost, all acknowledged entries must be
/// restored.
fn check_snapshot(failures: u32) {
    let folder = Folder::new();
    let files = Recorded::default();
    files.0.lock().unwrap().folder.clone_from(&folder.0);
    let mut disk = Disk::open_with(&folder.0, Box::new(files.clone())).expect("it opens").disk;
    let acknowledge = |index| files.0.lock().unwrap().acknowledged = index;
    files.0.lock().unwrap().images.clear();
    for index in 1..=10 {
        disk.write(&[DiskWrite::Append(vec![entry(index)])], &[]).expect("the write succeeds");
        acknowledge(index);
    }
    files.0.lock().unwrap().failures = failures;
    let mut failed = 0;
    let tail: Vec<_> = (6..=10).map(entry).collect();
    while disk.write(&[DiskWrite::InstallSnapshot(snapshot(5))], &tail).is_err() {
        failed += 1;
        assert!(failed <= failures, "the write is not repeated for ever");
    }
    expect_that!(failed, eq(failures));
    for index in 11..=15 {
        disk.write(&[DiskWrite::Append(vec![entry(index)])], &[]).expect("the write succeeds");
        acknowledge(index);
    }
    let tail: Vec<_> = (13..=15).map(entry).collect();
    disk.write(&[DiskWrite::InstallSnapshot(snapshot(12))], &tail).expect("the write succeeds");
    files.0.lock().unwrap().record();
    drop(disk);
    let logs = fs::read_dir(&folder.0).expect("the folder is there").flatten();
    let logs = logs.filter(|f| f.file_name().to_string_lossy().starts_with("log-"));
    expect_that!(logs.count(), eq(1), "log files of failed attempts are removed");
    let images = std::mem::take(&mut files.0.lock().unwrap().images);
    for (number, (acknowledged, image)) in images.iter().enumerate() {
        let (snapshot_index, entries) = restore(image);
        let last = entries.last().map_or(snapshot_index, |e| e.position.index);
        expect_that!(last, ge(*acknowledged), "image {number}: {:?}", image.keys());
        let indexes: Vec<_> = entries.iter().map(|e| e.position.index).collect();
        expect_that!(indexes, eq(&(snapshot_index + 1..=last).collect::<Vec<_>>()));
    }
}

fn departure(number: u64) -> Departure {
    Departure { id: format!("t-{number}"), incarnation: number }
}

/// Stores departures while some syncs fail, forgets the first ones, and stores more. Whenever the
/// power is lost, all that are acknowledged and not forgotten must be restored.
fn check_departures(folder_failures: u32, sync_failures: u32) {
    const FORGOTTEN: u64 = 200;
    let folder = Folder::new();
    fs::create_dir_all(&folder.0).expect("the folder can be created");
    let files = Recorded::default();
    files.0.lock().unwrap().folder.clone_from(&folder.0);
    let open = || DepartureFile::open_with(&folder.0, Box::new(files.clone()));
    let mut file = open().expect("the folder opens");
    let store = |file: &mut DepartureFile, from: u64, to: u64| {
        let departures: Vec<_> = (from..=to).map(departure).collect();
        while file.store(&departures).is_err() {
            assert!(!file.contains(&departure(to)), "what is not durable does not count");
        }
        files.0.lock().unwrap().acknowledged = to;
    };
    let fail = || {
        let mut power = files.0.lock().unwrap();
        (power.failures, power.sync_failures) = (folder_failures, sync_failures);
    };
    store(&mut file, 1, FORGOTTEN);
    fail();
    store(&mut file, FORGOTTEN + 1, FORGOTTEN + 1);
    store(&mut file, FORGOTTEN + 2, FORGOTTEN + 2);
    fail();
    while file.retain(|d| d.incarnation > FORGOTTEN).is_err() {}
    expect_that!(file.departures().count(), eq(2));
    fail();
    store(&mut file, FORGOTTEN + 3, FORGOTTEN + 5);
    let mut file = open().expect("the folder opens");
    store(&mut file, FORGOTTEN + 6, FORGOTTEN + 6);
    files.0.lock().unwrap().record();
    for (number, (acknowledged, image)) in files.0.lock().unwrap().images.iter().enumerate() {
        let folder = Folder::new();
        fs::create_dir_all(&folder.0).expect("the folder can be created");
        for (name, content) in image {
            fs::write(folder.0.join(name), content).expect("the write succeeds");
        }
        let restored = DepartureFile::open(&folder.0).expect("the folder opens");
        let mut lost = (FORGOTTEN + 1..=*acknowledged).map(departure);
        expect_that!(lost.find(|d| !restored.contains(d)), none(), "image {number}");
    }
}
