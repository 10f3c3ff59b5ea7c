//! Memory that a node uses per idle client connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use eyre::{Result, bail};

use super::process::resident_bytes;
use super::{Bench, BenchmarkOptions, DATABASE, fast_group};

/// Connections opened before memory is first measured, so that one-time allocations
/// do not count.
const WARM_UP_CONNECTIONS: usize = 200;

/// Opens idle sessions and divides the growth of the process by their number. Uses
/// plain sockets, which take no memory on the caller's side.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    let bench = Bench::start(fast_group(), |_| {})?;
    let address = bench.node_address();
    let open = |count: usize| -> Result<Vec<TcpStream>> {
        (0..count).map(|_| open_session(address)).collect()
    };
    let _warm = open(WARM_UP_CONNECTIONS)?;
    let before = resident_bytes();
    let idle = open(options.idle_connections)?;
    let growth = resident_bytes().saturating_sub(before);
    println!(
        "bench=connections idle={} bytes_per_connection={}",
        idle.len(),
        growth / idle.len().max(1) as u64
    );
    Ok(())
}

/// Starts a session, runs one statement and leaves the session open.
fn open_session(address: SocketAddr) -> Result<TcpStream> {
    const PROTOCOL_3_0: u32 = 196_608;
    let mut stream = TcpStream::connect(address)?;
    let mut body = PROTOCOL_3_0.to_be_bytes().to_vec();
    body.extend_from_slice(format!("user\0bench\0database\0{DATABASE}\0\0").as_bytes());
    stream.write_all(&u32::try_from(body.len() + 4)?.to_be_bytes())?;
    stream.write_all(&body)?;
    read_until_ready(&mut stream)?;
    let query = b"SELECT value FROM items WHERE id = 1\0";
    stream.write_all(b"Q")?;
    stream.write_all(&u32::try_from(query.len() + 4)?.to_be_bytes())?;
    stream.write_all(query)?;
    read_until_ready(&mut stream)?;
    Ok(stream)
}

fn read_until_ready(stream: &mut TcpStream) -> Result<()> {
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        stream.read_exact(&mut body)?;
        match header[0] {
            b'Z' => return Ok(()),
            b'E' => bail!(
                "the node refused the session: {}",
                String::from_utf8_lossy(&body)
            ),
            _ => {}
        }
    }
}
