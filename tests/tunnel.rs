//! Ends of connections through another gateway, in random orders and after every byte. Rule: the
//! bytes end in the regular way only if the target ended them and all have arrived.

use std::{env, io, net::Ipv4Addr, time::Duration};

use googletest::prelude::*;
use hornbeamdock::connection::tunnel::{self, EndMark, Ended};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const DEFAULT_SEEDS: u64 = 400;

/// Most writes of a target, and most bytes of one.
const MAX_WRITES: u32 = 6;
const MAX_BYTES: usize = 40_000;

/// Two frames and the empty one at the end, as they are written.
const FRAMES: &[u8] = b"\x00\x05first\x00\x06second\x00\x00";

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $run.await;
            }
        )+
    };
}

cases! {
    end_in_random_orders_is_regular_only_if_the_target_ended => random_orders();
    bytes_cut_anywhere_do_not_end_in_the_regular_way => cut_anywhere();
    connection_without_marks_never_ends_in_the_regular_way => unmarked_end();
    frame_above_the_limit_is_an_error => long_frame();
    end_of_the_target_is_told => reported_ends();
}

/// What ends a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The target closes it.
    Close,
    /// The target resets it.
    Reset,
    /// The gateway between is killed while the target keeps it open.
    Kill,
    /// The target closes it, and the gateway between is killed at about the same time.
    CloseAndKill,
}

const ENDS: [End; 4] = [End::Close, End::Reset, End::Kill, End::CloseAndKill];

/// Returns both sides of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    (connected.unwrap(), accepted.unwrap().0)
}

/// Reads to the end; returns what arrived and whether the end was regular.
async fn read(stream: TcpStream, mark: EndMark) -> (Vec<u8>, io::Result<()>) {
    let mut stream = tunnel::relayed(stream, mark);
    let mut bytes = Vec::new();
    let read = time::timeout(Duration::from_secs(10), stream.read_to_end(&mut bytes)).await;
    let ended = read.expect("the connection did not end").map(drop);
    // A reader may try again after the end, which stays what it was.
    let again = stream.read_u8().await.map_err(|error| error.kind());
    assert_eq!(again, Err(io::ErrorKind::UnexpectedEof));
    (bytes, ended)
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name| env::var(name).ok().and_then(|v| v.parse().ok());
    let first = number("HORNBEAMDOCK_SEED").unwrap_or(0);
    first..first + number("HORNBEAMDOCK_SEEDS").unwrap_or(DEFAULT_SEEDS)
}

async fn random_orders() {
    let (mut regular, mut broken) = (0, 0);
    for seed in seeds() {
        let ended = random_order(seed).await;
        if ended { regular += 1 } else { broken += 1 }
    }
    println!("{regular} regular ends, {broken} others");
    expect_that!(regular, gt(0));
    expect_that!(broken, gt(0));
}

async fn random_order(seed: u64) -> bool {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (reader, to_caller) = connection().await;
    let (mut target, to_target) = connection().await;
    let between = tokio::spawn(tunnel::copy(to_caller, to_target, EndMark::Frame));
    let reading = tokio::spawn(read(reader, EndMark::Frame));
    let mut sent = Vec::new();
    for _ in 0..random.random_range(0..=MAX_WRITES) {
        let bytes: Vec<u8> = vec![random.random(); random.random_range(1..=MAX_BYTES)];
        target.write_all(&bytes).await.unwrap();
        sent.extend_from_slice(&bytes);
        time::sleep(Duration::from_micros(random.random_range(0..300))).await;
    }
    let end = ENDS[random.random_range(0..ENDS.len())];
    match end {
        End::Close => drop(target),
        End::Reset => target.set_zero_linger().map(|()| drop(target)).unwrap(),
        End::Kill => {
            between.abort();
            // Keeps the connection to the target open until the end of the other one was read.
            let (arrived, ended) = reading.await.unwrap();
            drop(target);
            return judge(seed, end, &sent, &arrived, &ended);
        }
        End::CloseAndKill => {
            drop(target);
            time::sleep(Duration::from_micros(random.random_range(0..300))).await;
            between.abort();
        }
    }
    let (arrived, ended) = reading.await.unwrap();
    judge(seed, end, &sent, &arrived, &ended)
}

fn judge(seed: u64, end: End, sent: &[u8], arrived: &[u8], ended: &io::Result<()>) -> bool {
    let is_regular = ended.is_ok();
    let all = arrived == sent;
    let allowed = match end {
        End::Close => is_regular && all,
        End::Reset | End::Kill => !is_regular,
        End::CloseAndKill => !is_regular || all,
    };
    let what =
        format!("seed {seed}, {end:?}: {} of {} bytes, {ended:?}", arrived.len(), sent.len());
    expect_that!(sent.starts_with(arrived), eq(true), "{what}");
    expect_that!(allowed, eq(true), "{what}");
    is_regular
}

async fn cut_anywhere() {
    for length in 0..=FRAMES.len() {
        let (reader, mut writer) = connection().await;
        writer.write_all(&FRAMES[..length]).await.unwrap();
        drop(writer);
        let (_, ended) = read(reader, EndMark::Frame).await;
        expect_that!(ended.is_ok(), eq(length == FRAMES.len()), "after {length} bytes");
    }
}

async fn unmarked_end() {
    let (reader, mut writer) = connection().await;
    writer.write_all(b"part").await.unwrap();
    drop(writer);
    let (arrived, ended) = read(reader, EndMark::Absent).await;
    expect_that!(arrived, eq(b"part"));
    expect_that!(ended.unwrap_err().kind(), eq(io::ErrorKind::UnexpectedEof));
}

async fn long_frame() {
    let (reader, mut writer) = connection().await;
    writer.write_all(&[u8::MAX; 4]).await.unwrap();
    let (_, ended) = read(reader, EndMark::Frame).await;
    expect_that!(ended, err(anything()));
}

async fn reported_ends() {
    for mark in [EndMark::Frame, EndMark::Absent] {
        for expected in [Ended::ByTarget, Ended::Broken, Ended::ByCaller] {
            let (caller, to_caller) = connection().await;
            let (target, to_target) = connection().await;
            let between = tokio::spawn(tunnel::copy(to_caller, to_target, mark));
            match expected {
                Ended::ByTarget => drop(target),
                Ended::Broken => target.set_zero_linger().map(|()| drop(target)).unwrap(),
                Ended::ByCaller => drop(caller),
            }
            expect_that!(between.await.unwrap(), eq(expected), "{mark:?}");
        }
    }
}
