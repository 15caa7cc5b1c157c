//! Arbitrary bytes at every reader: errors, and neither panics nor unbounded
//! memory. `PROPTEST_CASES` sets how many; the seeds are fixed otherwise.

use std::{env, fs, process};

use hornbeamdock::{
    connection::{announcement, peer},
    process::disk,
    request::sse,
    version::{key, record::wire, state},
};
use proptest::{prelude::*, test_runner};

/// Cases of each property in CI.
const CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    let cases = env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(CASES);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: test_runner::RngAlgorithm::ChaCha,
        rng_seed: test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Text that looks like records, with something wrong here and there.
fn nearly_records() -> impl Strategy<Value = String> {
    let part = prop_oneof![
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
    prop::collection::vec(part, 0..9).prop_map(|parts| format!("{{{}}}", parts.join(", ")))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn records_of_any_text(text in any::<String>()) {
        let _ = wire::read(&text);
    }

    #[test]
    fn records_of_nearly_right_text(text in nearly_records()) {
        if let Ok(records) = wire::read(&text) {
            let shown: Vec<_> = records.iter().map(wire::show).collect();
            let again = wire::read(&serde_json::Value::Array(shown).to_string());
            prop_assert_eq!(again, Ok(records));
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
        let whole: Vec<u8> = chunks.concat();
        let mut splitter = sse::Splitter::default();
        let mut events = Vec::new();
        for chunk in &chunks {
            prop_assert!(splitter.push(chunk).is_ok());
            while let Some(event) = splitter.next_event() {
                let _ = sse::event_kind(&event);
                events.extend_from_slice(&event);
            }
        }
        // Whatever the cuts, events are the start of what came in.
        prop_assert!(whole.starts_with(&events));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: config().cases / 10, ..config() })]

    #[test]
    fn data_folders(bytes in prop::collection::vec(any::<u8>(), 0..400), name in 0..3_usize) {
        let folder = env::temp_dir().join(format!("hornbeamdock-fuzz-{}", process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("it can be made");
        let file = ["log-0", "snapshot", "store"][name];
        fs::write(folder.join(file), bytes).expect("it can be written");
        let _ = disk::Disk::open(&folder);
        let _ = fs::remove_dir_all(&folder);
    }
}
