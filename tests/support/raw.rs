//! Targets that answer each request with prepared bytes, well-formed or not.

use std::{io, net, sync::Arc, time::Duration};

use hornbeamdock_fakes::announce;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// A request as the target received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub path: String,
    pub body: String,
    /// Output events that the caller has, if the request continues a stream.
    pub offset: Option<u64>,
    /// Number of requests on the connection before this one.
    pub earlier: u32,
}

/// What the target sends, and whether it then closes the connection.
#[derive(Clone, Debug)]
pub struct Answer {
    pub bytes: Vec<u8>,
    pub closes: bool,
}

/// Starts a target that announces itself regularly to `entry` with `fields` beside its name
/// and address. Aborting the returned task ends its process: its port then refuses connections,
/// and the open ones are closed in the regular way.
pub async fn start(
    entry: net::SocketAddr,
    name: &'static str,
    fields: serde_json::Value,
    answer: impl Fn(&Received) -> Answer + Send + Sync + 'static,
) -> JoinHandle<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let mut announcement = fields;
    announcement["name"] = name.into();
    announcement["address"] = listener.local_addr().expect("an address").to_string().into();
    tokio::spawn(async move {
        loop {
            announce::send(entry, &announcement).await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    });
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            // Fails when the entry process closes the connection.
            connections.spawn(async move { serve(stream, &*answer).await });
        }
    })
}

async fn serve(
    mut stream: TcpStream,
    answer: &(impl Fn(&Received) -> Answer + Send + Sync),
) -> io::Result<()> {
    for earlier in 0.. {
        let received = read_request(&mut stream, earlier).await?;
        let Answer { bytes, closes } = answer(&received);
        stream.write_all(&bytes).await?;
        if closes {
            return stream.shutdown().await;
        }
    }
    Ok(())
}

async fn read_request(stream: &mut TcpStream, earlier: u32) -> io::Result<Received> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length = value("content-length:").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Received {
        path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        offset: value("x-resume-offset:").and_then(|v| v.parse().ok()),
        earlier,
    })
}
