//! A database group: a primary and its replicas, on the wire of the users' pages.
//!
//! Each commit gets the next number of the primary's log. Replicas that run and receive get it a
//! few milliseconds later. With synchronous replicas a commit is answered once that many have
//! received it. A promotion gives the named instance the lead of the next term with what it had
//! received and nothing beyond.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::store::{Request, Store};

/// How often instances write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a promotion takes.
const PROMOTION: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    term: u64,
    number: u64,
    /// The caller's id of the statement.
    id: String,
    thing: String,
}

pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub leads: bool,
    pub term: u64,
    log: Vec<Entry>,
    pub runs: bool,
    /// It receives nothing.
    pub is_deaf: bool,
    /// It leaves.
    pub drains: bool,
    /// It is partitioned from the other instances.
    is_apart: bool,
    /// Nodes that it is partitioned from, by the names that they give at the start.
    cut_from: Vec<String>,
    /// Counts its starts.
    life: u64,
    /// Unix milliseconds of its start.
    born: u64,
    sequence: u64,
    beat_at: Option<Instant>,
    told_leads: bool,
    told_drains: bool,
    connections: Vec<TcpStream>,
}

impl Member {
    fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((0, 0), |last| (last.term, last.number))
    }

    fn has(&self, id: &str) -> bool {
        self.log.iter().any(|entry| entry.id == id)
    }
}

pub struct Inner {
    pub members: Vec<Member>,
    newest_fence: u64,
    /// Acknowledged commits that a promoted log lacked.
    pub lost: Vec<String>,
    /// Commits of a primary after the promotion of another had taken effect.
    outdated: Vec<String>,
    /// Those of them that callers were told of.
    pub outdated_told: Vec<String>,
    pub promotions: usize,
}

