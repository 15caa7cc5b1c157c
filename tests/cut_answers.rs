//! End-to-end test of a service that closes its connection in the middle of a response, after
//! each of its bytes: through an entry process none must look complete to the caller.

#![allow(clippy::cast_possible_truncation, reason = "amounts in tests are small")]

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use googletest::prelude::*;
use serde_json::json;
use support::{
    CALLER_KEY, Call, Cluster,
    raw::{self, Answer, Received},
};
use tokio::task::JoinSet;

/// A target that fails is not chosen for a second, so that many are needed.
const TARGETS: [&str; 24] = [
    "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11", "s12", "s13", "s14", "s15",
    "s16", "s17", "s18", "s19", "s20", "s21", "s22", "s23", "s24",
];

const BODY: &str = "{\"order\": 18}";

const FORMS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"order\": 18}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
     6\r\n{\"orde\r\n7;x=\"y\"\r\nr\": 18}\r\n0\r\nx-sum: 13\r\n\r\n",
];

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
    answer_cut_at_any_byte_is_not_complete => check(Route::Repeatable);
    answer_cut_at_any_byte_to_a_call_that_may_run_once_is_not_complete => check(Route::Claimed);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Route {
    Repeatable,
    Claimed,
}

/// Answers with the first bytes of a response, as the path or the body says.
fn respond(request: &Received, cut: &AtomicUsize) -> Answer {
    let asked = request.path.split('?').nth(1).unwrap_or(&request.body);
    let mut numbers = asked.split('-').filter_map(|n| n.parse::<usize>().ok());
    let (Some(form), Some(end)) = (numbers.next(), numbers.next()) else {
        return Answer { bytes: FORMS[0].into(), closes: false };
    };
    cut.fetch_add(1, Ordering::Relaxed);
    Answer { bytes: FORMS[form].as_bytes()[..end].to_vec(), closes: true }
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

async fn check(route: Route) {
    let cluster = Cluster::start(1, 1).await;
    cluster.configure().await;
    let cut = Arc::new(AtomicUsize::new(0));
    for name in TARGETS {
        let fields = json!({"class": "service", "service": "orders", "domain": "a",
            "incarnation": 1, "width": 64});
        let cut = cut.clone();
        let answer = move |request: &Received| respond(request, &cut);
        raw::start(cluster.internal_addresses[0], name, fields, answer).await;
    }
    let sound = cluster.call_until_success(|| call(&cluster, route, "whole")).await;
    expect_that!(sound.text, eq(BODY));
    let mut calls = JoinSet::new();
    for (form, whole) in FORMS.iter().enumerate() {
        for end in 0..whole.len() {
            let call = call(&cluster, route, &format!("{form}-{end}"));
            let client = cluster.client.clone();
            calls.spawn(async move { (form, end, client.call(call).await) });
        }
    }
    let answers = calls.join_all().await;
    let complete: Vec<_> = answers
        .iter()
        .filter(|(_, _, answer)| answer.as_ref().is_some_and(|a| a.status < 300 && a.complete))
        .collect();
    println!("{} responses cut, {} calls", cut.load(Ordering::Relaxed), answers.len());
    expect_that!(complete, is_empty());
    expect_that!(cut.load(Ordering::Relaxed), ge(answers.len() / 2));
}
