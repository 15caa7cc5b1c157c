//! Tests of the file of departures: torn writes, full disks and bounds. Losses of power are in
//! `power_loss.rs`.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process,
    sync::{
        Arc, atomic,
        atomic::{AtomicBool, AtomicUsize},
    },
};

use googletest::prelude::*;
use hornbeamdock::{
    process::disk::{DepartureFile, Files},
    version::directory::Departure,
};

static NEXT_FOLDER: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A temporary data folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::SeqCst);
        let name = format!("hornbeamdock-departures-{}-{number}", process::id());
        let folder = Self(env::temp_dir().join(name));
        fs::create_dir_all(&folder.0).expect("the folder can be created");
        folder
    }

    fn open(&self) -> DepartureFile {
        DepartureFile::open(&self.0).expect("the file opens")
    }

    fn path(&self) -> PathBuf {
        self.0.join("departures")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Files of a disk that refuses writes while it is full, and counts those that it takes.
#[derive(Clone, Debug, Default)]
struct Disk {
    full: Arc<AtomicBool>,
    syncs: Arc<AtomicUsize>,
}

impl Disk {
    fn write(&self) -> io::Result<()> {
        if self.full.load(atomic::Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.syncs.fetch_add(1, atomic::Ordering::SeqCst);
        Ok(())
    }
}

impl Files for Disk {
    fn create(&self, path: &Path) -> io::Result<fs::File> {
        self.write()?;
        fs::File::create(path)
    }

    fn sync_data(&self, file: &fs::File) -> io::Result<()> {
        self.write()?;
        file.sync_data()
    }
}

fn departure(number: usize) -> Departure {
    Departure { id: format!("t-{number}"), incarnation: 7 }
}

fn departures(numbers: std::ops::Range<usize>) -> Vec<Departure> {
    numbers.map(departure).collect()
}

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                $run(&Folder::new());
            }
        )+
    };
}

cases! {
    stored_departures_are_restored => restore;
    torn_tail_of_any_length_loses_nothing_before_it => tear;
    full_disk_stores_nothing_until_it_has_room => fill;
    known_departures_cost_no_write => repeat;
    forgotten_departures_leave_the_file => forget;
    flood_of_departures_is_refused => flood;
}

fn restore(folder: &Folder) {
    let mut file = folder.open();
    file.store(&departures(0..3)).expect("the write succeeds");
    file.store(&departures(3..5)).expect("the write succeeds");
    let restored = folder.open();
    expect_that!(restored.departures().count(), eq(5));
    expect_that!(departures(0..5).iter().all(|d| restored.contains(d)), eq(true));
    let reborn = Departure { incarnation: 8, ..departure(1) };
    expect_that!(restored.contains(&reborn), eq(false));
}

fn tear(folder: &Folder) {
    let mut file = folder.open();
    file.store(&departures(0..3)).expect("the write succeeds");
    let synced = fs::read(folder.path()).expect("the file is there").len();
    file.store(&departures(3..5)).expect("the write succeeds");
    let whole = fs::read(folder.path()).expect("the file is there");
    for length in synced..whole.len() {
        fs::write(folder.path(), &whole[..length]).expect("the write succeeds");
        let mut torn = folder.open();
        expect_that!(torn.departures().count(), eq(3));
        torn.store(&departures(9..10)).expect("the write succeeds");
        expect_that!(folder.open().departures().count(), eq(4));
    }
}

fn fill(folder: &Folder) {
    let disk = Disk::default();
    let mut file = DepartureFile::open_with(&folder.0, Box::new(disk.clone())).expect("it opens");
    file.store(&departures(0..2)).expect("the write succeeds");
    disk.full.store(true, atomic::Ordering::SeqCst);
    for _ in 0..3 {
        expect_that!(file.store(&departures(0..4)).is_err(), eq(true));
        expect_that!(file.contains(&departure(3)), eq(false));
    }
    let restarted = DepartureFile::open_with(&folder.0, Box::new(disk.clone())).expect("it opens");
    expect_that!(restarted.contains(&departure(1)), eq(true));
    disk.full.store(false, atomic::Ordering::SeqCst);
    file.store(&departures(0..4)).expect("the write succeeds");
    expect_that!(folder.open().departures().count(), eq(4));
}

fn repeat(folder: &Folder) {
    let disk = Disk::default();
    let mut file = DepartureFile::open_with(&folder.0, Box::new(disk.clone())).expect("it opens");
    file.store(&departures(0..2)).expect("the write succeeds");
    let writes = disk.syncs.load(atomic::Ordering::SeqCst);
    file.store(&departures(0..2)).expect("nothing is to be written");
    expect_that!(disk.syncs.load(atomic::Ordering::SeqCst), eq(writes));
}

fn forget(folder: &Folder) {
    let mut file = folder.open();
    file.store(&departures(0..300)).expect("the write succeeds");
    file.retain(|d| *d != departure(1)).expect("nothing is to be written");
    expect_that!(file.contains(&departure(1)), eq(true), "it is not worth a write yet");
    file.retain(|d| *d == departure(2)).expect("the write succeeds");
    file.store(&departures(400..401)).expect("the write succeeds");
    expect_that!(folder.open().departures().count(), eq(2));
}

/// Departures with long ids, or too many of them, would fill the disk.
fn flood(folder: &Folder) {
    let long = Departure { id: "t".repeat(10_000), incarnation: 7 };
    expect_that!(DepartureFile::accepts(&long), eq(false));
    expect_that!(DepartureFile::accepts(&departure(1)), eq(true));
    let mut file = folder.open();
    file.store(&departures(0..10_000)).expect("the write succeeds");
    expect_that!(file.store(&departures(10_000..20_000)).is_err(), eq(true));
    expect_that!(folder.open().departures().count(), eq(10_000));
    let bytes = fs::metadata(folder.path()).expect("the file is there").len();
    expect_that!(bytes, lt(1_000_000));
}