pub struct Group {
    inner: Mutex<Inner>,
    changed: Condvar,
    pub service: String,
    synchronous: usize,
    checks_fences: bool,
    store: Arc<Store>,
    record: Record,
    /// Ids of writes that callers were told to be committed.
    acknowledged: Mutex<Vec<String>>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Group {
    /// Starts a group; the first of `places` (address and zone of each instance) leads.
    pub fn start(
        service: &str,
        places: &[(String, String)],
        synchronous: usize,
        checks_fences: bool,
        store: Arc<Store>,
        record: Record,
    ) -> std::io::Result<Arc<Self>> {
        let mut members = Vec::new();
        for (index, (ip, zone)) in places.iter().enumerate() {
            let (listener, address) = crate::store::listen(ip)?;
            drop(listener);
            members.push(Member {
                name: format!("i-{index}{index}{index}"),
                address,
                zone: zone.clone(),
                leads: index == 0,
                term: 1,
                log: vec![Entry {
                    term: 1,
                    number: 1,
                    id: "first".into(),
                    thing: "first".into(),
                }],
                runs: true,
                is_deaf: false,
                drains: false,
                is_apart: false,
                cut_from: Vec::new(),
                life: 1,
                born: unix_ms(),
                sequence: 0,
                beat_at: None,
                told_leads: false,
                told_drains: false,
                connections: Vec::new(),
            });
        }
        let count = members.len();
        let group = Arc::new(Self {
            inner: Mutex::new(Inner {
                members,
                newest_fence: 0,
                lost: Vec::new(),
                outdated: Vec::new(),
                outdated_told: Vec::new(),
                promotions: 0,
            }),
            changed: Condvar::new(),
            service: service.to_owned(),
            synchronous,
            checks_fences,
            store,
            record,
            acknowledged: Mutex::default(),
        });
        for index in 0..count {
            let group = group.clone();
            std::thread::spawn(move || group.listen(index));
        }
        let replicating = group.clone();
        std::thread::spawn(move || replicating.replicate());
        let beating = group.clone();
        std::thread::spawn(move || beating.beat());
        Ok(group)
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Records that a caller was told that a write is committed.
    pub fn acknowledge(&self, id: &str) {
        self.acknowledged.lock().unwrap().push(id.to_owned());
        let mut inner = self.lock();
        if inner.outdated.iter().any(|outdated| outdated == id) {
            inner.outdated_told.push(id.to_owned());
        }
    }

    /// Commits that callers were told of and that were made at a primary after the promotion of
    /// another had taken effect.
    pub fn told_outdated(&self) -> Vec<String> {
        self.lock().outdated_told.clone()
    }

    /// How many of some commits are not in the log of an instance.
    pub fn lacking(&self, instance: &str, commits: &[String]) -> usize {
        let inner = self.lock();
        let member = inner.members.iter().find(|it| it.name == instance);
        member.map_or(0, |it| commits.iter().filter(|id| !it.has(id)).count())
    }

    /// How long ago an instance wrote its entry.
    pub fn entry_age(&self, index: usize) -> Duration {
        let beat_at = self.lock().members[index].beat_at;
        beat_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// The name of an instance.
    pub fn name(&self, index: usize) -> String {
        self.lock().members[index].name.clone()
    }

    /// Ends the process of an instance. Its connections are reset or closed by its system.
    pub fn crash(&self, index: usize) {
        let mut inner = self.lock();
        let member = &mut inner.members[index];
        member.runs = false;
        member.life += 1;
        for connection in member.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(format!(
            "instance {} crashes at {:?}",
            member.name,
            member.position()
        ));
        self.changed.notify_all();
    }

    /// Starts an instance again: under its id, and then it holds nothing of before, or with its log,
    /// as a new instance at its address.
    pub fn restart(&self, index: usize, holds_nothing: bool) {
        let mut inner = self.lock();
        let newest = inner.members.iter().map(|it| it.term).max().unwrap_or(0);
        let member = &mut inner.members[index];
        member.sequence = 0;
        if holds_nothing {
            member.log.clear();
            member.term = 0;
            member.leads = false;
        } else {
            // Under its old id an instance would hold nothing.
            member.name.push_str("-again");
        }
        // A crashed primary is a replica if another was promoted.
        member.leads &= member.term == newest;
        member.born = unix_ms();
        member.runs = true;
        member.beat_at = None;
        self.record.line(format!(
            "instance {} starts again, leads={} at {:?}",
            member.name,
            member.leads,
            member.position()
        ));
    }

    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut inner = self.lock();
        let member = &mut inner.members[index];
        member.is_deaf = is_deaf;
        self.record.line(format!(
            "instance {} receives={} at {:?}",
            member.name,
            !is_deaf,
            member.position()
        ));
    }

    /// Partitions an instance from the other instances and from some nodes.
    pub fn cut(&self, index: usize, nodes: &[String]) {
        let mut inner = self.lock();
        let member = &mut inner.members[index];
        member.is_apart = true;
        member.cut_from = nodes.to_vec();
        self.record.line(format!(
            "instance {} is partitioned from the other instances and from {}, at {:?}",
            member.name,
            nodes.join(", "),
            member.position()
        ));
    }

    /// Ends a partition.
    pub fn heal(&self, index: usize) {
        let mut inner = self.lock();
        let member = &mut inner.members[index];
        member.is_apart = false;
        member.cut_from.clear();
        self.record.line(format!(
            "the partition of instance {} heals at {:?}",
            member.name,
            member.position()
        ));
    }

    fn is_cut(&self, index: usize, node: &str) -> bool {
        let inner = self.lock();
        inner.members[index].cut_from.iter().any(|cut| cut == node)
    }

    pub fn describe(&self) -> String {
        let inner = self.lock();
        let members = inner.members.iter().map(|it| {
            format!(
                "{} runs={} leads={} term={} at {:?}",
                it.name,
                it.runs,
                it.leads,
                it.term,
                it.position()
            )
        });
        members.collect::<Vec<_>>().join("; ")
    }

    // Replication.

    fn replicate(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(3));
            let mut inner = self.lock();
            let Some(from) = leader(&inner).filter(|from| inner.members[*from].runs) else {
                continue;
            };
            if inner.members[from].is_apart {
                continue;
            }
            let source = inner.members[from].log.clone();
            let term = inner.members[from].term;
            for (index, member) in inner.members.iter_mut().enumerate() {
                if index == from || !member.runs || member.is_deaf || member.is_apart {
                    continue;
                }
                let common = member.log.iter().zip(&source);
                let common = common.take_while(|(own, theirs)| own == theirs).count();
                if common < member.log.len() && term <= member.term && member.term > 0 {
                    continue;
                }
                member.log.truncate(common);
                member.log.extend_from_slice(&source[common..]);
                member.term = term;
                member.leads = false;
            }
            drop(inner);
            self.changed.notify_all();
        }
    }

