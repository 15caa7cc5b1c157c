//! What the scripts have in common: a small deployment on loopback addresses, clients,
//! servers and an operator that speak the platform's protocol, and the record.
//!
//! Uses the standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::CommandExt},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// Result of a case: whether the rule held.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

static START: Mutex<Option<Instant>> = Mutex::new(None);
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn elapsed() -> Duration {
    START.lock().unwrap().get_or_insert_with(Instant::now).elapsed()
}

/// Adds a line to the record.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:9.3} s  {}", elapsed().as_secs_f64(), text.as_ref());
    RECORD.lock().unwrap().push(line);
}

/// Runs a case, writes its record, ends all processes and exits.
pub fn run_case(folder: &str, case: impl FnOnce() -> Verdict + Send + 'static) -> ! {
    elapsed();
    let (sender, result) = std::sync::mpsc::channel();
    thread::spawn(move || sender.send(case()));
    let verdict = result
        .recv_timeout(Duration::from_secs(112))
        .unwrap_or_else(|_| Verdict::NotRun("the case failed to run or took too long".into()));
    let (line, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    note(&line);
    for pid in CHILDREN.lock().unwrap().iter() {
        signal(*pid, KILL);
    }
    if std::env::var("KEEP").is_err() {
        for folder in FOLDERS.lock().unwrap().iter() {
            // Twice, as a process that ends may still write to its folder.
            let _ = fs::remove_dir_all(folder);
            sleep_ms(20);
            let _ = fs::remove_dir_all(folder);
        }
    }
    let mut lines = RECORD.lock().unwrap().clone();
    lines.push(String::new());
    let _ = fs::write(format!("{folder}/record.txt"), lines.join("\n"));
    println!("{line}");
    std::process::exit(code)
}

/// Returns whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn signal(pid: u32, number: i32) {
    if let Ok(pid) = i32::try_from(pid) {
        unsafe { kill(pid, number) };
    }
}

pub fn now_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        sleep_ms(50);
    }
    false
}

/// Five machines of the class `core` and some of the class `edge`, each with a loopback
/// address of its own.
pub struct Deployment {
    pub folder: PathBuf,
    net: [u8; 2],
    /// Internal (first), frontend, readiness, control plane, metrics, internal (last).
    ports: [u16; 6],
    processes: Mutex<BTreeMap<u8, Child>>,
    edges: u8,
    bounds: String,
}

pub const CORES: u8 = 5;

impl Deployment {
    pub fn new(edges: u8) -> Self {
        let pid = std::process::id();
        let net = [(pid % 200 + 20) as u8, (pid / 200 % 250) as u8];
        let first = Ipv4Addr::new(127, net[0], net[1], 1);
        let listeners: Vec<_> =
            (0..6).map(|_| TcpListener::bind((first, 0)).expect("a free port")).collect();
        let ports: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap().port()).collect();
        let folder = std::env::temp_dir().join(format!("hornbeamdock-review-{pid}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        FOLDERS.lock().unwrap().push(folder.clone());
        // As in DEPLOY.md of the platform.
        let bounds = r#"{"seed_lag_s":3,"reuse_after_s":2,"connectivity_ms":3000,"ack_ms":4000,
            "catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,
            "back_ms":250,"max_stretch_ms":5000,"strict_revoke":false,"revoke_ms":5000,
            "retry_ratio":0.2,"retry_window_s":10,"retry_slack":113,"quota_window_s":8,
            "quota_overshoot":0.1,"quota_slack":17000,"recover_s":12,"pass_ms":120,"again_s":0,
            "fencing_enforced":true,"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,
            "ceiling_overshoot":1.1}"#;
        Self {
            folder,
            net,
            ports: ports.try_into().unwrap(),
            processes: Mutex::default(),
            edges,
            bounds: bounds.to_owned(),
        }
    }

