//! Admission of prompts to model engines by the leader.

use std::{collections, time::Duration};

use hornbeamdock::request::limit::{
    place::{Answer, Candidate, PlaceReply, PlaceRequest, PlaceUpdate, Progress},
    prefill::{LEAST_URGENT_INTERVAL, Prefill, Prefills},
};

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_millis(80);

fn request(permit: u64, targets: &[&str], priority: u32, max_wait: Duration) -> PlaceRequest {
    let candidate =
        |target: &&str| Candidate { target: (*target).to_owned(), incarnation: 1, slots: 64 };
    PlaceRequest {
        gateway: 1,
        permit,
        service: "lm".to_owned(),
        candidates: targets.iter().map(candidate).collect(),
        priority,
        states_output: true,
        rejection_limit: 20.0,
        lifetime: SECOND * 10,
        max_wait,
        prefill: None,
    }
}

fn prefill(workspace: &str, tokens: u32, candidates: usize) -> Prefill {
    Prefill {
        workspace: workspace.to_owned(),
        tokens: vec![tokens; candidates],
        delays: vec![Duration::ZERO; candidates],
        slack: SECOND,
        window: WINDOW,
    }
}

/// Asks for a place at one target, with calls numbered as the places.
fn ask(prefills: &mut Prefills, permit: u64, priority: u32, workspace: &str) -> Option<PlaceReply> {
    ask_at(prefills, permit, priority, workspace, Duration::ZERO)
}

fn ask_at(
    prefills: &mut Prefills,
    permit: u64,
    priority: u32,
    workspace: &str,
    now: Duration,
) -> Option<PlaceReply> {
    let request = request(permit, &["a"], priority, SECOND * 5);
    prefills.request(permit, request, prefill(workspace, 2_000, 1), now)
}

fn output(prefills: &mut Prefills, permit: u64, now: Duration) -> Vec<u64> {
    let update = PlaceUpdate { permit, progress: Progress::Output };
    calls(&prefills.update(1, &[update], now))
}

fn calls(answers: &[Answer]) -> Vec<u64> {
    answers.iter().map(|answer| answer.call).collect()
}

const GRANTED: PlaceReply = PlaceReply::Granted { candidate: 0, term: 3 };

/// Guards against a queue of prompts at an engine, which makes the streams there pause.
#[test]
fn engine_reads_one_long_prompt_at_a_time() {
    let mut prefills = Prefills::new(3);
    assert_eq!(ask(&mut prefills, 1, 0, "w"), Some(GRANTED));
    assert_eq!(ask(&mut prefills, 2, 0, "w"), None);
    assert_eq!(output(&mut prefills, 1, SECOND / 10), [2]);
}

/// Guards against engines that stand idle between short prompts.
#[test]
fn short_prompts_are_read_together() {
    let mut prefills = Prefills::new(3);
    for permit in 1..=2 {
        let request = request(permit, &["a"], 0, SECOND);
        let reply = prefills.request(permit, request, prefill("w", 300, 1), Duration::ZERO);
        assert_eq!(reply, Some(GRANTED));
    }
}

macro_rules! next_in_line {
    ($($name:ident: $waiting:expr => $order:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(order_of(&$waiting), $order);
        })+
    };
}

/// Lets requests (priority, workspace) wait for one engine and returns the order in which they
/// are let through, by position.
fn order_of(waiting: &[(u32, &str)]) -> Vec<usize> {
    let mut prefills = Prefills::new(3);
    assert_eq!(ask(&mut prefills, 100, 0, "first"), Some(GRANTED));
    for (permit, (priority, workspace)) in (0..).zip(waiting) {
        assert_eq!(ask(&mut prefills, permit, *priority, workspace), None);
    }
    let mut order = Vec::new();
    let mut last = 100;
    for step in 0..u32::try_from(waiting.len()).unwrap() {
        let now = Duration::from_millis(100) * (step + 1);
        last = output(&mut prefills, last, now)[0];
        order.push(usize::try_from(last).unwrap());
    }
    order
}

