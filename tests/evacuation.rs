//! Evacuations of failure domains in the replicated state.

use hornbeamdock::version::{
    evacuation::{Evacuations, MAX_DOMAINS, MAX_NAME_CHARS},
    state::{Change, Command, Outcome, State},
    view::Error,
};

fn apply(state: &mut State, index: u64, domain: &str, begins: bool) -> Outcome {
    apply_late(state, index, domain, begins, index - 1)
}

/// Applies a command whose proposer knew the log up to `known_at`.
fn apply_late(state: &mut State, index: u64, domain: &str, begins: bool, known_at: u64) -> Outcome {
    let change = Change::Evacuation { domain: domain.to_owned(), begins, known_at };
    state.apply(index, &Command { proposed_at: index, change })
}

/// Guards against a resent or late command that changes the state again.
#[test]
fn commands_may_be_committed_more_than_once() {
    let mut state = State::default();
    for index in [3, 4] {
        assert_eq!(apply(&mut state, index, "north", true), Outcome::Applied);
    }
    let begun: Vec<_> = state.view.evacuations().domains().collect();
    assert_eq!(begun, [("north", 3)]);
    for index in [5, 6] {
        assert_eq!(apply(&mut state, index, "north", false), Outcome::Applied);
    }
    assert!(state.view.evacuations().is_empty());
    assert_eq!(state.view.evacuations().finished_since(4).collect::<Vec<_>>(), ["north"]);
    assert_eq!(state.view.evacuations().finished_since(5).count(), 0);
}

/// Guards against a duplicate of a call that was given up and is committed after the opposite.
#[test]
fn late_duplicates_change_nothing() {
    let mut state = State::default();
    assert_eq!(apply_late(&mut state, 3, "north", true, 2), Outcome::Applied);
    assert_eq!(apply_late(&mut state, 4, "north", true, 2), Outcome::Applied);
    assert_eq!(apply_late(&mut state, 5, "north", false, 4), Outcome::Applied);
    let superseded = Error::EvacuationSuperseded { domain: "north".to_owned() };
    assert_eq!(apply_late(&mut state, 6, "north", true, 4), Outcome::Refused(superseded));
    assert!(state.view.evacuations().is_empty());
    assert_eq!(apply_late(&mut state, 7, "north", true, 6), Outcome::Applied);
    assert!(state.view.evacuations().contains("north"));
}

/// Guards against an evacuation that is lost with a snapshot.
#[test]
fn evacuations_are_part_of_a_snapshot() {
    let mut state = State::default();
    apply(&mut state, 3, "north", true);
    apply(&mut state, 4, "south", true);
    apply(&mut state, 5, "south", false);
    let bytes = state.encode().unwrap();
    assert_eq!(State::decode(&bytes).unwrap(), state);
}

/// Guards against snapshots that builds of different age can't read from one another.
#[test]
fn snapshots_of_earlier_builds_have_no_evacuations() {
    let mut state = State::default();
    let earlier = postcard::to_stdvec(&state).unwrap();
    assert_eq!(State::decode(&earlier).unwrap(), state);
    apply(&mut state, 3, "north", true);
    let read_by_earlier: State = postcard::from_bytes(&state.encode().unwrap()).unwrap();
    assert_eq!(read_by_earlier.index, 3);
}

/// Guards against operators' calls that let the state grow without bound.
#[test]
fn names_and_numbers_of_domains_are_bounded() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.begin("", 1));
    assert!(!evacuations.begin(&"x".repeat(MAX_NAME_CHARS + 1), 1));
    assert!(evacuations.begin(&"\u{f8}".repeat(MAX_NAME_CHARS), 1));
    evacuations.finish(&"\u{f8}".repeat(MAX_NAME_CHARS), 1);
    for (number, index) in (0..MAX_DOMAINS).zip(1..) {
        assert!(evacuations.begin(&number.to_string(), index));
    }
    assert!(!evacuations.begin("another", 100));
    evacuations.finish("0", 101);
    assert!(evacuations.begin("another", 102));
}
