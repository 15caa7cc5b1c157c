//! End-to-end tests of answers without a length, which end with their connection, through an
//! entry process: those of a target that was killed must not look complete.

#![allow(clippy::cast_possible_truncation, reason = "amounts in tests are small")]

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use serde_json::json;
use support::{
    CALLER_KEY, Call, Cluster,
    raw::{self, Answer, Received},
    wait_until,
};

const BODY: &str = "{\"order\": 18}";

/// Time for the first part of an answer to pass the entry process.
const PASSING_TIME: Duration = Duration::from_millis(500);

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

// Guard against answers without a length that end early with their target and look complete.
cases! {
    answer_of_a_killed_target_is_not_complete_at_an_entry => kill(Route::Repeatable);
    answer_of_a_killed_target_to_a_call_that_may_run_once_is_not_complete_at_an_entry =>
        kill(Route::Claimed);
}

cases! {
    answer_that_its_target_ends_is_complete_at_an_entry => close(Route::Repeatable);
    answer_that_its_target_ends_to_a_call_that_may_run_once_is_complete_at_an_entry =>
        close(Route::Claimed);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Route {
    Repeatable,
    Claimed,
}

/// Answers with the first half of the body, or all of it and the end of the connection.
fn respond(request: &Received, cut: &AtomicUsize) -> Answer {
    let is_cut = request.path.ends_with("?cut") || request.body == "cut";
    cut.fetch_add(usize::from(is_cut), Ordering::Relaxed);
    let sent = if is_cut { &BODY[..6] } else { BODY };
    Answer { bytes: format!("HTTP/1.1 200 OK\r\n\r\n{sent}").into_bytes(), closes: !is_cut }
}

fn call(cluster: &Cluster, route: Route, asked: &str) -> Call {
    match route {
        Route::Repeatable => {
            let path = format!("/status?{asked}");
            Call::new("GET", cluster.listen_addresses[0], &path).key(CALLER_KEY)
        }
        Route::Claimed => cluster.shipment_call(0, &format!("key-{asked}"), asked),
    }
}

async fn start(cut: &Arc<AtomicUsize>) -> (Cluster, tokio::task::JoinHandle<()>) {
    let cluster = Cluster::start(1, 1).await;
    cluster.configure().await;
    let fields = json!({"class": "service", "service": "orders", "domain": "a",
        "incarnation": 1, "width": 64});
    let counted = cut.clone();
    let answer = move |request: &Received| respond(request, &counted);
    let target = raw::start(cluster.internal_addresses[0], "s1", fields, answer).await;
    (cluster, target)
}

async fn close(route: Route) {
    let (cluster, _target) = start(&Arc::default()).await;
    let answer = cluster.call_until_success(|| call(&cluster, route, "whole")).await;
    expect_that!(answer.text, eq(BODY));
    expect_true!(answer.complete);
}

async fn kill(route: Route) {
    let cut = Arc::<AtomicUsize>::default();
    let (cluster, target) = start(&cut).await;
    cluster.call_until_success(|| call(&cluster, route, "whole")).await;
    let (client, asked) = (cluster.client.clone(), call(&cluster, route, "cut"));
    let answer = tokio::spawn(async move { client.call(asked).await });
    let is_asked = || std::future::ready(cut.load(Ordering::Relaxed) > 0);
    wait_until("the target is asked", is_asked).await;
    tokio::time::sleep(PASSING_TIME).await;
    target.abort();
    let answer = tokio::time::timeout(Duration::from_secs(15), answer).await;
    let got = answer.ok().and_then(std::result::Result::unwrap);
    let looks_complete = got.as_ref().is_some_and(|a| a.status < 300 && a.complete);
    expect_false!(looks_complete, "{got:?}");
}