next_in_line! {
    // Guards against urgent requests that wait behind others.
    more_urgent_requests_go_first: [(2, "a"), (1, "a"), (0, "a")] => [2, 1, 0];
    // Guards against a workspace that crowds out the others by the number of its requests.
    workspaces_take_turns: [(0, "a"), (0, "a"), (0, "a"), (0, "b")] => [0, 3, 1, 2];
}

/// Guards against least urgent requests that are shut out for good.
#[test]
fn least_urgent_requests_keep_a_share() {
    let mut prefills = Prefills::new(3);
    assert_eq!(ask(&mut prefills, 1_000, 0, "w"), Some(GRANTED));
    assert_eq!(ask(&mut prefills, 999, 2, "w"), None);
    let mut last = 1_000;
    let mut given = 0;
    for permit in 0..u64::from(LEAST_URGENT_INTERVAL) * 2 {
        let now = Duration::from_millis(permit + 1) * 100;
        assert_eq!(ask_at(&mut prefills, permit, 0, "w", now), None);
        last = output(&mut prefills, last, now)[0];
        given += 1;
        if last == 999 {
            break;
        }
    }
    assert_eq!(last, 999);
    assert!(given <= LEAST_URGENT_INTERVAL, "{given} others first");
}

/// Guards against least urgent requests that lose their turn at one engine each time another one
/// takes an urgent request that waited at both.
#[test]
fn least_urgent_requests_keep_a_share_among_several_engines() {
    let mut prefills = Prefills::new(3);
    let both = ["a", "b"];
    let ask = |prefills: &mut Prefills, permit, priority, now| {
        let asked = request(permit, &both, priority, SECOND * 60);
        prefills.request(permit, asked, prefill("w", 2_000, 2), now)
    };
    for permit in [1_000, 1_001] {
        assert!(matches!(
            ask(&mut prefills, permit, 0, Duration::ZERO),
            Some(PlaceReply::Granted { .. })
        ));
    }
    assert_eq!(ask(&mut prefills, 999, 2, Duration::ZERO), None);
    let mut reading = [1_000, 1_001];
    for step in 0..u64::from(LEAST_URGENT_INTERVAL) * 4 {
        let now = Duration::from_millis(step + 1) * 60;
        assert_eq!(ask(&mut prefills, step, 0, now), None);
        let engine = usize::try_from(step % 2).unwrap();
        let update = PlaceUpdate { permit: reading[engine], progress: Progress::Output };
        reading[engine] = calls(&prefills.update(1, &[update], now))[0];
        if reading[engine] == 999 {
            return;
        }
    }
    panic!("the least urgent request was not admitted");
}

/// Guards against requests that are held though they can't be served in time.
#[test]
fn request_that_would_wait_too_long_is_denied_at_once() {
    let mut prefills = Prefills::new(3);
    let tokens = 60_000;
    let first = request(1, &["a"], 0, SECOND);
    let given = prefills.request(1, first, prefill("w", tokens, 1), Duration::ZERO);
    assert_eq!(given, Some(GRANTED));
    let second = request(2, &["a"], 0, SECOND);
    let denied = prefills.request(2, second, prefill("w", tokens, 1), Duration::ZERO);
    assert!(matches!(denied, Some(PlaceReply::Denied { wait }) if wait > SECOND));
    let third = request(3, &["a"], 0, SECOND * 10);
    let held = prefills.request(3, third, prefill("w", 400_000, 1), Duration::ZERO);
    assert_eq!(held, None);
    let fourth = request(4, &["a"], 0, SECOND * 10);
    let denied = prefills.request(4, fourth, prefill("w", 2_000, 1), Duration::ZERO);
    assert!(matches!(denied, Some(PlaceReply::Denied { .. })), "{denied:?}");
}

