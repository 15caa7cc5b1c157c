//! Tests of data folders: torn writes, corruption, snapshots and restarts.

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

static NEXT_FOLDER: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A temporary data folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::SeqCst);
        Self(env::temp_dir().join(format!("hornbeamdock-disk-{}-{number}", process::id())))
    }

    fn open(&self) -> Opened {
        Disk::open(&self.0).expect("the folder opens")
    }

    fn log_path(&self) -> PathBuf {
        let files = fs::read_dir(&self.0).expect("the read succeeds").flatten();
        let mut logs = files.map(|f| f.path()).filter(|p| file_name(p).starts_with("log-"));
        logs.next().expect("the folder has a log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn file_name(path: &Path) -> String {
    path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

/// Writes the entries from `first` to `last`, each in a separate batch.
fn write_entries(disk: &mut Disk, first: u64, last: u64) {
    for index in first..=last {
        disk.write(&[DiskWrite::Append(vec![entry(index)])], &[]).expect("the write succeeds");
    }
}

fn snapshot(index: u64) -> Snapshot {
    let position = Position { term: 1, index };
    Snapshot { position, members: Members::default(), data: Arc::new(vec![7; 100]) }
}

fn flip_bit(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).expect("the read succeeds");
    bytes[offset] ^= 0x40;
    fs::write(path, bytes).expect("the write succeeds");
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
    written_state_is_restored => restored_state;
    torn_tail_is_cut_off => torn_tail;
    refused_write_can_be_repeated => repeated_write;
    torn_tail_of_any_length_is_cut_off => torn_tail_lengths;
    corruption_before_the_last_frame_is_reported => corrupt_log;
    corrupt_snapshot_is_reported => corrupt_snapshot;
    snapshot_keeps_recovery_short => short_recovery;
    entries_after_a_snapshot_are_restored => entries_after_snapshot;
    entries_after_a_snapshot_of_an_earlier_build_are_restored => entries_of_earlier_build;
    crash_during_log_rotation_loses_nothing => crash_during_rotation;
    emptied_folder_gets_new_store_id => emptied_folder;
    folder_in_use_is_refused => folder_in_use;
}

fn restored_state(folder: &Folder) {
    let hard_state = HardState { term: 3, vote: Some(2) };
    let mut disk = folder.open().disk;
    disk.write(&[DiskWrite::HardState(hard_state)], &[]).expect("the write succeeds");
    write_entries(&mut disk, 1, 300);
    disk.write(&[DiskWrite::Truncate(200), DiskWrite::Append(vec![entry(200)])], &[])
        .expect("the write succeeds");
    let store_id = disk.store_id();
    drop(disk);
    let opened = folder.open();
    expect_that!(opened.restored.hard_state, eq(hard_state));
    expect_that!(opened.restored.entries, eq(&(1..=200).map(entry).collect::<Vec<_>>()));
    expect_that!((opened.torn_bytes, opened.disk.store_id()), eq((0, store_id)));
}

fn torn_tail(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 10);
    drop(disk);
    let log = folder.log_path();
    let bytes = fs::read(&log).expect("the read succeeds");
    fs::write(&log, &bytes[..bytes.len() - 3]).expect("the write succeeds");
    let opened = folder.open();
    expect_that!(opened.restored.entries.len(), eq(9));
    expect_that!(opened.torn_bytes, gt(0));
    let mut disk = opened.disk;
    write_entries(&mut disk, 10, 12);
    drop(disk);
    expect_that!(folder.open().restored.entries.len(), eq(12));
}

/// A full disk may refuse a write after a part of its frame was written. When the write
/// is repeated, that part must be overwritten and no acknowledged entry may be lost.
fn repeated_write(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 10);
    let mut file =
        fs::OpenOptions::new().append(true).open(folder.log_path()).expect("the log opens");
    std::io::Write::write_all(&mut file, b"HBDf part of a frame").expect("the write succeeds");
    write_entries(&mut disk, 11, 20);
    drop(disk);
    let opened = folder.open();
    expect_that!(opened.restored.entries, eq(&(1..=20).map(entry).collect::<Vec<_>>()));
    expect_that!(opened.torn_bytes, eq(0));
}

fn torn_tail_lengths(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 2);
    let synced_len = fs::read(folder.log_path()).expect("the read succeeds").len();
    write_entries(&mut disk, 3, 3);
    drop(disk);
    let log = folder.log_path();
    let bytes = fs::read(&log).expect("the read succeeds");
    for length in synced_len..bytes.len() {
        fs::write(&log, &bytes[..length]).expect("the write succeeds");
        expect_that!(folder.open().restored.entries.len(), eq(2), "cut at {length}");
    }
}

fn corrupt_log(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 10);
    drop(disk);
    let log = folder.log_path();
    let bytes = fs::read(&log).expect("the read succeeds");
    // Flips a bit in each byte of all frames but the last: magic, length, CRC and body.
    let last_frame = bytes.windows(4).rposition(|w| w == b"HBDf").expect("the log has frames");
    for offset in 0..last_frame {
        flip_bit(&log, offset);
        let error = Disk::open(&folder.0).err();
        expect_that!(
            error,
            some(matches_pattern!(Error::Corrupt { .. })),
            "a flipped bit in byte {offset} was not detected"
        );
        flip_bit(&log, offset);
    }
    expect_that!(folder.open().restored.entries.len(), eq(10));
}

