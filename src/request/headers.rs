//! Filtering of headers forwarded between callers and targets, and extraction
//! of the API key.

use http::header;

use crate::version::key;

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and the
/// length of the body, which is written anew.
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

/// Headers that are never forwarded: credentials, and the host as the caller
/// named it.
const NEVER_FORWARDED: [&str; 3] = ["authorization", "host", "x-api-key"];

/// The API key in the `Authorization` or `X-Api-Key` header of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Neither header is present.
    None,
    /// Exactly one key.
    Key {
        /// The parsed key.
        presented: key::Presented,
        /// The key as sent, for finding copies of it in the rest of the
        /// request.
        text: String,
    },
    /// A malformed key, or more than one.
    Malformed,
}

/// Reads the key from `Authorization: Bearer` or `X-Api-Key`.
///
/// Two keys count as malformed, even equal ones, because it is not known which
/// of them another process would use.
#[must_use]
pub fn credential(headers: &http::HeaderMap) -> Credential {
    let bearer_tokens = headers.get_all(header::AUTHORIZATION).iter().map(bearer_token);
    let api_keys = headers.get_all("x-api-key").iter().map(|v| v.to_str().ok());
    let mut tokens = bearer_tokens.chain(api_keys);
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

/// Returns the end-to-end headers without credentials and host.
#[must_use]
pub fn forwarded(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = end_to_end(headers);
    for name in NEVER_FORWARDED {
        kept.remove(name);
    }
    kept
}

/// Returns the headers without the hop-by-hop ones and without those that
/// `Connection` lists.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let removed = HOP_BY_HOP.contains(&name.as_str())
            || connection_options.iter().any(|n| n == name.as_str());
        if !removed {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns true if the URI, the headers or the body contain the key, so that
/// the target would see it.
#[must_use]
pub fn leaks_key(key: &str, uri: &http::Uri, headers: &http::HeaderMap, body: &[u8]) -> bool {
    let finder = memchr::memmem::Finder::new(key.as_bytes());
    let contains = |bytes: &[u8]| finder.find(bytes).is_some();
    let in_headers = headers.values().any(|v| contains(v.as_bytes()));
    let in_uri = uri.path_and_query().is_some_and(|p| contains(p.as_str().as_bytes()));
    in_uri || in_headers || contains(body)
}
