//! Nodes: the program of the deploy file, as separate processes.

use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::record::Record;

const PROGRAM: &str = "target/release/linkhold-platform";

pub struct NodePlace {
    pub name: String,
    pub ip: String,
    pub zone: String,
}

pub struct Node {
    pub place: NodePlace,
    pub frontend: SocketAddr,
    settings: String,
    log: String,
    process: Option<Child>,
    record: Record,
}

impl Node {
    /// Starts a node for the first time. `settings` holds what all nodes share.
    pub fn start(
        place: NodePlace,
        settings: &str,
        folder: &str,
        is_first: bool,
        record: Record,
    ) -> std::io::Result<Self> {
        let frontend = SocketAddr::new(place.ip.parse().unwrap(), 8784);
        let mut node = Self {
            settings: format!("{folder}/{}.conf", place.name),
            log: format!("{folder}/{}.log", place.name),
            place,
            frontend,
            process: None,
            record,
        };
        node.write_settings(settings, is_first)?;
        node.run()?;
        if is_first {
            std::thread::sleep(Duration::from_millis(150));
            // Later starts are not the first of the whole system.
            node.write_settings(settings, false)?;
        }
        Ok(node)
    }

    fn write_settings(&self, shared: &str, is_first: bool) -> std::io::Result<()> {
        let NodePlace { name, ip, zone } = &self.place;
        let own = format!(
            "node_name={name}\nrole=proxy\nnode_class=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region={zone}-region\nbind_addrs.frontend={ip}:8784\nbind_addrs.readiness={ip}:8785\n\
             port_range=7440,7455\nbootstrap={is_first}\n"
        );
        std::fs::write(&self.settings, own + shared)
    }

    /// Starts the process again.
    pub fn run(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let process = Command::new(PROGRAM)
            .args(["serve", "--metrics-port", "9464"])
            .env_clear()
            .env("LINKHOLD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.record.line(format!("node {} starts", self.place.name));
        self.process = Some(process);
        Ok(())
    }

    /// SIGKILL, as in a loss of power.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record
                .line(format!("node {} is killed", self.place.name));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
