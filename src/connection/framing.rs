//! What marks the end of a response's body.
//!
//! A length or the last chunk shows that a body is complete. A response with neither ends with
//! its connection (RFC 9112, section 6.3), which also ends when the process at its other side
//! does.

use http::header;
use hyper::body::Body;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which is zero for a response that has no body.
    Length,
    /// Its last chunk.
    Chunks,
    /// The end of the connection.
    CloseDelimited,
}

impl Framing {
    /// Returns the framing of a response that hyper has received.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::Bytes;
    /// use http_body_util::Full;
    /// use hornbeamdock::connection::framing::Framing;
    ///
    /// let response = http::Response::new(Full::new(Bytes::from("whole")));
    /// let (head, body) = response.into_parts();
    /// assert_eq!(Framing::of(&head, &body), Framing::Length);
    /// ```
    #[must_use]
    pub fn of(head: &http::response::Parts, body: &impl Body) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        if is_chunked(&head.headers) { Self::Chunks } else { Self::CloseDelimited }
    }

    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::CloseDelimited => "connection",
        }
    }
}

/// Returns true if `chunked` is the last of the transfer codings.
fn is_chunked(headers: &http::HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|v| v.to_str().ok()).and_then(|v| v.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
