//! Parts that the cases share: the project's programs as processes on loopback addresses, plain
//! HTTP, and a record of what was sent, answered and run. Only the standard library is used.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn signal(child: &Child, number: i32) {
    // SAFETY: plain system call, with the id of a child that was not waited for yet.
    unsafe { kill(child.id() as i32, number) };
}

pub fn with_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Lines with the time since the start, in `record.txt` of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("record.txt can't be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}

/// A head and a whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length, its last chunk, or with its connection if it has neither.
    Regular,
    /// The connection ended or failed before.
    Cut,
}

/// Reads a body, and calls `piece` with what arrives.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Message,
    is_response: bool,
    mut piece: impl FnMut(&[u8]),
) -> End {
    let chunked =
        head.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return End::Cut;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return End::Cut;
            };
            let mut data = vec![0; size + 2];
            if reader.read_exact(&mut data).is_err() {
                return End::Cut;
            }
            if size == 0 {
                return End::Regular;
            }
            piece(&data[..size]);
        }
    }
    if let Some(length) = head.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut data = vec![0; length];
        if reader.read_exact(&mut data).is_err() {
            return End::Cut;
        }
        piece(&data);
        return End::Regular;
    }
    if !is_response {
        return End::Regular;
    }
    let mut data = [0; 4096];
    loop {
        match reader.read(&mut data) {
            Ok(0) => return End::Regular,
            Ok(n) => piece(&data[..n]),
            Err(_) => return End::Cut,
        }
    }
}

pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    match read_body(reader, &message, is_response, |piece| body.extend_from_slice(piece)) {
        End::Regular => {
            message.body = body;
            Ok(Some(message))
        }
        End::Cut => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

pub fn request_text(method: &str, path: &str, headers: &[(&str, String)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Sends one request on a new connection; `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut all = vec![("Host", address.to_string())];
    all.extend(headers.iter().cloned());
    if !body.is_empty() {
        all.push(("Content-Type", "application/json".to_owned()));
    }
    stream.write_all(request_text(method, path, &all, body).as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), true).ok().flatten()
}

/// Returns the text after `"name":` in JSON without nesting.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{name}\""))? + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    rest.split([',', '}', ']']).next().map(|v| v.trim().to_owned())
}

/// Five control processes (machines 0 to 4) and some gateways (machines 5 and on), started with
/// the commands and the environment of `deploy/system.toml`.
pub struct Cluster {
    pub folder: PathBuf,
    subnet: [u8; 2],
    /// Ports of the control plane, callers, readiness, and the first and last internal one.
    ports: [u16; 5],
    gateways: u8,
    children: BTreeMap<u8, Child>,
    record: Record,
}

impl Cluster {
    pub fn start(gateways: u8, record: &Record) -> Self {
        let mut cluster = Self::prepare(gateways, record);
        for machine in 0..5 + gateways {
            cluster.start_machine(machine, true);
        }
        cluster
    }

    /// Chooses addresses, and starts nothing yet.
    pub fn prepare(gateways: u8, record: &Record) -> Self {
        let pid = std::process::id();
        let subnet = [(pid % 200) as u8 + 20, (pid / 200 % 250) as u8 + 1];
        let folder = env::temp_dir().join(format!("hornbeamdock-review-3-{pid}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("no temporary folder");
        let first = Ipv4Addr::new(127, subnet[0], subnet[1], 1);
        let listeners: Vec<_> =
            (0..5).map(|_| TcpListener::bind((first, 0)).expect("no free port")).collect();
        let mut ports: Vec<u16> =
            listeners.iter().map(|l| l.local_addr().unwrap().port()).collect();
        ports[3..].sort_unstable();
        drop(listeners);
        let ports = ports.try_into().unwrap();
        let record = record.clone();
        Self { folder, subnet, ports, gateways, children: BTreeMap::new(), record }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], machine + 1)
    }

    pub fn control_plane(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports[0]).into()
    }

    pub fn control_planes(&self) -> Vec<SocketAddr> {
        (0..5).map(|machine| self.control_plane(machine)).collect()
    }

    /// Address at which a gateway, counted from 0, takes requests.
    pub fn frontend(&self, gateway: u8) -> SocketAddr {
        (self.ip(5 + gateway), self.ports[1]).into()
    }

    fn readiness(&self, gateway: u8) -> SocketAddr {
        (self.ip(5 + gateway), self.ports[2]).into()
    }

    /// Returns a free port at an address for workers, which are machines from 100 on.
    pub fn worker_address(&self, worker: u8) -> SocketAddr {
        let ip = self.ip(100 + worker);
        TcpListener::bind((ip, 0)).expect("no free port").local_addr().unwrap()
    }

    fn settings(&self, machine: u8, bootstrap: bool) -> PathBuf {
        let zones = ["dk-east-a", "dk-east-b", "dk-east-c"];
        let zone = zones[usize::from(machine) % 3];
        let is_control = machine < 5;
        let (role, class) = if is_control { ("control", "core") } else { ("gateway", "edge") };
        let listen = if is_control {
            format!("{{\"control_plane\":\"{}\"}}", self.control_plane(machine))
        } else {
            let gateway = machine - 5;
            format!(
                "{{\"frontend\":\"{}\",\"readiness\":\"{}\"}}",
                self.frontend(gateway),
                self.readiness(gateway)
            )
        };
        let data = self.folder.join(format!("data-{machine}"));
        let data = if is_control { format!("{:?}", data.display().to_string()) } else { "null".into() };
        let seeds: Vec<_> = (0..3).map(|s| format!("\"{}\"", self.control_plane(s))).collect();
        let text = format!(
            r#"{{"node_name":"{class}-{zone}-{machine}","role":"{role}","machine_class":"{class}",
"serves":["{serves}"],"ip":"{ip}","zone":"{zone}","region":"dk-east",
"zones":{{"dk-east-a":"dk-east","dk-east-b":"dk-east","dk-east-c":"dk-east"}},
"listen":{listen},"internal_ports":[{p0},{p1}],"seeds":[{seeds}],"bootstrap":{bootstrap},
"in_tolerance":{is_control},"limits":{{"cpu_quota":0.6,"cores":1,"memory_mb":256,"max_fds":4096,
"link_mbps":1000.0,"disk_mb":128}},"data_dir":{data},"discovery":"registration","entry":"anycast",
"heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","fleet","stream",
"engine","tenants","quota"],"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"connectivity_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"back_ms":250,
"max_stretch_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,
"retry_slack":113,"quota_window_s":8,"quota_overshoot":0.1,"quota_slack":17000,"recover_s":12,
"pass_ms":120,"again_s":0,"fencing_enforced":true,"lease_ms":3000,"thaw_ms":300,
"ceiling_window_s":5,"ceiling_overshoot":1.1}},"config_mode":"highest"}}"#,
            serves = if is_control { "control" } else { "edge" },
            ip = self.ip(machine),
            p0 = self.ports[3],
            p1 = self.ports[4],
            seeds = seeds.join(","),
        );
        let path = self.folder.join(format!("settings-{machine}.json"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts a machine. Its disk is as it was left.
    pub fn start_machine(&mut self, machine: u8, bootstrap: bool) {
        let settings = self.settings(machine, bootstrap);
        let program = if machine < 5 { "platform-control" } else { "platform-gateway" };
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{machine}.txt")))
            .unwrap();
        let mut command = Command::new(format!("target/release/{program}"));
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("HORNBEAMDOCK_CONFIG", settings)
            .env("HORNBEAMDOCK_SECRET", "set-per-deployment")
            .env("HORNBEAMDOCK_LOG", "info")
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => drop(self.children.insert(machine, child)),
            Err(error) => self.give_up(&format!("{program} can't be started: {error}")),
        }
    }

    pub fn child(&mut self, machine: u8) -> &mut Child {
        self.children.get_mut(&machine).unwrap()
    }

    pub fn signal(&mut self, machine: u8, number: i32) {
        signal(self.child(machine), number);
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, machine: u8) {
        if let Some(mut child) = self.children.remove(&machine) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self, machine: u8) -> String {
        fs::read_to_string(self.folder.join(format!("log-{machine}.txt"))).unwrap_or_default()
    }

    /// Sends a configuration to one control process after the other until one acknowledges it.
    pub fn configure(&mut self, body: &str) {
        let start = Instant::now();
        while start.elapsed() < ms(20_000) {
            for address in self.control_planes() {
                let response = call(address, "POST", "/config/replace", &[], body, ms(1_000));
                match response.map(|r| (r.status(), r.text())) {
                    Some((200, _)) => {
                        self.record.line("configuration acknowledged");
                        return;
                    }
                    Some((status @ 400..=499, text)) => {
                        self.give_up(&format!("configuration refused: {status} {text}"));
                    }
                    _ => {}
                }
            }
            thread::sleep(ms(100));
        }
        self.give_up("configuration not acknowledged");
    }

    pub fn wait_until_ready(&mut self) {
        let start = Instant::now();
        for gateway in 0..self.gateways {
            let address = self.readiness(gateway);
            let ready = || {
                call(address, "GET", "/readyz", &[], "", ms(1_000)).is_some_and(|r| r.status() == 200)
            };
            while !ready() {
                if start.elapsed() > ms(20_000) {
                    self.give_up("a gateway is not ready");
                }
                thread::sleep(ms(100));
            }
        }
        self.record.line("all gateways are ready");
    }

    /// Ends the case as one that could not run.
    pub fn give_up(&mut self, reason: &str) -> ! {
        self.record.line(&format!("not run: {reason}"));
        self.stop();
        std::process::exit(NOT_RUN);
    }

    /// Ends all processes of the system and removes their files.
    pub fn stop(&mut self) {
        for child in self.children.values_mut() {
            signal(child, SIGCONT);
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A worker, which is a process of its own.
pub struct Worker {
    child: Option<Child>,
    arguments: Vec<String>,
    pub id: String,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl Worker {
    pub fn start(
        cluster: &Cluster,
        number: u8,
        id: &str,
        address: SocketAddr,
        options: &[(&str, String)],
    ) -> Self {
        let log = cluster.folder.join(format!("worker-{number}.txt"));
        let controls: Vec<_> = cluster.control_planes().iter().map(ToString::to_string).collect();
        let zone = ["dk-east-a", "dk-east-b", "dk-east-c"][usize::from(number) % 3];
        let mut arguments = vec![
            format!("address={address}"),
            format!("controls={}", controls.join(",")),
            format!("zone={zone}"),
            format!("log={}", log.display()),
        ];
        arguments.extend(options.iter().map(|(name, value)| format!("{name}={value}")));
        let mut worker = Self { child: None, arguments, id: id.to_owned(), address, log };
        worker.start_again(id, &[]);
        worker
    }

    /// Starts the worker, as a new incarnation. `options` replace earlier ones.
    pub fn start_again(&mut self, id: &str, options: &[(&str, String)]) {
        self.id = id.to_owned();
        for (name, value) in options {
            let prefix = format!("{name}=");
            self.arguments.retain(|a| !a.starts_with(&prefix));
            self.arguments.push(format!("{name}={value}"));
        }
        let program = env::current_exe().unwrap().with_file_name("worker");
        let child = Command::new(program)
            .args(&self.arguments)
            .arg(format!("id={id}"))
            .arg(format!("born={}", unix_ms()))
            .stdin(Stdio::null())
            .spawn()
            .expect("the worker can't be started");
        self.child = Some(child);
    }

    /// Crashes the worker.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|c| c.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn lines(&self) -> Vec<String> {
        fs::read_to_string(&self.log).unwrap_or_default().lines().map(str::to_owned).collect()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
