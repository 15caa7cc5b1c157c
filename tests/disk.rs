//! Data folders: torn tails, damage, snapshots and restarts.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::{Arc, atomic},
};

use googletest::prelude::*;
use hornbeamdock::{
    process::disk::{Disk, Error, Opened},
    version::raft::{DiskWrite, Entry, HardState, Members, Payload, Position, Snapshot},
};

static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A data folder that is removed with the value.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = NEXT.fetch_add(1, atomic::Ordering::SeqCst);
        Self(env::temp_dir().join(format!("hornbeamdock-disk-{}-{number}", process::id())))
    }

    fn open(&self) -> Opened {
        Disk::open(&self.0).expect("the folder opens")
    }

    fn log(&self) -> PathBuf {
        let files = fs::read_dir(&self.0).expect("it can be read").flatten();
        let mut logs = files.map(|f| f.path()).filter(|p| name(p).starts_with("log-"));
        logs.next().expect("there is a log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn name(path: &Path) -> String {
    path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

/// Writes entries from `first` to `last`, each in a batch of its own.
fn write(disk: &mut Disk, first: u64, last: u64) {
    for index in first..=last {
        disk.write(&[DiskWrite::Append(vec![entry(index)])], &[]).expect("it is written");
    }
}

fn snapshot(index: u64) -> Snapshot {
    let position = Position { term: 1, index };
    Snapshot { position, members: Members::default(), data: Arc::new(vec![7; 100]) }
}

fn change_byte(path: &Path, at: usize) {
    let mut bytes = fs::read(path).expect("it can be read");
    bytes[at] ^= 0x40;
    fs::write(path, bytes).expect("it can be written");
}

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let folder = Folder::new();
                #[allow(clippy::redundant_closure_call)]
                ($run)(&folder);
            }
        )+
    };
}

cases! {
    what_was_written_is_found => found;
    torn_tail_is_cut_off => torn;
    refused_write_can_be_repeated => refused;
    every_length_of_a_torn_tail_is_cut_off => torn_everywhere;
    damage_in_the_middle_is_reported => damaged;
    damaged_snapshot_is_reported => damaged_snapshot;
    snapshot_keeps_recovery_short => short_recovery;
    crash_between_log_and_snapshot_loses_nothing => crash_while_rolling;
    emptied_folder_gets_another_store => emptied;
    folder_in_use_is_refused => in_use;
}

fn found(folder: &Folder) {
    let hard = HardState { term: 3, vote: Some(2) };
    let mut disk = folder.open().disk;
    disk.write(&[DiskWrite::HardState(hard)], &[]).expect("it is written");
    write(&mut disk, 1, 300);
    disk.write(&[DiskWrite::Truncate(200), DiskWrite::Append(vec![entry(200)])], &[])
        .expect("written");
    let store = disk.store_id();
    drop(disk);
    let opened = folder.open();
    expect_that!(opened.restored.hard_state, eq(hard));
    expect_that!(opened.restored.entries, eq(&(1..=200).map(entry).collect::<Vec<_>>()));
    expect_that!((opened.torn_bytes, opened.disk.store_id()), eq((0, store)));
}

fn torn(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 10);
    drop(disk);
    let log = folder.log();
    let whole = fs::read(&log).expect("it can be read");
    fs::write(&log, &whole[..whole.len() - 3]).expect("it can be written");
    let opened = folder.open();
    expect_that!(opened.restored.entries.len(), eq(9));
    expect_that!(opened.torn_bytes, gt(0));
    let mut disk = opened.disk;
    write(&mut disk, 10, 12);
    drop(disk);
    expect_that!(folder.open().restored.entries.len(), eq(12));
}

/// A write that left a part of its frame behind is repeated, as when a full disk
/// has room again; what was acknowledged before and after it is found.
fn refused(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 10);
    let mut file = fs::OpenOptions::new().append(true).open(folder.log()).expect("it opens");
    std::io::Write::write_all(&mut file, b"HBDf part of a frame").expect("it is written");
    write(&mut disk, 11, 20);
    drop(disk);
    let opened = folder.open();
    expect_that!(opened.restored.entries, eq(&(1..=20).map(entry).collect::<Vec<_>>()));
    expect_that!(opened.torn_bytes, eq(0));
}

fn torn_everywhere(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 2);
    let before = fs::read(folder.log()).expect("it can be read").len();
    write(&mut disk, 3, 3);
    drop(disk);
    let log = folder.log();
    let whole = fs::read(&log).expect("it can be read");
    for length in before..whole.len() {
        fs::write(&log, &whole[..length]).expect("it can be written");
        expect_that!(folder.open().restored.entries.len(), eq(2), "cut at {length}");
    }
}

fn damaged(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 10);
    drop(disk);
    let log = folder.log();
    let whole = fs::read(&log).expect("it can be read");
    // Every byte of every frame but the last: magic, length, sum and body.
    let last = whole.windows(4).rposition(|w| w == b"HBDf").expect("there are frames");
    for at in 0..last {
        change_byte(&log, at);
        let opened = Disk::open(&folder.0).err();
        expect_that!(
            opened,
            some(matches_pattern!(Error::Corrupt { .. })),
            "a changed byte at {at} went unnoticed"
        );
        change_byte(&log, at);
    }
    expect_that!(folder.open().restored.entries.len(), eq(10));
}

fn damaged_snapshot(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 10);
    disk.write(
        &[DiskWrite::InstallSnapshot(snapshot(5))],
        &(6..=10).map(entry).collect::<Vec<_>>(),
    )
    .expect("it is written");
    drop(disk);
    let path = folder.0.join("snapshot");
    let length = fs::read(&path).expect("it can be read").len();
    change_byte(&path, length / 2);
    expect_that!(Disk::open(&folder.0).err(), some(matches_pattern!(Error::Corrupt { .. })));
}

fn short_recovery(folder: &Folder) {
    let mut sizes = Vec::new();
    for round in 1..=5 {
        let mut disk = folder.open().disk;
        write(&mut disk, (round - 1) * 400 + 1, round * 400);
        disk.write(&[DiskWrite::InstallSnapshot(snapshot(round * 400))], &[])
            .expect("it is written");
        drop(disk);
        let opened = folder.open();
        expect_that!(opened.restored.entries.len(), eq(0));
        let at = opened.restored.snapshot.map(|s| s.position.index);
        expect_that!(at, some(eq(round * 400)));
        let files = fs::read_dir(&folder.0).expect("it can be read").flatten();
        sizes.push(files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum::<u64>());
    }
    // What is read at a start does not grow with the changes that were made.
    expect_that!(sizes.last(), some(le(&(sizes[0] + 64))));
}

fn crash_while_rolling(folder: &Folder) {
    let mut disk = folder.open().disk;
    write(&mut disk, 1, 10);
    drop(disk);
    // The next log was begun, and the snapshot that names it was not renamed.
    fs::write(folder.0.join("log-1"), b"HBDf").expect("it can be written");
    fs::write(folder.0.join("snapshot.partial"), b"half").expect("it can be written");
    expect_that!(folder.open().restored.entries.len(), eq(10));
}

fn emptied(folder: &Folder) {
    let store = folder.open().disk.store_id();
    fs::remove_dir_all(&folder.0).expect("it can be removed");
    expect_that!(folder.open().disk.store_id(), not(eq(store)));
}

fn in_use(folder: &Folder) {
    let _first = folder.open();
    expect_that!(Disk::open(&folder.0).err(), some(matches_pattern!(Error::Locked { .. })));
}
