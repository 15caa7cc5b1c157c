//! Table test of what proves that an answer belongs to a call without an id.

use googletest::prelude::*;
use hornbeamdock::connection::carried::{
    Answer::{self, Accepted, Complete, Other, Report},
    Call::{self, Load, Query, Unload},
    Carried,
};

macro_rules! cases {
    ($($name:ident: after $earlier:expr, $call:expr => sent $allowed:expr, proved by $proved:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                check(&$earlier, $call, $allowed, &$proved);
            }
        )+
    };
}

cases! {
    query_on_a_new_connection: after [], Query => sent true, proved by [Report];
    load_on_a_new_connection: after [], Load =>
        sent true, proved by [Report, Accepted, Complete, Other];
    unload_on_a_new_connection: after [], Unload =>
        sent true, proved by [Report, Accepted, Complete, Other];
    load_after_a_query: after [(Query, Report)], Load =>
        sent true, proved by [Accepted, Complete, Other];
    unload_after_two_queries: after [(Query, Report), (Query, Report)], Unload =>
        sent true, proved by [Accepted, Complete, Other];
    load_after_a_load: after [(Load, Accepted)], Load =>
        sent false, proved by [Report, Complete, Other];
    unload_after_a_load: after [(Load, Accepted)], Unload =>
        sent false, proved by [Report, Complete, Other];
    load_after_a_complete_unload: after [(Query, Report), (Unload, Complete)], Load =>
        sent true, proved by [Accepted, Other];
    unload_after_a_complete_unload: after [(Unload, Complete)], Unload =>
        sent false, proved by [Report, Accepted, Other];
    load_after_a_conflict: after [(Load, Other)], Load =>
        sent true, proved by [Report, Accepted, Complete];
    load_after_an_order_and_a_query: after [(Unload, Accepted), (Query, Report)], Load =>
        sent false, proved by [Complete, Other];
    query_after_orders: after [(Unload, Complete), (Load, Accepted)], Query =>
        sent true, proved by [Report];
}

/// Checks whether a call is sent on a connection with these earlier calls and their answers,
/// and which answers would belong to it.
fn check(earlier: &[(Call, Answer)], call: Call, allowed: bool, proved: &[Answer]) {
    let mut carried = Carried::default();
    for (earlier, answer) in earlier {
        expect_that!(carried.settle(*earlier, *answer), eq(true));
    }
    expect_that!(carried.allows(call), eq(allowed));
    let all = [Report, Accepted, Complete, Other];
    let belonging = all.into_iter().filter(|answer| carried.clone().settle(call, *answer));
    expect_that!(belonging.collect::<Vec<_>>(), container_eq(proved.to_vec()));
}
