//! The stand-in process prints the addresses of its servers. Other tests read them
//! from this line, so a change of its format would break those.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn prints_its_addresses_when_ready() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linkhold-standin"))
        .args(["--instances", "2"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program was built");
    let stdout = child.stdout.take().expect("is piped");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("a line is printed");
    child.kill().expect("the child runs");
    child.wait().expect("the child ends");
    assert!(line.starts_with("event=ready control=127.0.0.1:"), "{line}");
    let instances = line.trim().split_once("instances=").expect("is listed").1;
    assert_eq!(instances.split(',').count(), 2);
}
