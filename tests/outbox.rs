//! The queue of a connection that takes nothing while messages for it go on: it must stay within
//! its bytes, and lose neither departures nor the order of the log.

use googletest::prelude::*;
use hornbeamdock::connection::outbox::{Class, Outbox};
use proptest::{collection::vec, prelude::*};

fn class() -> impl Strategy<Value = Class> {
    prop::sample::select(vec![Class::Departure, Class::Log, Class::State, Class::Loads])
}

fn drain(outbox: &mut Outbox<(Class, usize)>) -> Vec<(Class, usize)> {
    std::iter::from_fn(|| outbox.pop()).collect()
}

proptest! {
    #[test]
    fn full_queue_stays_within_its_bytes(messages in vec((class(), 0..400_usize), 0..60)) {
        let mut outbox = Outbox::new(1_000);
        let mut dropped = 0;
        for (number, (class, bytes)) in messages.iter().enumerate() {
            dropped += outbox.push(*class, *bytes, (*class, number));
            let departures: usize = messages[..=number]
                .iter()
                .filter(|(class, _)| *class == Class::Departure)
                .map(|(_, bytes)| bytes)
                .sum();
            prop_assert!(outbox.bytes() <= 1_000.max(departures + 400));
        }
        let sent = drain(&mut outbox);
        prop_assert_eq!(sent.len() + dropped, messages.len());
        prop_assert_eq!(outbox.bytes(), 0);
        prop_assert!(sent.is_sorted());
        let departures = messages.iter().filter(|(class, _)| *class == Class::Departure).count();
        prop_assert_eq!(sent.iter().filter(|(c, _)| *c == Class::Departure).count(), departures);
    }
}

#[gtest]
fn loads_are_dropped_first_and_the_latest_of_them_last() {
    let mut outbox = Outbox::new(1_000);
    let classes = [Class::Loads, Class::State, Class::Loads, Class::Log, Class::Departure];
    for (number, class) in classes.into_iter().cycle().take(20).enumerate() {
        outbox.push(class, 100, (class, number));
    }
    let sent = drain(&mut outbox);
    let numbers = |class| -> Vec<usize> {
        sent.iter().filter(|(c, _)| *c == class).map(|(_, n)| *n).collect()
    };
    expect_that!(numbers(Class::Departure), eq(&vec![4, 9, 14, 19]));
    expect_that!(numbers(Class::Log), eq(&vec![3, 8, 13, 18]));
    expect_that!(numbers(Class::State), eq(&vec![11, 16]));
    expect_that!(numbers(Class::Loads), eq(&Vec::<usize>::new()));
}

#[gtest]
fn message_larger_than_the_queue_is_sent_if_nothing_else_waits() {
    let mut outbox = Outbox::new(1_000);
    outbox.push(Class::Log, 5_000, (Class::Log, 0));
    expect_that!(drain(&mut outbox), elements_are![eq(&(Class::Log, 0))]);
}
