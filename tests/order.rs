//! The client that sends orders to targets, against targets that misbehave.

use std::{net, time::Duration};

use googletest::prelude::*;
use hornbeamdock::{
    connection::order::{Client, Order},
    version::memory::{Ack, Item, Verb},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::oneshot,
};

/// Bytes that a target can send until the client closes the connection, with room for the
/// buffers of both sockets.
const MAX_BYTES: u64 = 16 << 20;
/// Longest time until then.
const TIME_LIMIT: Duration = Duration::from_secs(5);

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
    endless_body_after_a_status_is_given_up =>
        check("HTTP/1.1 200 OK\r\n\r\n", some(eq(Ack::Done)));
    endless_head_is_given_up => check("HTTP/1.1 200 OK\r\nx-endless: ", none());
}

/// Starts a target that answers with `start` and then sends bytes without end. Returns how
/// many it could send once the connection is closed.
async fn start_target(start: &'static str) -> (net::SocketAddr, oneshot::Receiver<u64>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 4_096];
        let _ = stream.read(&mut received).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let chunk = [b'x'; 16 << 10];
        let mut count = 0;
        while let Ok(written) = stream.write(&chunk).await {
            count += written as u64;
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

/// Sends an order, and checks its outcome and that the client stops reading.
async fn check(start: &'static str, expected: impl Matcher<Option<Ack>>) {
    let (address, sent) = start_target(start).await;
    let order = Order {
        address,
        verb: Verb::Load,
        item: Item::Model("m".into()),
        memory: 100,
        fence: 1,
        incarnation: 1,
    };
    let client = Client::new();
    let ack = tokio::time::timeout(TIME_LIMIT, client.send(&order)).await;
    expect_that!(ack.expect("the client gives up"), expected);
    let sent = tokio::time::timeout(TIME_LIMIT, sent).await.expect("the connection is closed");
    expect_that!(sent.expect("the target counts"), lt(MAX_BYTES));
}