/// Guards against an engine that is lost for good with a gateway that tells nothing more, and
/// against requests that wait for longer than they can.
#[test]
fn places_and_waits_end() {
    let mut prefills = Prefills::new(3);
    assert_eq!(ask(&mut prefills, 1, 0, "w"), Some(GRANTED));
    assert_eq!(ask(&mut prefills, 2, 0, "w"), None);
    let answers = prefills.tick(SECOND * 6);
    assert!(matches!(answers[..], [Answer { call: 2, reply: PlaceReply::Denied { .. } }]));
    assert_eq!(ask(&mut prefills, 3, 0, "w"), None);
    assert_eq!(calls(&prefills.tick(SECOND * 10)), [3]);
}

/// Guards against a cancelled request that is let through, and then blocks the engine, and against
/// its call, which would wait for an answer for good.
#[test]
fn cancelled_request_waits_no_more() {
    let mut prefills = Prefills::new(3);
    assert_eq!(ask(&mut prefills, 1, 0, "w"), Some(GRANTED));
    assert_eq!(ask(&mut prefills, 2, 0, "w"), None);
    let cancelled = PlaceUpdate { permit: 2, progress: Progress::Ended };
    assert_eq!(calls(&prefills.update(1, &[cancelled], SECOND)), [2]);
    assert_eq!(prefills.waiting(), 0);
    assert_eq!(output(&mut prefills, 1, SECOND), Vec::<u64>::new());
}

/// Guards against an engine that answers at once, wrongly, and so draws all prompts.
#[test]
fn engine_that_is_too_fast_to_be_true_does_not_get_all_prompts() {
    let mut prefills = Prefills::new(3);
    let names = ["a", "b", "c"];
    let mut received = [0; 3];
    let mut reading = Vec::new();
    for permit in 0..300 {
        let now = Duration::from_millis(permit * 20);
        let read: Vec<_> = reading.extract_if(.., |(_, at)| now >= *at).collect();
        for (permit, at) in read {
            let progresses = [Progress::Output, Progress::Ended];
            let updates = progresses.map(|progress| PlaceUpdate { permit, progress });
            prefills.update(1, &updates, at);
        }
        prefills.tick(now);
        let asked = request(permit, &names, 0, SECOND);
        let reply = prefills.request(permit, asked, prefill("w", 2_000, 3), now);
        let Some(PlaceReply::Granted { candidate, .. }) = reply else {
            // It waits, and its gateway cancels it.
            prefills.update(1, &[PlaceUpdate { permit, progress: Progress::Ended }], now);
            continue;
        };
        received[usize::try_from(candidate).unwrap()] += 1;
        let took = if candidate == 0 { 1 } else { 100 };
        reading.push((permit, now + Duration::from_millis(took)));
    }
    let [fast, others @ ..] = received;
    assert!(fast < 220 && others.iter().all(|count| *count > 20), "{received:?}");
}

/// An engine that reads prompts in steps, between the tokens of the streams there.
#[derive(Default)]
struct Engine {
    /// Unread tokens of each prompt, by request, the first in line first.
    unread: collections::VecDeque<(usize, u32)>,
    /// Tokens left to give, by request.
    streams: collections::BTreeMap<usize, u32>,
    busy_until: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Default)]
struct Served {
    arrived: Duration,
    last_event: Option<Duration>,
    late: bool,
    ended: bool,
}

const CHUNK: u32 = 4_096;
const TOKENS_PER_MS: u32 = 22;
const STEP: Duration = Duration::from_millis(7);
const EVENT_TOKENS: u32 = 4;
const OBJECTIVE: Duration = SECOND;
const GAP: Duration = Duration::from_millis(400);
const PROMPT: u32 = 1_800;
const STREAM_TOKENS: u32 = 40;