    /// Returns the address of a machine; the cores come first.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], machine + 1)
    }

    pub fn frontend(&self, edge: u8) -> SocketAddr {
        (self.ip(CORES + edge), self.ports[1]).into()
    }

    pub fn readiness(&self, edge: u8) -> SocketAddr {
        (self.ip(CORES + edge), self.ports[2]).into()
    }

    pub fn control_plane(&self, core: u8) -> SocketAddr {
        (self.ip(core), self.ports[3]).into()
    }

    fn write_settings(&self, machine: u8, bootstrap: bool) -> PathBuf {
        let is_core = machine < CORES;
        let seeds: Vec<_> = (0..3).map(|c| format!("\"{}\"", self.control_plane(c))).collect();
        let ip = self.ip(machine);
        let (listen, data_dir, class, serves) = if is_core {
            let data = self.folder.join(format!("disk-{machine}"));
            fs::create_dir_all(&data).unwrap();
            let listen = format!("{{\"control_plane\":\"{}\"}}", self.control_plane(machine));
            (listen, format!("\"{}\"", data.display()), "core", "control")
        } else {
            let edge = machine - CORES;
            let listen = format!(
                "{{\"frontend\":\"{}\",\"readiness\":\"{}\"}}",
                self.frontend(edge),
                self.readiness(edge)
            );
            (listen, "null".to_owned(), "edge", "edge")
        };
        let text = format!(
            "{{\"node_name\":\"machine-{machine}\",\"role\":\"r\",\"machine_class\":\"{class}\",\
             \"serves\":[\"{serves}\"],\"ip\":\"{ip}\",\"zone\":\"z-a\",\"region\":\"z\",\
             \"zones\":{{\"z-a\":\"z\"}},\"listen\":{listen},\
             \"internal_ports\":[{},{}],\"seeds\":[{}],\"bootstrap\":{bootstrap},\
             \"in_tolerance\":{is_core},\"data_dir\":{data_dir},\"discovery\":\"registration\",\
             \"entry\":\"anycast\",\"heartbeat_ms\":1200,\"config_mode\":\"highest\",\
             \"fault_tolerance\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\
             \"bounds\":{}}}",
            self.ports[0],
            self.ports[5],
            seeds.join(","),
            self.bounds
        );
        let path = self.folder.join(format!("machine-{machine}.json"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, machine: u8, bootstrap: bool) {
        let settings = self.write_settings(machine, bootstrap);
        let program = if machine < CORES { "platform-control" } else { "platform-gateway" };
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("machine-{machine}.log")))
            .unwrap();
        let mut command = Command::new(format!("target/release/{program}"));
        // The process ends with this one, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command
            .env("HORNBEAMDOCK_CONFIG", settings)
            .env("HORNBEAMDOCK_SECRET", "set-per-deployment")
            .env("HORNBEAMDOCK_METRICS", self.ports[4].to_string())
            .env("HORNBEAMDOCK_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the programs of the deploy file are built");
        CHILDREN.lock().unwrap().push(child.id());
        self.processes.lock().unwrap().insert(machine, child);
    }

    pub fn start_all(&self) {
        for machine in 0..CORES + self.edges {
            self.start(machine, true);
        }
    }

    pub fn pid(&self, machine: u8) -> u32 {
        self.processes.lock().unwrap()[&machine].id()
    }

    pub fn signal(&self, machine: u8, number: i32) {
        signal(self.pid(machine), number);
    }

    /// Waits until a process that was told to end has ended.
    pub fn reap(&self, machine: u8) {
        let child = self.processes.lock().unwrap().remove(&machine);
        if let Some(mut child) = child {
            let _ = child.wait();
        }
    }

    /// Returns how a process ended by itself, if it did.
    pub fn ended(&self, machine: u8) -> Option<String> {
        let mut processes = self.processes.lock().unwrap();
        processes.get_mut(&machine)?.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// Sends a configuration to one core after another until it is acknowledged.
    pub fn configure(&self, body: &str) -> bool {
        let mut core = 0;
        let acked = wait_until(Duration::from_secs(30), || {
            let to = self.control_plane(core % CORES);
            core += 1;
            let answer = call(to, "POST", "/config/replace", &[], body.as_bytes(), 2_000);
            answer.is_ok_and(|a| a.status == 200)
        });
        note(format!("configuration acknowledged: {acked}"));
        acked
    }

    /// Waits until all edges are ready.
    pub fn wait_ready(&self) -> bool {
        (0..self.edges).all(|edge| {
            wait_until(Duration::from_secs(30), || {
                call(self.readiness(edge), "GET", "/readyz", &[], b"", 1_000)
                    .is_ok_and(|a| a.status == 200)
            })
        })
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole body came: by its length, or by the last chunk.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer, also one that ends early.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit_ms: u64,
) -> io::Result<Answer> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    send(&mut stream, method, path, headers, body)?;
    read_answer(&mut stream, limit)
}

pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text += "Host: x.example\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads bytes up to and including the end of a head. Returns the head and what follows.
fn read_head(stream: &mut TcpStream, mut held: Vec<u8>) -> io::Result<(String, Vec<u8>)> {
    loop {
        if let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = held.split_off(end + 4);
            return Ok((String::from_utf8_lossy(&held).into_owned(), rest));
        }
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no head"));
        }
        held.extend_from_slice(&buffer[..count]);
    }
}

fn parse_headers(head: &str) -> BTreeMap<String, String> {
    let fields = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect()
}

pub fn read_answer(stream: &mut TcpStream, limit: Duration) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    stream.set_read_timeout(Some(limit))?;
    let (head, mut held) = read_head(stream, Vec::new())?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, headers: parse_headers(&head), ..Answer::default() };
    let length: Option<usize> = answer.headers.get("content-length").and_then(|v| v.parse().ok());
    let chunked = answer.headers.get("transfer-encoding").is_some_and(|v| v == "chunked");
    loop {
        if let Some(length) = length.filter(|l| held.len() >= *l) {
            answer.body = held[..length].to_vec();
            answer.whole = true;
            return Ok(answer);
        }
        if chunked {
            let (body, whole) = unchunk(&held);
            answer.body = body;
            answer.whole = whole;
            if whole {
                return Ok(answer);
            }
        } else if length.is_none() {
            answer.body.clone_from(&held);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(answer);
        }
        stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; 16384];
        match stream.read(&mut buffer) {
            Ok(0) => {
                // Without a length or chunks, the end of the connection ends the answer.
                answer.whole = !chunked && length.is_none();
                return Ok(answer);
            }
            Ok(count) => held.extend_from_slice(&buffer[..count]),
            Err(_) => return Ok(answer),
        }
    }
}

