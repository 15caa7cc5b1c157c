//! Headers on their way from a caller to a target and back.

use http::header;

use crate::version::key;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Headers that carry keys, and the host that the caller named.
const PRIVATE: [&str; 3] = ["authorization", "host", "x-api-key"];

/// What a request's headers say about its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// There is none.
    None,
    /// There is one key.
    Key {
        /// The key as presented.
        presented: key::Presented,
        /// The whole key, to look for it elsewhere in the request.
        text: String,
    },
    /// There is something that is not one well-formed key.
    Malformed,
}

/// Reads the key from `Authorization: Bearer` or `X-Api-Key`.
///
/// Two credentials are malformed, even equal ones: which of them another
/// process would take is not for us to guess.
#[must_use]
pub fn credential(headers: &http::HeaderMap) -> Credential {
    let bearer = headers.get_all(header::AUTHORIZATION).iter().map(bearer_token);
    let plain = headers.get_all("x-api-key").iter().map(|v| v.to_str().ok());
    let mut tokens = bearer.chain(plain);
    let Some(first) = tokens.next() else {
        return Credential::None;
    };
    if tokens.next().is_some() {
        return Credential::Malformed;
    }
    let text = first.map(str::trim);
    match text.and_then(|t| key::Presented::parse(t).map(|p| (t, p))) {
        Some((text, presented)) => Credential::Key { presented, text: text.to_owned() },
        None => Credential::Malformed,
    }
}

fn bearer_token(value: &http::HeaderValue) -> Option<&str> {
    let (scheme, token) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token)
}

/// Returns the headers that go on to the other side.
#[must_use]
pub fn forwarded(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = end_to_end(headers);
    for name in PRIVATE {
        kept.remove(name);
    }
    kept
}

/// Returns the headers that concern more than one connection.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let nominated: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let removed =
            HOP_BY_HOP.contains(&name.as_str()) || nominated.iter().any(|n| n == name.as_str());
        if !removed {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns true if the key's text stands anywhere that a target would see.
#[must_use]
pub fn leaks(text: &str, uri: &http::Uri, headers: &http::HeaderMap, body: &[u8]) -> bool {
    let finder = memchr::memmem::Finder::new(text.as_bytes());
    let holds = |bytes: &[u8]| finder.find(bytes).is_some();
    let in_headers = headers.values().any(|v| holds(v.as_bytes()));
    let in_query = uri.path_and_query().is_some_and(|p| holds(p.as_str().as_bytes()));
    in_query || in_headers || holds(body)
}
