//! Tests of how the end of a response's body is marked.

use bytes::Bytes;
use futures_util::stream;
use googletest::prelude::*;
use hornbeamdock::connection::framing::Framing;
use http_body_util::{Empty, Full, StreamBody};
use hyper::body::{Body, Frame};

macro_rules! cases {
    ($($name:ident => $body:expr, $codings:expr, $expected:ident;)+) => {
        $(
            #[gtest]
            fn $name() {
                expect_that!(framing(&$body, &$codings), eq(Framing::$expected));
            }
        )+
    };
}

cases! {
    body_of_known_length_ends_with_it => Full::new(Bytes::from("whole")), [], Length;
    response_without_a_body_ends_with_its_head => Empty::<Bytes>::new(), [], Length;
    chunked_body_ends_with_its_last_chunk => unknown_length(), ["chunked"], Chunks;
    name_of_a_coding_is_case_insensitive => unknown_length(), ["Chunked"], Chunks;
    last_coding_decides => unknown_length(), ["gzip, chunked"], Chunks;
    last_of_several_headers_decides => unknown_length(), ["gzip", "chunked"], Chunks;
    coding_other_than_chunks_does_not_mark_the_end => unknown_length(), ["gzip"], CloseDelimited;
    chunks_inside_another_coding_do_not_mark_the_end =>
        unknown_length(), ["chunked, gzip"], CloseDelimited;
    body_without_length_and_chunks_ends_with_its_connection =>
        unknown_length(), [], CloseDelimited;
}

fn unknown_length() -> impl Body {
    StreamBody::new(stream::empty::<std::result::Result<Frame<Bytes>, std::io::Error>>())
}

fn framing(body: &impl Body, codings: &[&str]) -> Framing {
    let (mut head, ()) = http::Response::new(()).into_parts();
    for coding in codings {
        let value = http::HeaderValue::from_str(coding).unwrap();
        head.headers.append(http::header::TRANSFER_ENCODING, value);
    }
    Framing::of(&head, body)
}
