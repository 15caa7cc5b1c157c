//! Announcements that a replica sends on, for 3,000 targets: the other replicas must neither take a
//! target for down nor get each announcement.

use std::time::Duration;

use googletest::prelude::*;
use hornbeamdock::version::{
    directory::{AnnouncedTarget, Directory},
    forwarding::Forwarding,
    view::Presence,
};

fn announced(target: u32, seq: u64, cold_left: Duration) -> AnnouncedTarget {
    AnnouncedTarget {
        id: format!("t{target}"),
        service: "advice".into(),
        address: ([127, 0, 0, 1], u16::try_from(target).unwrap() + 1).into(),
        domain: "a".into(),
        software: "1".into(),
        slots: 8,
        presence: Presence::Up,
        incarnation: 1,
        seq,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left,
    }
}

/// Announces `targets` every `interval` for 20 s, while every `lost`th announcement that is sent
/// on is lost. Returns the announcements sent on per second and the targets taken for down.
fn run(targets: u32, interval: Duration, lost: u64) -> (u64, usize) {
    let (mut forwarding, mut directory) = (Forwarding::default(), Directory::default());
    let (mut sent, mut down) = (0, 0);
    for round in (0_u32..).take_while(|round| interval * *round < Duration::from_secs(20)) {
        let now = interval * round;
        for target in 0..targets {
            let announced = announced(target, u64::from(round) + 1, Duration::ZERO);
            if forwarding.is_due(&announced, now) {
                sent += 1;
                if sent % lost != 0 {
                    directory.announce(announced, now);
                }
            }
        }
        directory.tick(now);
        down = down.max(directory.targets().filter(|t| t.presence == Presence::Down).count());
    }
    (sent / 20, down)
}

/// Each case gives the targets, the ms between their announcements, and the most that are sent on
/// per second.
macro_rules! cases {
    ($($name:ident: $targets:literal, $interval:literal => $most:literal;)*) => {
        $(
            #[gtest]
            fn $name() {
                let (sent, down) = run($targets, Duration::from_millis($interval), 7);
                expect_that!(sent, le($most));
                expect_that!(down, eq(0));
            }
        )*
    };
}

cases! {
    announcements_each_second: 300, 1_000 => 160;
    announcements_four_times_a_second: 300, 250 => 300;
    announcements_at_the_longest_interval: 300, 1_500 => 210;
    announcements_just_before_a_renewal: 300, 1_090 => 160;
}

#[gtest]
fn target_that_becomes_cold_again_is_told_at_once() {
    let mut forwarding = Forwarding::default();
    let told = [(1, 900), (2, 800), (3, 2_000), (4, 1_900), (5, 0), (6, 0)].map(|(seq, cold)| {
        forwarding.is_due(&announced(1, seq, Duration::from_millis(cold)), Duration::ZERO)
    });
    expect_that!(told, eq([true, false, true, false, true, false]));
}
