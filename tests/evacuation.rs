//! Evacuations of failure domains in the replicated state.

use hornbeamdock::version::{
    evacuation::{Evacuations, MAX_DOMAINS, MAX_NAME_BYTES},
    state::{Change, Command, Outcome, State},
};

fn apply(state: &mut State, index: u64, domain: &str, begins: bool) -> Outcome {
    let change = Change::Evacuation { domain: domain.to_owned(), begins };
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
    assert!(!evacuations.begin(&"x".repeat(MAX_NAME_BYTES + 1), 1));
    for (number, index) in (0..MAX_DOMAINS).zip(1..) {
        assert!(evacuations.begin(&number.to_string(), index));
    }
    assert!(!evacuations.begin("another", 100));
    evacuations.finish("0", 101);
    assert!(evacuations.begin("another", 102));
}
