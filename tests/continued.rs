//! End-to-end test of streams through an entry process that break off, whose next target
//! answers with something other than the rest of the stream.

#![allow(clippy::cast_possible_truncation, reason = "amounts in tests are small")]

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use googletest::prelude::*;
use serde_json::json;
use support::{
    Call, Cluster,
    raw::{self, Answer, Received},
};

/// More bytes than an event may have.
const TOO_LONG: usize = 80 << 10;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Name of the case, and what the next target answers.
const CASES: [(&str, &str); 9] = [
    ("failed", "HTTP/1.1 500 Failed\r\ncontent-length: 10\r\n\r\noverload\n\n"),
    (
        "failed-events",
        "HTTP/1.1 500 Failed\r\ncontent-type: text/event-stream\r\nx-resumable: 1\r\n\r\n\
         data: overload\n\n",
    ),
    ("invalid", "HTTP/1.1 400 No\r\n\r\noverload\n\n"),
    ("page", "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-length: 10\r\n\r\noverload\n\n"),
    (
        "json",
        "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-type: application/json\r\n\r\n\
         {\"error\": \"overload\"}\n\n",
    ),
    (
        "text",
        "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-type: text/event-stream\r\n\r\n\
         data: overload\n\ndata: [DONE]\n\n",
    ),
    (
        "error",
        "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-type: text/event-stream\r\n\r\n\
         data: {\"error\": {\"message\": \"overload\"}}\n\ndata: [DONE]\n\n",
    ),
    (
        "event",
        "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-type: text/event-stream\r\n\r\n\
         event: error\ndata: {\"message\": \"overload\"}\n\ndata: [DONE]\n\n",
    ),
    (
        "head",
        "HTTP/1.1 200 OK\r\nx-resumable: 1\r\ncontent-type: text/event-stream\r\n\r\n\
         HTTP/1.1 500 Failed\r\nx-error: overload\r\n\r\noverload\n\ndata: [DONE]\n\n",
    ),
];

/// Whether a target has sent the head of the stream `head-only`, and then closed.
static HEAD_SENT: AtomicBool = AtomicBool::new(false);

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
    error_of_the_next_engine_does_not_get_into_a_broken_stream => check_next();
    error_event_of_an_engine_does_not_get_into_a_stream_that_continues => check_error_event();
    stream_that_broke_off_after_its_head_does_not_end_as_complete => check_head_only();
    error_event_of_an_engine_before_its_output_reaches_the_caller => check_error_first();
}

fn token(number: u32) -> String {
    let chunk = json!({"choices": [{"index": 0, "delta": {"content": format!("t{number} ")}}]});
    format!("data: {chunk}\n\n")
}

/// Begins each stream with two tokens and breaks it off; answers the rest by [`CASES`].
fn respond(request: &Received) -> Answer {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-resumable: 1\r\n\
                connection: close\r\n\r\n";
    let is_case = |(name, _): &&(&str, &str)| request.body.contains(&format!("\"case-{name}\""));
    if request.body.contains("\"head-only\"") {
        let is_first = !HEAD_SENT.swap(true, Ordering::Relaxed);
        return closing(if is_first { head.to_owned() } else { CASES[3].1.to_owned() });
    }
    let text = match (request.offset, CASES.iter().find(is_case)) {
        _ if request.path == "/orders" => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
        (Some(_), Some((_, answer))) => (*answer).to_owned(),
        (Some(offset), None) => {
            let rest: String = (u32::try_from(offset).unwrap_or(9)..4).map(token).collect();
            format!("{head}{rest}data: [DONE]\n\n")
        }
        (None, _) => {
            let error = "event: error\ndata: {\"error\": {\"message\": \"overload\"}}\n\n";
            // One that is cut is taken for a crash, after which few requests are sent at a time.
            let end = match &request.body {
                body if body.contains("\"error-event\"") => error.to_owned(),
                body if body.contains("\"sound\"") => "data: {\"choices\"".to_owned(),
                body if body.contains("\"error-first\"") => {
                    return closing(format!("{head}{error}"));
                }
                _ => "x".repeat(TOO_LONG),
            };
            format!("{head}{}{}{end}", token(0), token(1))
        }
    };
    closing(text)
}

fn closing(text: String) -> Answer {
    Answer { bytes: text.into_bytes(), closes: true }
}

async fn start() -> Cluster {
    let cluster = Cluster::start(1, 1).await;
    cluster.configure().await;
    let model = json!({"schema": 2, "kind": "model", "name": "adviser", "version": 2,
        "memory_mib": 400, "copies": 3, "max_output": 64});
    cluster.admin_until_accepted(0, "POST", "records", &model.to_string()).await;
    for name in ["e1", "e2", "e3"] {
        let fields = json!({"class": "engine", "domain": "a", "memory_mib": 1000,
            "incarnation": 1, "width": 64,
            "resident": [{"kind": "model", "name": "adviser", "memory_mib": 400}]});
        raw::start(cluster.internal_addresses[0], name, fields, respond).await;
    }
    cluster
}

async fn ask(cluster: &Cluster, case: &str) -> Option<(Vec<String>, String, bool)> {
    let call: Call =
        cluster.chat_call(0, &format!(r#""stream": true, "max_tokens": 4, "user": "{case}""#));
    let response = tokio::time::timeout(TIMEOUT, cluster.client.call(call)).await.ok()??;
    (response.status == 200).then(|| (response.tokens(), response.text, response.complete))
}

/// Asks until a stream has begun: the targets may not be known yet.
async fn ask_until_begun(cluster: &Cluster, case: &str) -> (Vec<String>, String, bool) {
    for _ in 0..50 {
        if let Some(answer) = ask(cluster, case).await {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no stream began: {case}");
}

async fn check_next() {
    let cluster = start().await;
    let whole: Vec<_> = (0..4).map(|n| format!("t{n}")).collect();
    let (tokens, text, complete) = ask_until_begun(&cluster, "sound").await;
    expect_that!((&tokens, complete), eq((&whole, true)), "{text}");
    for (case, _) in CASES {
        let (tokens, text, complete) = ask_until_begun(&cluster, &format!("case-{case}")).await;
        expect_that!(tokens, eq(&whole[..2]), "{case}");
        expect_that!(text, not(contains_substring("overload")), "{case}");
        expect_that!(text, not(contains_substring("[DONE]")), "{case}");
        expect_that!(complete, eq(false), "{case}");
    }
}

async fn check_error_event() {
    let cluster = start().await;
    let whole: Vec<_> = (0..4).map(|n| format!("t{n}")).collect();
    let (tokens, text, complete) = ask_until_begun(&cluster, "error-event").await;
    expect_that!(text, not(contains_substring("overload")));
    expect_that!((tokens, complete), eq(&(whole, true)), "{text}");
}

async fn check_error_first() {
    let cluster = start().await;
    let (tokens, text, complete) = ask_until_begun(&cluster, "error-first").await;
    expect_that!(tokens, is_empty());
    expect_that!(text.matches("overload").count(), eq(1), "{text}");
    expect_that!(complete, eq(false));
}

async fn check_head_only() {
    let cluster = start().await;
    let (tokens, text, complete) = ask_until_begun(&cluster, "head-only").await;
    expect_that!(HEAD_SENT.load(Ordering::Relaxed), eq(true));
    expect_that!(tokens, is_empty());
    expect_that!(text, not(contains_substring("overload")));
    expect_that!(complete, eq(false), "{text}");
}
