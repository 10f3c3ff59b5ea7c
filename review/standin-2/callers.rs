//! Callers that write, and callers that read.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::group::Group;
use crate::record::Record;

/// What callers were told so far.
#[derive(Default)]
pub struct Told {
    pub sent: AtomicUsize,
    pub acknowledged: AtomicUsize,
    pub refused: AtomicUsize,
    pub unknown: AtomicUsize,
    /// Reads that ran on a log which lacked a commit that a caller had been told of before.
    pub stale: AtomicUsize,
}

/// Starts a caller that writes again and again through one node, each write with a new id.
pub fn start_writer(
    number: usize,
    frontend: SocketAddr,
    database: &'static str,
    pause: Duration,
    group: Arc<Group>,
    record: Record,
    told: Arc<Told>,
    stop: Arc<AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let session = write_in_session(
                number, &mut count, frontend, database, pause, &group, &record, &told, &stop,
            );
            if session.is_none() {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    });
}

#[allow(clippy::too_many_arguments)]
fn write_in_session(
    number: usize,
    count: &mut usize,
    frontend: SocketAddr,
    database: &str,
    pause: Duration,
    group: &Group,
    record: &Record,
    told: &Told,
    stop: &AtomicBool,
) -> Option<()> {
    let stream = TcpStream::connect_timeout(&frontend, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    let startup = format!("STARTUP {database} caller{number}\r\n");
    output.write_all(startup.as_bytes()).ok()?;
    if !read(&mut input)?.starts_with("READY") {
        return None;
    }
    while !stop.load(Ordering::Relaxed) {
        *count += 1;
        let id = format!("w{number}-{count}");
        record.line(format!("caller {number} sends {id}"));
        told.sent.fetch_add(1, Ordering::Relaxed);
        let query = format!("QUERY {id} STORE t{} {count}\r\n", *count % 50);
        let sent = output.write_all(query.as_bytes());
        let answer = sent.ok().and_then(|()| read(&mut input));
        match answer.as_deref() {
            Some(answer) if answer.starts_with("COMPLETE ") => {
                group.acknowledge(&id);
                told.acknowledged.fetch_add(1, Ordering::Relaxed);
            }
            Some(answer) if answer.starts_with("ERROR INDOUBT") => {
                told.unknown.fetch_add(1, Ordering::Relaxed);
            }
            Some(answer) if answer.starts_with("ERROR TIMEOUT") => {
                told.unknown.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {
                told.refused.fetch_add(1, Ordering::Relaxed);
            }
            None => {
                told.unknown.fetch_add(1, Ordering::Relaxed);
            }
        }
        let shown = answer.as_deref().unwrap_or("no answer");
        record.line(format!("caller {number} is told of {id}: {shown}"));
        answer?;
        if !read(&mut input)?.starts_with("READY I") {
            return None;
        }
        std::thread::sleep(pause);
    }
    Some(())
}

fn read(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = input.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

/// Starts a caller that reads again and again through one node, on a `primary` route.
pub fn start_reader(
    frontend: SocketAddr,
    database: &'static str,
    group: Arc<Group>,
    record: Record,
    told: Arc<Told>,
    stop: Arc<AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let session = read_in_session(
                &mut count, frontend, database, &group, &record, &told, &stop,
            );
            if session.is_none() {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    });
}

fn read_in_session(
    count: &mut usize,
    frontend: SocketAddr,
    database: &str,
    group: &Group,
    record: &Record,
    told: &Told,
    stop: &AtomicBool,
) -> Option<()> {
    let stream = TcpStream::connect_timeout(&frontend, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    let startup = format!("STARTUP {database} reader\r\n");
    output.write_all(startup.as_bytes()).ok()?;
    if !read(&mut input)?.starts_with("READY") {
        return None;
    }
    while !stop.load(Ordering::Relaxed) {
        *count += 1;
        let before = group.told_outdated();
        let query = format!("QUERY r{count} FETCH t1\r\n");
        output.write_all(query.as_bytes()).ok()?;
        let mut answer = read(&mut input)?;
        while answer.starts_with("ROW ") {
            answer = read(&mut input)?;
        }
        if let Some(signature) = answer.strip_prefix("COMPLETE ") {
            let instance = signature.split('.').next().unwrap_or("");
            let lacking = group.lacking(instance, &before);
            if lacking > 0 {
                told.stale.fetch_add(1, Ordering::Relaxed);
                record.line(format!(
                    "read r{count} ran on {instance}, whose log lacks {lacking} commits that \
                     callers had been told of before"
                ));
            }
        }
        if !read(&mut input)?.starts_with("READY I") {
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Some(())
}
