//! The platform's store, and its failover call.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Json, base64, parse, quoted};

type Key = (String, String, String);

struct Change {
    version: u64,
    table: String,
    key: String,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    changes: Vec<Change>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        })
    }

    /// Writes a row as the operator or an instance does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        put(&mut rows, table, "", key, base64(value.as_bytes()));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        remove(&mut rows, table, "", key);
        self.changed.notify_all();
    }

    /// Serves one node, which it turns away with 503 while `refuses` is set.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, refuses: Arc<AtomicBool>) {
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                let refuses = refuses.clone();
                std::thread::spawn(move || {
                    serve_http(stream, &|request| {
                        if refuses.load(Ordering::Relaxed) {
                            return (503, "{}".into());
                        }
                        let answer = store.answer(request);
                        // A question that waits is ended; what was done is answered.
                        let waits = request.path == "/linkhold/rows-feed";
                        match waits && refuses.load(Ordering::Relaxed) {
                            true => (503, "{}".into()),
                            false => answer,
                        }
                    });
                });
            }
        });
    }

    /// A row's value in base64.
    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let place = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.get(&place).map(|(value, _)| value.clone())
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.start.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        // A call takes some milliseconds.
        std::thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/linkhold/rows-get" => self.get(request),
            "/linkhold/rows-feed" => self.feed(request),
            "/linkhold/rows-tx" => self.transact(request),
            _ => (404, "{}".into()),
        }
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let (table, part) = (request.query("table"), request.query("part"));
        let from = (table.clone(), part.clone(), request.query("from_rev"));
        let until = request.query("target_version");
        let limit = request.query("limit").parse().unwrap_or(500_usize).min(500);
        let mut found = rows
            .rows
            .range(from..)
            .filter(|((in_table, in_part, key), _)| {
                *in_table == table && *in_part == part && (until.is_empty() || *key < until)
            });
        let mut listed = Vec::new();
        for (key, (value, version)) in found.by_ref().take(limit) {
            listed.push(row(&key.0, &key.2, Some(value), *version));
        }
        let has_more = found.next().is_some();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{},\"now_ms\":{}}}",
            listed.join(","),
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let found: Vec<String> = rows
                .changes
                .iter()
                .filter(|change| change.version > after && change.table == table)
                .map(|it| row(&it.table, &it.key, it.value.as_ref(), it.version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    found.join(","),
                    rows.version,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = parse(&request.body) else {
            return (400, "{}".into());
        };
        let mut rows = self.rows.lock().unwrap();
        let place = |entry: &Json| -> Key {
            (
                entry.get("table").text().to_owned(),
                entry.get("part").text().to_owned(),
                entry.get("tls_key").text().to_owned(),
            )
        };
        let written = body.get("put").list().iter();
        let mut written = written.chain(body.get("remove").list());
        if written.any(|entry| entry.get("table").text() == "servers") {
            return (403, "{}".into());
        }
        let expected = body.get("expected_rev").list();
        let holds = expected.iter().all(|entry| {
            let present = rows
                .rows
                .get(&place(entry))
                .map_or(0, |(_, version)| *version);
            present == entry.get("ver").number()
        });
        if !holds {
            let standing: Vec<String> = expected
                .iter()
                .filter_map(|entry| {
                    let key = place(entry);
                    let (value, version) = rows.rows.get(&key)?;
                    Some(row(&key.0, &key.2, Some(value), *version))
                })
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                standing.join(","),
                rows.version,
                self.now_ms()
            );
            return (412, body);
        }
        rows.version += 1;
        for entry in body.get("put").list() {
            let (table, part, key) = place(entry);
            let value = entry.get("value").text().to_owned();
            put(&mut rows, &table, &part, &key, value);
        }
        for entry in body.get("remove").list() {
            let (table, part, key) = place(entry);
            remove(&mut rows, &table, &part, &key);
        }
        self.changed.notify_all();
        let body = format!("{{\"ver\":{},\"now_ms\":{}}}", rows.version, self.now_ms());
        (200, body)
    }
}

fn put(rows: &mut Rows, table: &str, part: &str, key: &str, value: String) {
    let version = rows.version;
    let place = (table.to_owned(), part.to_owned(), key.to_owned());
    rows.rows.insert(place, (value.clone(), version));
    rows.changes.push(Change {
        version,
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value),
    });
}

fn remove(rows: &mut Rows, table: &str, part: &str, key: &str) {
    let version = rows.version;
    rows.rows
        .remove(&(table.to_owned(), part.to_owned(), key.to_owned()));
    rows.changes.push(Change {
        version,
        table: table.to_owned(),
        key: key.to_owned(),
        value: None,
    });
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let head = format!(
        "{{\"table\":{},\"part\":\"\",\"tls_key\":{}",
        quoted(table),
        quoted(key)
    );
    match value {
        Some(value) => format!("{head},\"value\":{},\"ver\":{version}}}", quoted(value)),
        None => format!("{head},\"deleted\":true,\"ver\":{version}}}"),
    }
}

/// A request to a server of the platform.
pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or_else(String::new, |(_, value)| value.clone())
    }

    pub fn header(&self, name: &str) -> String {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or_else(String::new, |(_, value)| value.clone())
    }
}

/// Serves HTTP/1.1 requests of one connection.
pub fn serve_http(stream: TcpStream, answer: &dyn Fn(&Request) -> (u16, String)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let (status, body) = answer(&request);
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if output
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (unescaped(name), unescaped(value)));
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut output = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code =
            escaped.and_then(|it| u8::from_str_radix(std::str::from_utf8(it).ok()?, 16).ok());
        match code {
            Some(code) => {
                output.push(code);
                at += 3;
            }
            None => {
                output.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&output).into_owned()
}

/// Listens on any free port of an address.
pub fn listen(ip: &str) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
