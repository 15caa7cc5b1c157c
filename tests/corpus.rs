//! Messages and data folders that were written by earlier builds, in `tests/corpus/COMMIT`:
//! this build reads them, and writes the same messages for those builds.
//!
//! `messages` has one frame a line, with a name and the bytes in hexadecimal. `data` has a
//! snapshot and a log, with a catalog of version 4, a key `k1` and a withdrawn key `k2`.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use hornbeamdock::{
    connection::peer::{Body, Frame, Hello, Identity, Received},
    process::{
        clock::{Clock, Stamp},
        disk::Disk,
    },
    version::{
        raft::Payload,
        state::{Command, Outcome, State},
    },
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const SECRET: &str = "a secret of the tests";

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            #[tokio::test]
            async fn $name() {
                $run.await;
            }
        )+
    };
}

cases! {
    messages_of_b5f8af1_are_read_and_written => messages("b5f8af1", 3);
    messages_of_a2f038e_are_read_and_written => messages("a2f038e", 2);
    data_folder_of_b5f8af1_is_read => async { data_folder("b5f8af1") };
    data_folder_of_a2f038e_is_read => async { data_folder("a2f038e") };
}

fn corpus(commit: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus").join(commit)
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Returns a frame without its timestamp.
fn body_bytes(frame: &[u8]) -> Vec<u8> {
    let (_, body) = postcard::take_from_bytes::<Stamp>(frame).expect("a timestamp");
    body.to_vec()
}

fn identity() -> Identity {
    Identity::new(SECRET, "new", Arc::new(Clock::new()))
}

/// Sends the frames to this build as a process of the earlier one does. Returns what it sends
/// back, which is each message that it has read.
async fn echo(version: u32, frames: &[Vec<u8>]) -> Vec<Option<Vec<u8>>> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = frames.len();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut sink, mut stream) = identity().accept(stream).await.unwrap();
        for _ in 0..count {
            let Ok(Received::Message(body)) = identity().receive(&mut stream).await else {
                return;
            };
            identity().send(&mut sink, body).await.unwrap();
        }
    });
    let codec = LengthDelimitedCodec::builder().little_endian().new_codec();
    let mut connection = Framed::new(TcpStream::connect(address).await.unwrap(), codec);
    let hello = Hello { protocol: version, secret: SECRET.into(), process: "old".into() };
    let frame = Frame { stamp: Clock::new().stamp(), body: Body::Hello(hello) };
    connection.send(Bytes::from(postcard::to_stdvec(&frame).unwrap())).await.unwrap();
    connection.next().await.unwrap().unwrap();
    let mut echoed = Vec::new();
    for frame in frames {
        connection.send(Bytes::from(frame.clone())).await.unwrap();
        let received = connection.next().await.and_then(std::result::Result::ok);
        echoed.push(received.map(|bytes| bytes.to_vec()));
    }
    echoed
}

async fn messages(commit: &str, version: u32) {
    let text = fs::read_to_string(corpus(commit).join("messages")).expect("the corpus is there");
    let named: Vec<_> = text.lines().filter_map(|line| line.split_once(' ')).collect();
    expect_that!(named.len(), eq(15));
    let frames: Vec<_> = named.iter().map(|(_, hex)| decode_hex(hex)).collect();
    for ((name, _), (frame, echoed)) in
        named.iter().zip(frames.iter().zip(echo(version, &frames).await))
    {
        let echoed = echoed.map(|bytes| body_bytes(&bytes));
        expect_that!(echoed, some(eq(&body_bytes(frame))), "{commit} {name}");
    }
}

fn data_folder(commit: &str) {
    let folder =
        std::env::temp_dir().join(format!("hornbeamdock-corpus-{commit}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    for file in fs::read_dir(corpus(commit).join("data")).unwrap().flatten() {
        fs::copy(file.path(), folder.join(file.file_name())).unwrap();
    }
    let opened = Disk::open(&folder).expect("the folder opens");
    let restored = opened.restored;
    let snapshot = restored.snapshot.expect("it has a snapshot");
    let mut state: State = postcard::from_bytes(&snapshot.data).expect("the snapshot decodes");
    expect_that!(restored.entries.len(), eq(3));
    for entry in restored.entries {
        let Payload::Command(bytes) = entry.payload else {
            panic!("an entry without a command");
        };
        let command: Command = postcard::from_bytes(&bytes).expect("the entry decodes");
        let outcome = state.apply(entry.position.index, &command);
        expect_that!(outcome, eq(&Outcome::Applied));
    }
    expect_that!(state.view.catalog().map(|c| c.version), some(eq(4)));
    let keys: Vec<_> = state.view.keys().map(|(id, _)| id.as_str()).collect();
    expect_that!(keys.contains(&"k1"), eq(true));
    expect_that!(restored.hard_state.vote, some(eq(1)));
    drop(opened.disk);
    // If this fails, the folder stays in the system's folder for temporary files.
    let _ = fs::remove_dir_all(&folder);
}