fn corrupt_snapshot(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 10);
    disk.write(
        &[DiskWrite::InstallSnapshot(snapshot(5))],
        &(6..=10).map(entry).collect::<Vec<_>>(),
    )
    .expect("the write succeeds");
    drop(disk);
    let path = folder.0.join("snapshot");
    let length = fs::read(&path).expect("the read succeeds").len();
    flip_bit(&path, length / 2);
    expect_that!(Disk::open(&folder.0).err(), some(matches_pattern!(Error::Corrupt { .. })));
}

fn short_recovery(folder: &Folder) {
    let mut sizes = Vec::new();
    for round in 1..=5 {
        let mut disk = folder.open().disk;
        write_entries(&mut disk, (round - 1) * 400 + 1, round * 400);
        disk.write(&[DiskWrite::InstallSnapshot(snapshot(round * 400))], &[])
            .expect("the write succeeds");
        drop(disk);
        let opened = folder.open();
        expect_that!(opened.restored.entries.len(), eq(0));
        let snapshot_index = opened.restored.snapshot.map(|s| s.position.index);
        expect_that!(snapshot_index, some(eq(round * 400)));
        let files = fs::read_dir(&folder.0).expect("the read succeeds").flatten();
        sizes.push(files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum::<u64>());
    }
    // The data read at a start does not grow with the number of entries written.
    expect_that!(sizes.last(), some(le(&(sizes[0] + 64))));
}

/// A log that begins with the entries after a snapshot could not be read, or some were lost.
fn entries_after_snapshot(folder: &Folder) {
    let mut last = 0;
    for count in 1..=6 {
        let mut disk = folder.open().disk;
        write_entries(&mut disk, last + 1, last + 10);
        last += 10;
        let tail: Vec<_> = (last - count + 1..=last).map(entry).collect();
        disk.write(&[DiskWrite::InstallSnapshot(snapshot(last - count))], &tail)
            .expect("the write succeeds");
        write_entries(&mut disk, last + 1, last + 1);
        last += 1;
        drop(disk);
        let restored = folder.open().restored;
        let expected: Vec<_> = (last - count..=last).map(entry).collect();
        expect_that!(restored.entries, eq(&expected), "{count} entries after the snapshot");
    }
}

/// Earlier builds wrote the first frame of a log after a snapshot without the number of writes.
fn entries_of_earlier_build(folder: &Folder) {
    for count in (1..=20).chain([127, 128, 300]) {
        let mut disk = folder.open().disk;
        disk.write(&[DiskWrite::InstallSnapshot(snapshot(1_000))], &[])
            .expect("the write succeeds");
        drop(disk);
        let entries: Vec<_> = (1_001..=1_000 + count).map(entry).collect();
        let body = postcard::to_stdvec(&[DiskWrite::Append(entries.clone())]).unwrap();
        let mut frame = b"HBDf".to_vec();
        frame.extend(u32::try_from(body.len()).unwrap().to_le_bytes());
        frame.extend(crc32fast::hash(&body).to_le_bytes());
        frame.extend(body);
        fs::write(folder.log_path(), frame).expect("the write succeeds");
        let opened = folder.open();
        expect_that!(opened.restored.entries, eq(&entries));
        let mut disk = opened.disk;
        write_entries(&mut disk, 1_001 + count, 1_001 + count);
        drop(disk);
        expect_that!(folder.open().restored.entries.len() as u64, eq(count + 1));
    }
}

fn crash_during_rotation(folder: &Folder) {
    let mut disk = folder.open().disk;
    write_entries(&mut disk, 1, 10);
    drop(disk);
    // The next log file was created, but the snapshot file with its number was not
    // renamed.
    fs::write(folder.0.join("log-1"), b"HBDf").expect("the write succeeds");
    fs::write(folder.0.join("snapshot.partial"), b"half").expect("the write succeeds");
    expect_that!(folder.open().restored.entries.len(), eq(10));
}

fn emptied_folder(folder: &Folder) {
    let store_id = folder.open().disk.store_id();
    fs::remove_dir_all(&folder.0).expect("the removal succeeds");
    expect_that!(folder.open().disk.store_id(), not(eq(store_id)));
}

fn folder_in_use(folder: &Folder) {
    let _opened = folder.open();
    expect_that!(Disk::open(&folder.0).err(), some(matches_pattern!(Error::Locked { .. })));
}

#[gtest]
fn folder_of_a_later_format_is_not_opened() {
    let folder = Folder::new();
    drop(folder.open());
    fs::write(folder.0.join("format"), "2\n").expect("the write succeeds");
    let error = Disk::open(&folder.0).expect_err("the folder does not open");
    expect_that!(error, matches_pattern!(Error::LaterFormat { found: &2, .. }));
    expect_that!(error.to_string(), contains_substring("start the later build"));
}

#[gtest]
fn folder_without_a_format_file_is_opened() {
    let folder = Folder::new();
    write_entries(&mut folder.open().disk, 1, 3);
    fs::remove_file(folder.0.join("format")).expect("the file is there");
    expect_that!(folder.open().restored.entries.len(), eq(3));
    expect_that!(folder.0.join("format").exists(), eq(true));
}
