//! Tests of the decision whether a response that came to a regular end is complete.

use googletest::prelude::*;
use hornbeamdock::{
    connection::{
        ending::{self, Probe, Verdict},
        framing::Framing,
    },
    request::gateway::reach::ConnectFailure,
};

macro_rules! cases {
    ($($name:ident => $framing:ident, $probe:expr, $expected:ident;)+) => {
        $(
            #[gtest]
            fn $name() {
                expect_that!(
                    ending::judge(Framing::$framing, $probe),
                    eq(Verdict::$expected)
                );
            }
        )+
    };
}

cases! {
    length_marks_the_end => Length, None, Complete;
    last_chunk_marks_the_end => Chunks, None, Complete;
    length_marks_the_end_of_a_target_that_is_gone => Length, Some(Probe::Refused), Complete;
    last_chunk_marks_the_end_of_a_target_that_is_gone => Chunks, Some(Probe::Refused), Complete;
    end_of_the_connection_tells_nothing => CloseDelimited, None, Unknown;
    target_that_is_still_there_ended_its_response => CloseDelimited, Some(Probe::Opened), Complete;
    target_that_refuses_a_connection_may_have_ended_before =>
        CloseDelimited, Some(Probe::Refused), Truncated;
    target_that_is_not_reached_may_have_ended_before =>
        CloseDelimited, Some(Probe::Unreachable), Truncated;
}

macro_rules! failure_cases {
    ($($name:ident => $failure:expr, $expected:ident;)+) => {
        $(
            #[gtest]
            fn $name() {
                expect_that!(Probe::failed($failure), eq(Probe::$expected));
            }
        )+
    };
}

failure_cases! {
    refused_connection_shows_that_nothing_listens => Some(ConnectFailure::Refused), Refused;
    timeout_shows_that_the_target_is_not_reached => Some(ConnectFailure::TimedOut), Unreachable;
    other_failure_shows_that_the_target_is_not_reached => Some(ConnectFailure::Other), Unreachable;
    failure_of_an_open_connection_is_no_refusal => None, Unreachable;
}