/// Returns the content of the chunks that have come, and whether the last one has.
fn unchunk(held: &[u8]) -> (Vec<u8>, bool) {
    let (mut body, mut rest) = (Vec::new(), held);
    loop {
        let Some(line_end) = rest.windows(2).position(|w| w == b"\r\n") else {
            return (body, false);
        };
        let line = String::from_utf8_lossy(&rest[..line_end]);
        let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        else {
            return (body, false);
        };
        rest = &rest[line_end + 2..];
        if size == 0 {
            return (body, rest.windows(2).any(|w| w == b"\r\n"));
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub from: IpAddr,
    /// Number of requests on the connection before this one.
    pub earlier: u32,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }
}

/// Whether a server keeps the connection after an answer.
pub enum After {
    Keep,
    Close,
}

/// Writes the answer to a request.
pub type Handler = dyn Fn(&Received, &mut TcpStream) -> io::Result<After> + Send + Sync;

/// A server of a service.
pub struct Server {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = listener.try_clone().unwrap();
        thread::spawn(move || {
            while let Ok((stream, peer)) = accepting.accept() {
                let handler = handler.clone();
                thread::spawn(move || {
                    let _ = serve(stream, peer.ip(), &*handler);
                });
            }
        });
        Self { listener, address }
    }

    /// Drops all packets of new connections from an address. A filter on a socket of one's own
    /// needs no privileges. Returns whether it could be set.
    pub fn cut_from(&self, source: Ipv4Addr) -> bool {
        #[repr(C)]
        struct Step(u16, u8, u8, u32);
        #[repr(C)]
        struct Program {
            length: u16,
            steps: *const Step,
        }
        let steps = [
            Step(0x20, 0, 0, 0xfff0_0000 + 12),
            Step(0x15, 0, 1, source.to_bits()),
            Step(0x06, 0, 0, 0),
            Step(0x06, 0, 0, u32::MAX),
        ];
        let program = Program { length: 4, steps: steps.as_ptr() };
        let size = u32::try_from(size_of::<Program>()).unwrap();
        let value = std::ptr::from_ref(&program).cast();
        unsafe { setsockopt(self.listener.as_raw_fd(), 1, 26, value, size) == 0 }
    }
}

impl Server {
    /// Takes the packets of all addresses again.
    pub fn heal(&self) {
        let value = 0_i32;
        let value = std::ptr::from_ref(&value).cast();
        unsafe { setsockopt(self.listener.as_raw_fd(), 1, 27, value, 4) };
    }
}

fn serve(mut stream: TcpStream, from: IpAddr, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut held = Vec::new();
    for earlier in 0.. {
        let (head, mut rest) = read_head(&mut stream, std::mem::take(&mut held))?;
        let headers = parse_headers(&head);
        let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while rest.len() < length {
            let mut buffer = [0; 16384];
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Ok(());
            }
            rest.extend_from_slice(&buffer[..count]);
        }
        held = rest.split_off(length);
        let mut words = head.split(' ');
        let received = Received {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers,
            body: rest,
            from,
            earlier,
        };
        if matches!(handler(&received, &mut stream)?, After::Close) {
            return Ok(());
        }
    }
    Ok(())
}

/// Has a server send heartbeats to the cores, one after the other, until `state` says that
/// it sends no more.
pub fn heartbeats(
    deployment: &Arc<Deployment>,
    id: &str,
    fields: impl Fn() -> Option<String> + Send + 'static,
) {
    let (deployment, id) = (deployment.clone(), id.to_owned());
    let born = now_ms();
    thread::spawn(move || {
        let seq = AtomicU64::new(1);
        let mut core = 0;
        while let Some(fields) = fields() {
            let number = seq.fetch_add(1, Ordering::Relaxed);
            let body = format!("{{{fields},\"seq\":{number},\"born\":{born}}}");
            for _ in 0..CORES {
                let to = deployment.control_plane(core);
                let path = format!("/instances/{id}/heartbeat");
                let acked = call(to, "POST", &path, &[], body.as_bytes(), 1_000)
                    .is_ok_and(|a| (200..300).contains(&a.status));
                if acked {
                    break;
                }
                core = (core + 1) % CORES;
            }
            sleep_ms(600);
        }
    });
}

/// Returns the fields of the heartbeat of a plain server that is ready.
pub fn ready_fields(service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        "\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0"
    )
}

/// Returns the number of the next request, as its id.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}
