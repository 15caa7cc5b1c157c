//! Property tests that feed arbitrary bytes to every parser. Invalid input must give
//! an error, not a panic or an unbounded allocation.
//!
//! `PROPTEST_CASES` sets the number of cases; the seed is fixed.

use std::{env, fs, process};

use hornbeamdock::{
    connection::{announcement, peer},
    process::disk,
    request::sse,
    version::{key, memory, record::wire, state},
};
use proptest::{prelude::*, test_runner};

/// Number of cases of each property in CI.
const DEFAULT_CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    let cases =
        env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(DEFAULT_CASES);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: test_runner::RngAlgorithm::ChaCha,
        rng_seed: test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Text similar to a JSON record, in most cases with missing or invalid fields.
fn record_like_text() -> impl Strategy<Value = String> {
    let field = prop_oneof![
        Just("\"schema\": 2".to_owned()),
        Just("\"kind\": \"model\"".to_owned()),
        Just("\"kind\": \"route\"".to_owned()),
        Just("\"name\": \"n\"".to_owned()),
        Just("\"version\": 1".to_owned()),
        Just("\"memory_mib\": 18446744073709551615".to_owned()),
        Just("\"backend\": {\"service\": [[[]]]}".to_owned()),
        "\"[a-z_]{1,9}\": [0-9]{1,25}",
        "[ -~]{0,20}",
    ];
    prop::collection::vec(field, 0..9).prop_map(|fields| format!("{{{}}}", fields.join(", ")))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn records_from_arbitrary_text(text in any::<String>()) {
        let _ = wire::parse(&text);
    }

    #[test]
    fn records_from_record_like_text(text in record_like_text()) {
        if let Ok(records) = wire::parse(&text) {
            let json: Vec<_> = records.iter().map(wire::to_json).collect();
            let parsed_again = wire::parse(&serde_json::Value::Array(json).to_string());
            prop_assert_eq!(parsed_again, Ok(records));
        }
    }

    #[test]
    fn announcements(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = announcement::parse(&bytes);
    }

    #[test]
    fn keys(text in any::<String>()) {
        let _ = key::Presented::parse(&text);
    }

    #[test]
    fn peer_frames(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<peer::Frame>(&bytes);
    }

    #[test]
    fn log_commands(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<state::Command>(&bytes);
        let _ = postcard::from_bytes::<state::State>(&bytes);
    }

    #[test]
    fn events(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..9)) {
        let input: Vec<u8> = chunks.concat();
        let mut splitter = sse::Splitter::default();
        let mut events = Vec::new();
        for chunk in &chunks {
            prop_assert!(splitter.push(chunk).is_ok());
            while let Some(event) = splitter.next_event() {
                let _ = sse::event_kind(&event);
                events.extend_from_slice(&event);
            }
        }
        // However the input is split into chunks, the events are a prefix of it.
        prop_assert!(input.starts_with(&events));
    }
}

/// Returns the events of an input that arrives in these chunks.
fn split_events(chunks: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut splitter = sse::Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("the input is short");
        events.extend(std::iter::from_fn(|| splitter.next_event()).map(|e| e.to_vec()));
    }
    events
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn events_do_not_depend_on_chunks(
        chunks in prop::collection::vec(prop::collection::vec(prop::sample::select(vec![b'a', b'\n', b'\r']), 0..5), 0..12)
    ) {
        prop_assert_eq!(split_events(&chunks), split_events(&[chunks.concat()]));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: config().cases / 10, ..config() })]

    #[test]
    fn data_folders(bytes in prop::collection::vec(any::<u8>(), 0..400), file in 0..3_usize) {
        let folder = env::temp_dir().join(format!("hornbeamdock-fuzz-{}", process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("folder cannot be created");
        let file = ["log-0", "snapshot", "store"][file];
        fs::write(folder.join(file), bytes).expect("file cannot be written");
        let _ = disk::Disk::open(&folder);
        let _ = fs::remove_dir_all(&folder);
    }
}

#[test]
fn absurd_usage_is_not_counted() {
    let usage =
        |tokens: &str| format!(r#"{{"choices": [], "usage": {{"total_tokens": {tokens}}}}}"#);
    let event = |tokens| sse::event_kind(format!("data: {}\n\n", usage(tokens)).as_bytes());
    assert_eq!(event("12"), sse::EventKind::Usage(12));
    assert_eq!(sse::usage(usage("12").as_bytes()).ok(), Some(Some(12)));
    for tokens in ["18446744073709551615", "18446744073709551616", "-1", "1e400"] {
        assert_eq!(event(tokens), sse::EventKind::Other, "{tokens}");
        assert_eq!(sse::usage(usage(tokens).as_bytes()).ok().flatten(), None, "{tokens}");
    }
}

#[test]
fn absurd_announcements_are_refused() {
    let plain = r#"{"name": "e1", "address": "127.0.0.1:80", "domain": "a", "memory_mib": 1000,
        "incarnation": 3, "width": 8, "resident": [{"kind": "model", "name": "m",
        "memory_mib": 400}]}"#;
    assert!(announcement::parse(plain.as_bytes()).is_ok());
    let nested = format!("\"domain\": {}", "[".repeat(100_000));
    for (sound, absurd) in [
        (":80\"", ":0\""),
        (":80\"", ":65536\""),
        ("\"memory_mib\": 1000", "\"memory_mib\": 18446744073709551615"),
        ("\"memory_mib\": 400", "\"memory_mib\": 18446744073709551615"),
        ("\"incarnation\": 3", "\"incarnation\": 18446744073709551615"),
        ("\"incarnation\": 3", "\"incarnation\": 1e400"),
        ("\"incarnation\": 3", "\"incarnation\": -1"),
        ("\"width\": 8", "\"width\": 4294967295"),
        ("\"domain\": \"a\"", nested.as_str()),
    ] {
        let text = plain.replace(sound, absurd);
        assert!(text != plain && announcement::parse(text.as_bytes()).is_err(), "{absurd:.99}");
    }
}

#[test]
fn absurd_memory_of_items_leaves_no_memory_free() {
    let mut ledger = memory::Ledger::default();
    let item = |name: &str| memory::Item::Model(name.into());
    ledger.add_target("e1", 1_000, &[(item("m"), u64::MAX), (item("n"), 2)]);
    assert_eq!(ledger.account("e1").map(memory::Account::free), Some(0));
}