    // Entries.

    fn beat(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut entries = Vec::new();
            let mut lapsed = Vec::new();
            let mut inner = self.lock();
            for member in &mut inner.members {
                let since = member.beat_at.map(|at| at.elapsed());
                let has_changed =
                    member.told_leads != member.leads || member.told_drains != member.drains;
                if member.runs && (has_changed || since.is_none_or(|since| since >= HEARTBEAT)) {
                    member.beat_at = Some(Instant::now());
                    member.sequence += 1;
                    member.told_leads = member.leads;
                    member.told_drains = member.drains;
                    entries.push((member.name.clone(), self.entry(member)));
                } else if !member.runs && since.is_some_and(|since| since > HEARTBEAT * 3) {
                    member.beat_at = None;
                    lapsed.push(member.name.clone());
                }
            }
            drop(inner);
            for (name, entry) in entries {
                self.store.put("servers", &name, &entry);
            }
            for name in lapsed {
                self.record.line(format!("entry of {name} lapses"));
                self.store.remove("servers", &name);
            }
        }
    }

    fn entry(&self, member: &Member) -> String {
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity\":3,\"state\":\"{}\",\"warmup_left_ms\":0,\"db_role\":\"{}\",\
             \"sequence\":{},\"born\":{}}}",
            self.service,
            member.address,
            member.zone,
            if member.drains { "draining" } else { "ready" },
            if member.leads { "primary" } else { "replica" },
            member.sequence,
            member.born
        )
    }

    // The failover call.

    pub fn serve_failover(self: &Arc<Self>, listener: TcpListener) {
        let group = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                std::thread::spawn(move || {
                    crate::store::serve_http(stream, &|request| group.fail_over(request));
                });
            }
        });
    }

    fn fail_over(self: &Arc<Self>, request: &Request) -> (u16, String) {
        let body = crate::json::parse(&request.body).unwrap_or(crate::json::Json::Null);
        let id = body.get("id").text().to_owned();
        let fence: u64 = request.header("X-Fencing-Token").parse().unwrap_or(0);
        let holder = request.header("X-Lease-Holder");
        let mut inner = self.lock();
        self.record.line(format!(
            "platform: failover to {id} by {holder} fence={fence}"
        ));
        if self.checks_fences && fence < inner.newest_fence {
            return (409, "{}".into());
        }
        inner.newest_fence = inner.newest_fence.max(fence);
        let Some(index) = inner.members.iter().position(|it| it.name == id) else {
            return (409, "{}".into());
        };
        if !inner.members[index].runs {
            return (409, "{}".into());
        }
        if leader(&inner) == Some(index) {
            return (200, "{}".into());
        }
        drop(inner);
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTION);
            group.promote(index);
        });
        (200, "{}".into())
    }

    fn promote(&self, index: usize) {
        let acknowledged = self.acknowledged.lock().unwrap().clone();
        let mut inner = self.lock();
        let newest = inner.members.iter().map(|it| it.term).max().unwrap_or(0);
        for member in &mut inner.members {
            // One that is cut off does not learn of it.
            member.leads &= member.is_apart;
        }
        inner.members[index].leads = true;
        inner.members[index].term = newest + 1;
        inner.promotions += 1;
        let member = &inner.members[index];
        let missing: Vec<String> = acknowledged
            .into_iter()
            .filter(|id| !member.has(id))
            .collect();
        self.record.line(format!(
            "platform: {} is promoted in term {} at {:?}; its log lacks {} acknowledged commits{}",
            member.name,
            member.term,
            member.position(),
            missing.len(),
            missing
                .first()
                .map_or(String::new(), |first| format!(", the first {first}"))
        ));
        inner.lost.extend(missing);
        self.changed.notify_all();
    }

    // Connections.

    fn listen(self: &Arc<Self>, index: usize) {
        loop {
            let (address, life) = {
                let inner = self.lock();
                let member = &inner.members[index];
                (member.runs.then_some(member.address), member.life)
            };
            let bound = address.and_then(|address| TcpListener::bind(address).ok());
            let Some(listener) = bound else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            loop {
                {
                    let inner = self.lock();
                    let member = &inner.members[index];
                    if !member.runs || member.life != life {
                        break;
                    }
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let group = self.clone();
                        std::thread::spawn(move || group.serve(index, life, stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        }
    }

    fn serve(&self, index: usize, life: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut output), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        {
            let mut inner = self.lock();
            let member = &mut inner.members[index];
            if member.life != life {
                return;
            }
            member.connections.push(kept);
        }
        let mut input = BufReader::new(stream);
        let mut connection = Connection::default();
        let mut is_started = false;
        let mut node = String::new();
        loop {
            let mut line = String::new();
            if !matches!(input.read_line(&mut line), Ok(length) if length > 0) {
                return;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            if word == "STARTUP" {
                node = rest.split(' ').nth(1).unwrap_or("").to_owned();
            }
            if self.is_cut(index, &node) {
                // What a partition holds up is lost.
                while self.is_cut(index, &node) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = output.shutdown(Shutdown::Both);
                return;
            }
            let answer = match word {
                "STARTUP" if !is_started => {
                    let mut fields = rest.split(' ');
                    let service = fields.next().unwrap_or("");
                    let id = fields.nth(1);
                    let inner = self.lock();
                    let member = &inner.members[index];
                    if service != self.service || id.is_some_and(|id| id != member.name) {
                        let _ = output.write_all(b"ERROR WRONGNODE -\r\n");
                        return;
                    }
                    is_started = true;
                    let (term, number) = member.position();
                    Some(format!("READY I {term}.{number}\r\n"))
                }
                "QUERY" if is_started => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    self.query(index, life, &mut connection, id, text)
                }
                _ => None,
            };
            let Some(answer) = answer else {
                let _ = output.shutdown(Shutdown::Both);
                return;
            };
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a statement; `None` if the connection breaks.
    fn query(
        &self,
        index: usize,
        life: u64,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> Option<String> {
        let (required, text) = match text.strip_prefix("WAITLSN ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ')?;
                let (term, number) = position.split_once('.')?;
                (Some((term.parse().ok()?, number.parse().ok()?)), text)
            }
            None => (None, text),
        };
        let mut inner = self.lock();
        let member = &inner.members[index];
        if member.life != life {
            return None;
        }
        let lags = required.is_some_and(|required: (u64, u64)| member.position() < required);
        let text = connection.expanded(text);
        let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
        let is_plain = connection.transaction == Some(false);
        let outcome: Result<(Vec<String>, String), String> = match word {
            "STATUS" => {
                let (term, number) = member.position();
                let role = if member.leads { "primary" } else { "replica" };
                let count = member.connections.len();
                let row = format!("{role} {} {term}.{number} 0 5 1 {count}", member.term);
                Ok((vec![row], "-".into()))
            }
            "STEPDOWN" => {
                let term: u64 = rest.parse().unwrap_or(0);
                let member = &mut inner.members[index];
                if member.term < term {
                    member.leads = false;
                }
                let (term, number) = member.position();
                let row = format!("replica {} {term}.{number} 0 5 1 1", member.term);
                Ok((vec![row], "-".into()))
            }
            "BEGIN" if lags => Err("LAGGING".into()),
            "BEGIN" if rest == "FETCH" => {
                connection.begin(true);
                Ok((Vec::new(), "-".into()))
            }
            "BEGIN" if !member.leads => Err("READONLY".into()),
            "BEGIN" => {
                connection.begin(false);
                Ok((Vec::new(), "-".into()))
            }
            "ROLLBACK" => {
                connection.end();
                Ok((Vec::new(), "-".into()))
            }
            "DISCARD" => {
                connection.prepared.clear();
                Ok((Vec::new(), "-".into()))
            }
            "SET" | "DEALLOC" => Ok((Vec::new(), "-".into())),
            "PREPARE" => {
                let mut words = rest.splitn(2, ' ');
                let name = words.next().unwrap_or("").to_owned();
                let shape = words.next().unwrap_or("").to_owned();
                connection.prepared.insert(name, shape);
                Ok((Vec::new(), "-".into()))
            }
            _ if is_plain
                && !member.leads
                && (word != "COMMIT" || !connection.writes.is_empty()) =>
            {
                Err("READONLY".into())
            }
            "FETCH" if lags => Err("LAGGING".into()),
            "FETCH" => {
                let found = member.log.iter().rev().find(|entry| entry.thing == rest);
                let row = found.map_or("-".to_owned(), |entry| entry.id.clone());
                Ok((vec![row], format!("{}.{id}", member.name)))
            }
            "STORE" if connection.transaction == Some(true) => Err("READONLY".into()),
            "STORE" if !member.leads => Err("READONLY".into()),
            "STORE" => {
                let thing = rest.split(' ').next().unwrap_or("").to_owned();
                if connection.transaction.is_some() {
                    connection.writes.push((id.to_owned(), thing));
                    Ok((Vec::new(), format!("{}.{id}", member.name)))
                } else {
                    inner = self.commit(inner, index, life, vec![(id.to_owned(), thing)])?;
                    Ok((Vec::new(), format!("{}.{id}", inner.members[index].name)))
                }
            }
            "COMMIT" => {
                let writes = std::mem::take(&mut connection.writes);
                connection.end();
                if !writes.is_empty() {
                    inner = self.commit(inner, index, life, writes)?;
                }
                Ok((Vec::new(), format!("{}.{id}", inner.members[index].name)))
            }
            _ => Err("MALFORMED".into()),
        };
        let member = &inner.members[index];
        let (term, number) = member.position();
        let mut answer = String::new();
        match outcome {
            Ok((rows, signature)) => {
                for row in rows {
                    answer.push_str(&format!("ROW {row}\r\n"));
                }
                answer.push_str(&format!("COMPLETE {signature}\r\n"));
            }
            Err(code) => {
                answer.push_str(&format!("ERROR {code} {}\r\n", member.name));
                connection.fails = connection.transaction.is_some();
            }
        }
        let state = match (connection.transaction, connection.fails) {
            (None, _) => "I",
            (Some(_), false) => "T",
            (Some(_), true) => "E",
        };
        answer.push_str(&format!("READY {state} {term}.{number}\r\n"));
        Some(answer)
    }

    /// Commits writes at a primary and waits until enough replicas have received them; `None` if
    /// it ends or loses the lead before.
    fn commit<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        index: usize,
        life: u64,
        writes: Vec<(String, String)>,
    ) -> Option<MutexGuard<'a, Inner>> {
        let member = &mut inner.members[index];
        let mut last = String::new();
        for (id, thing) in writes {
            let number = member.position().1 + 1;
            last.clone_from(&id);
            member.log.push(Entry {
                term: member.term,
                number,
                id,
                thing,
            });
        }
        self.record.line(format!(
            "{} runs {last} at {:?}",
            member.name,
            member.position()
        ));
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let member = &inner.members[index];
            if member.life != life || !member.leads || Instant::now() >= until {
                return None;
            }
            let others = inner.members.iter().enumerate();
            let received = others.filter(|(other, it)| *other != index && it.has(&last));
            if received.count() >= self.synchronous {
                let term = inner.members[index].term;
                let newer = inner.members.iter().find(|it| it.leads && it.term > term);
                if let Some(newer) = newer {
                    self.record.line(format!(
                        "{} commits {last} in term {term}, after {} was promoted in term {}",
                        inner.members[index].name, newer.name, newer.term
                    ));
                    inner.outdated.push(last);
                }
                return Some(inner);
            }
            let wait = Duration::from_millis(50);
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }
}

fn leader(inner: &Inner) -> Option<usize> {
    let leading = inner.members.iter().enumerate().filter(|(_, it)| it.leads);
    leading
        .max_by_key(|(_, it)| it.term)
        .map(|(index, _)| index)
}

#[derive(Default)]
struct Connection {
    /// Whether the open transaction only reads; `None` without one.
    transaction: Option<bool>,
    fails: bool,
    writes: Vec<(String, String)>,
    prepared: HashMap<String, String>,
}

impl Connection {
    fn begin(&mut self, reads_only: bool) {
        self.transaction = Some(reads_only);
        self.fails = false;
        self.writes.clear();
    }

    fn end(&mut self) {
        self.transaction = None;
        self.fails = false;
        self.writes.clear();
    }

    /// The statement that a prepared one stands for.
    fn expanded(&self, text: &str) -> String {
        let Some(rest) = text.strip_prefix("EXECUTE ") else {
            return text.to_owned();
        };
        let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
        let shape = self.prepared.get(name).map_or("", |shape| shape);
        let word = shape.split(' ').next().unwrap_or("");
        format!("{word} {arguments}")
    }
}