impl Engine {
    /// Runs one step, and returns the requests that got their first token.
    fn step(&mut self, now: Duration, served: &mut [Served]) -> Vec<usize> {
        let mut budget = CHUNK;
        let mut begun = Vec::new();
        while let Some((request, unread)) = self.unread.front_mut() {
            let read = budget.min(*unread);
            budget -= read;
            *unread -= read;
            if *unread > 0 {
                break;
            }
            begun.push(*request);
            self.unread.pop_front();
        }
        let took = STEP + Duration::from_millis(u64::from((CHUNK - budget) / TOKENS_PER_MS));
        self.busy_until = now + took;
        self.streams.extend(begun.iter().map(|request| (*request, STREAM_TOKENS)));
        for (request, left) in &mut self.streams {
            *left -= 1;
            if left.is_multiple_of(EVENT_TOKENS) {
                record_event(&mut served[*request], self.busy_until, *left == 0);
            }
        }
        self.streams.retain(|_, left| *left > 0);
        begun
    }
}

fn record_event(served: &mut Served, at: Duration, ended: bool) {
    let allowed = served.last_event.map_or(served.arrived + OBJECTIVE, |last| last + GAP);
    served.late |= at > allowed;
    served.last_event = Some(at);
    served.ended |= ended;
}

/// Plays `seconds` of prompts that come at six tenths of what four engines can read, with twice
/// as many in the second second. Returns the fraction of the requests that were on time.
fn on_time(bounded: bool) -> f64 {
    let names = ["a", "b", "c", "d"];
    let mut engines: Vec<_> = names.iter().map(|_| Engine::default()).collect();
    let mut prefills = Prefills::new(3);
    let mut served = Vec::new();
    let mut placed = collections::BTreeMap::new();
    let mut next_arrival = 0.0;
    for millisecond in 0..6_000_u32 {
        let now = Duration::from_millis(u64::from(millisecond));
        let per_ms = f64::from(TOKENS_PER_MS) * 4.0 * 0.6 / f64::from(PROMPT);
        next_arrival += if (1_000..2_000).contains(&millisecond) { per_ms * 2.0 } else { per_ms };
        let mut answers = Vec::new();
        while next_arrival >= 1.0 {
            next_arrival -= 1.0;
            let number = served.len();
            served.push(Served { arrived: now, ..Served::default() });
            if !bounded {
                engines[number % 4].unread.push_back((number, PROMPT));
                continue;
            }
            let call = u64::try_from(number).unwrap();
            let asked = request(call, &names, 0, SECOND);
            let reply = prefills.request(call, asked, prefill("w", PROMPT, 4), now);
            answers.extend(reply.map(|reply| Answer { call, reply }));
        }
        if millisecond % 100 == 0 {
            answers.extend(prefills.tick(now));
        }
        for engine in &mut engines {
            let idle = engine.unread.is_empty() && engine.streams.is_empty();
            if now < engine.busy_until || idle {
                continue;
            }
            for begun in engine.step(now, &mut served) {
                let permit = u64::try_from(begun).unwrap();
                placed.insert(permit, now);
            }
        }
        // The leader hears of a first event 10 ms later.
        let heard: Vec<_> = placed.extract_if(.., |_, at| now >= *at + STEP * 15 / 10).collect();
        for (permit, _) in heard {
            let update = PlaceUpdate { permit, progress: Progress::Output };
            answers.extend(prefills.update(1, &[update], now));
        }
        for Answer { call, reply } in answers {
            if let PlaceReply::Granted { candidate, .. } = reply {
                let engine = &mut engines[usize::try_from(candidate).unwrap()];
                engine.unread.push_back((usize::try_from(call).unwrap(), PROMPT));
            }
        }
    }
    let good = served.iter().filter(|s| s.ended && !s.late).count();
    ratio(good, served.len())
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}

/// Guards against a burst of prompts that makes all streams at the engines late: the baseline
/// sends each prompt to an engine at once, in turn.
#[test]
fn more_callers_are_on_time_than_with_queues_at_engines() {
    let (bounded, queued) = (on_time(true), on_time(false));
    assert!(bounded > queued + 0.05, "{bounded} on time, {queued} with queues at engines");
}
