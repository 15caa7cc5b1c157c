//! A worker of the platform: an engine that holds models, takes orders, answers requests with
//! streams of events, and announces itself. Arguments are NAME=VALUE:
//!
//! - `address`, `id`, `born`, `zone`, `controls`, `log`: as they sound
//! - `weights_mb`, `sizes` (MODEL:MB:LOAD_MS,...): memory, and the models that may be loaded
//! - `holds` (MODEL,...): models at the start
//! - `gap_ms`: pause between two events; `unframed=1`: answers have no length
//! - `late` (MODEL:EXPECTED:MS): the first order to load this model that states this count gets no
//!   answer, and is carried out this much later
//! - `deadly` (PATH:EVENTS): a request to this path crashes the worker after this many events
//! - `way`: file with a late order that is still on its way; a worker that starts finds it there

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    env, fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use harness::{Message, call, json_field, ms, read_message, unix_ms};

struct Options(BTreeMap<String, String>);

impl Options {
    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

#[derive(Default)]
struct State {
    models: BTreeMap<String, BTreeSet<String>>,
    loading: Option<String>,
    busy: bool,
    seq: u64,
    fence: u64,
    late_taken: bool,
    running: BTreeMap<String, u32>,
}

struct Worker {
    options: Options,
    sizes: BTreeMap<String, (u64, u64)>,
    state: Mutex<State>,
    changed: Condvar,
    log: Mutex<fs::File>,
}

/// What is answered to an order.
struct Answer(u16, &'static str);

impl Worker {
    fn line(&self, text: &str) {
        let id = self.options.text("id");
        let mut log = self.log.lock().unwrap();
        let _ = writeln!(log, "{} {id} {text}", unix_ms());
    }

    fn models_json(&self, state: &State) -> String {
        let models = state.models.iter().map(|(name, adapters)| {
            let adapters: Vec<_> = adapters.iter().map(|a| format!("\"{a}\"")).collect();
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"hybrid\",\"models\":{},\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{},\
             \"kv_used\":0,\"kv_total\":162799,\"handles\":0,\"coming\":[]}}",
            self.models_json(&state),
            state.busy,
            state.seq,
            state.running.values().sum::<u32>()
        )
    }

    fn weights(&self, state: &State) -> u64 {
        let names = state.models.keys().chain(&state.loading);
        names.map(|name| self.sizes.get(name).map_or(0, |(mb, _)| *mb)).sum()
    }

    /// Carries an order out, or refuses it.
    fn order(self: &Arc<Self>, message: &Message, is_late: bool) -> Answer {
        let text = message.text();
        let field = |name: &str| json_field(&text, name);
        let what = format!(
            "order{} {} {}/{} expected {} fence {} instance {}",
            if is_late { " (late)" } else { "" },
            field("op").unwrap_or_default(),
            field("model").unwrap_or_default(),
            field("adapter").unwrap_or_default(),
            field("expected").unwrap_or_default(),
            field("fence").unwrap_or_default(),
            message.header("x-expect-instance").unwrap_or("-"),
        );
        let answer = self.decide(message, &text);
        let state = self.state.lock().unwrap();
        let (held, seq) = (self.weights(&state), state.seq);
        drop(state);
        self.line(&format!("{what}: {} {}; seq {seq}, {held} MB", answer.0, answer.1));
        let memory = self.options.number("weights_mb");
        if held > memory {
            self.line(&format!("OVERFILLED: ordered to hold {held} MB, has {memory} MB; crashes"));
            process::exit(99);
        }
        answer
    }

    fn decide(
        self: &Arc<Self>,
        message: &Message,
        text: &str,
    ) -> Answer {
        let field = |name: &str| json_field(text, name);
        let number = |name: &str| field(name).and_then(|v| v.parse::<u64>().ok());
        let instance = message.header("x-expect-instance");
        if instance.is_some_and(|id| id != self.options.text("id")) {
            return Answer(421, "another instance");
        }
        let (Some(op), Some(model), Some(fence), Some(_)) =
            (field("op"), field("model"), number("fence"), field("holder"))
        else {
            return Answer(400, "a field is missing");
        };
        let adapter = field("adapter");
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return Answer(412, "fenced");
        }
        state.fence = fence;
        let holds = match &adapter {
            Some(adapter) => state.models.get(&model).is_some_and(|a| a.contains(adapter)),
            None => state.models.contains_key(&model),
        };
        if holds == (op == "load") {
            return Answer(200, "holds already");
        }
        if state.busy {
            return Answer(409, "busy");
        }
        if number("expected").is_some_and(|expected| expected != state.seq) {
            return Answer(409, "another count");
        }
        if let Some(adapter) = adapter {
            let Some(adapters) = state.models.get_mut(&model) else {
                return Answer(421, "the model is not here");
            };
            if op == "load" { adapters.insert(adapter) } else { adapters.remove(&adapter) };
            state.seq += 1;
            return Answer(if op == "load" { 202 } else { 200 }, "adapter");
        }
        let Some(&(_, load_ms)) = self.sizes.get(&model) else {
            return Answer(400, "no such model");
        };
        state.seq += 1;
        state.busy = true;
        if op == "load" {
            state.loading = Some(model.clone());
        }
        let (worker, is_load) = (self.clone(), op == "load");
        thread::spawn(move || {
            if is_load {
                thread::sleep(ms(load_ms));
            }
            let mut state = worker.state.lock().unwrap();
            while !is_load && state.running.get(&model).is_some_and(|n| *n > 0) {
                state = worker.changed.wait_timeout(state, ms(20)).unwrap().0;
            }
            if is_load {
                state.loading = None;
                state.models.insert(model.clone(), BTreeSet::new());
            } else {
                state.models.remove(&model);
            }
            state.busy = false;
            drop(state);
            worker.line(&format!("{} {model} done", if is_load { "load of" } else { "unload of" }));
            worker.changed.notify_all();
        });
        Answer(202, "accepted")
    }

    /// Returns for how long the order is held up, if it is the one that is.
    fn is_late(&self, message: &Message) -> Option<Duration> {
        let mut parts = self.options.text("late").split(':');
        let (model, expected, after) = (parts.next()?, parts.next()?, parts.next()?.parse().ok()?);
        let text = message.text();
        let fits = json_field(&text, "op").as_deref() == Some("load")
            && json_field(&text, "model").as_deref() == Some(model)
            && json_field(&text, "adapter").is_none()
            && json_field(&text, "expected").as_deref() == Some(expected);
        let mut state = self.state.lock().unwrap();
        if !fits || state.late_taken {
            return None;
        }
        state.late_taken = true;
        Some(ms(after))
    }

    /// Leaves an order on its way, from where it reaches the worker later.
    fn hold_up(&self, message: &Message, after: Duration) {
        let instance = message.header("x-expect-instance").unwrap_or("");
        let due = unix_ms() + after.as_millis() as u64;
        let text = format!("{due}\n{instance}\n{}", message.text());
        fs::write(self.options.text("way"), text).unwrap();
        self.line(&format!("an order gets no answer, and is carried out later: {}", message.text()));
    }

    /// Takes the order that was held up, when it arrives.
    fn watch_way(self: Arc<Self>) {
        let way = self.options.text("way").to_owned();
        loop {
            thread::sleep(ms(10));
            let Ok(text) = fs::read_to_string(&way) else {
                continue;
            };
            let mut parts = text.splitn(3, '\n');
            let due = parts.next().and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
            if unix_ms() < due {
                continue;
            }
            let _ = fs::remove_file(&way);
            let instance = parts.next().unwrap_or("").to_owned();
            let body = parts.next().unwrap_or("").as_bytes().to_vec();
            let headers = vec![("X-Expect-Instance".to_owned(), instance)];
            self.order(&Message { first: "POST /order HTTP/1.1".into(), headers, body }, true);
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(message) = read_message(&mut reader, false)? {
            match (message.method(), message.path()) {
                ("GET", "/report") => write(&mut stream, 200, "", &self.report())?,
                ("GET", "/healthz") => {
                    let instance = format!("X-Instance: {}\r\n", self.options.text("id"));
                    write(&mut stream, 200, &instance, "")?;
                }
                ("POST", "/order") => {
                    if let Some(after) = self.is_late(&message) {
                        self.hold_up(&message, after);
                        // No answer: the other side closes the connection.
                        let _ = read_message(&mut reader, false);
                        return Ok(());
                    }
                    let Answer(status, text) = self.order(&message, false);
                    write(&mut stream, status, "", &format!("{{\"text\":\"{text}\"}}"))?;
                }
                _ => {
                    if !self.answer(&mut stream, &message)? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Answers a request of a client. Returns whether the connection is kept.
    fn answer(&self, stream: &mut TcpStream, message: &Message) -> std::io::Result<bool> {
        let id = message.header("x-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        let model = message.header("x-model").unwrap_or("").to_owned();
        let (model, adapter) = match model.split_once('/') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (model, None),
        };
        let instance = message.header("x-expect-instance");
        let is_here = {
            let mut state = self.state.lock().unwrap();
            let adapters = state.models.get(&model);
            let is_here = adapters.is_some_and(|a| adapter.as_ref().is_none_or(|n| a.contains(n)));
            if is_here {
                *state.running.entry(model.clone()).or_default() += 1;
            }
            is_here
        };
        if !is_here || instance.is_some_and(|i| i != self.options.text("id")) {
            if is_here {
                self.end_run(&model);
            }
            write(stream, 421, &format!("{echo}X-Not-Executed: 1\r\n"), "")?;
            return Ok(true);
        }
        self.line(&format!("runs {id} {} {} {model}", message.method(), message.path()));
        let result = self.stream(stream, message, &id, &echo);
        self.end_run(&model);
        self.line(&format!("run of {id} ends: {}", if result.is_ok() { "whole" } else { "cut" }));
        result
    }

    fn end_run(&self, model: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(running) = state.running.get_mut(model) {
            *running -= 1;
        }
        self.changed.notify_all();
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        message: &Message,
        id: &str,
        echo: &str,
    ) -> std::io::Result<bool> {
        let usage = message.header("x-token-usage").unwrap_or("");
        let tokens: u64 = usage.split(',').nth(1).and_then(|n| n.trim().parse().ok()).unwrap_or(8);
        let unframed = self.options.text("unframed") == "1";
        let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}X-Signature: sig.{id}\r\n\
             X-Weight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let (deadly, crash_after) =
            self.options.text("deadly").split_once(':').unwrap_or(("", "0"));
        let is_deadly = !deadly.is_empty() && message.path() == deadly;
        let crash_after = crash_after.parse::<u64>().unwrap_or(0);
        for event in 1..=(tokens / 2).max(1) {
            if is_deadly && event > crash_after {
                self.line(&format!("CRASHES with {id} after {crash_after} events"));
                process::exit(98);
            }
            thread::sleep(ms(self.options.number("gap_ms")));
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            if unframed {
                stream.write_all(text.as_bytes())?;
            } else {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            }
            self.line(&format!("sent piece {event} of {id}"));
        }
        if !unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!unframed)
    }

    /// Announces the worker at intervals and when a model has been loaded or unloaded.
    fn announce(self: Arc<Self>) {
        let controls: Vec<SocketAddr> =
            self.options.text("controls").split(',').filter_map(|a| a.parse().ok()).collect();
        let mut next = process::id() as usize % controls.len().max(1);
        for seq in 1_u64.. {
            let models = self.models_json(&self.state.lock().unwrap());
            let (option, number) = (|n| self.options.text(n), |n| self.options.number(n));
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"hybrid\",\
                 \"models\":{models},\"at_hand\":{{\"in_memory\":[],\"on_disk\":[]}},\"seq\":{seq},\
                 \"born\":{}}}",
                option("service"),
                option("address"),
                option("zone"),
                number("born")
            );
            let path = format!("/instances/{}/heartbeat", option("id"));
            for _ in 0..controls.len() {
                let response = call(controls[next], "POST", &path, &[], &body, ms(1_000));
                if response.is_some_and(|r| (200..300).contains(&r.status())) {
                    break;
                }
                next = (next + 1) % controls.len();
            }
            let state = self.state.lock().unwrap();
            let before = self.models_json(&state);
            let end = Instant::now() + ms(1_200);
            let mut state = state;
            while Instant::now() < end && self.models_json(&state) == before {
                state = self.changed.wait_timeout(state, ms(50)).unwrap().0;
            }
        }
    }
}

fn write(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Text\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\
         \r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

fn main() {
    let arguments = env::args().skip(1).filter_map(|a| {
        let (name, value) = a.split_once('=')?;
        Some((name.to_owned(), value.to_owned()))
    });
    let options = Options(arguments.collect());
    let sizes = options.text("sizes").split(',').filter_map(|entry| {
        let mut parts = entry.split(':');
        let (name, mb, load) = (parts.next()?, parts.next()?, parts.next()?);
        Some((name.to_owned(), (mb.parse().ok()?, load.parse().ok()?)))
    });
    let sizes = sizes.collect();
    let address: SocketAddr = options.text("address").parse().expect("address");
    let log = fs::OpenOptions::new().create(true).append(true).open(options.text("log")).unwrap();
    let holds = options.text("holds").split(',').filter(|m| !m.is_empty());
    let models = holds.map(|m| (m.to_owned(), BTreeSet::new())).collect();
    let listener = TcpListener::bind(address).expect("listen");
    let state = Mutex::new(State { models, ..State::default() });
    let worker =
        Arc::new(Worker { options, sizes, state, changed: Condvar::new(), log: Mutex::new(log) });
    worker.line("starts");
    if !worker.options.text("way").is_empty() {
        let watching = worker.clone();
        thread::spawn(move || watching.watch_way());
    }
    let announcing = worker.clone();
    thread::spawn(move || announcing.announce());
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || {
            // Fails when the other side closes or resets the connection.
            let _ = worker.serve(stream);
        });
    }
}
