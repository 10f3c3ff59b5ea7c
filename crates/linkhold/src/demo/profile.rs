//! Sizes and load of the first two users.

use std::time::Duration;

use linkhold_standin::group::LagProfile;

/// User whose sizes and load a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Podcast hosting: mostly feed reads, scarce slots.
    SadaaWaves,
    /// Ledger of a heating network: more writes and more slots.
    HeatNetwork,
}

/// Sizes, latencies and load of a profile.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Zones of the instances and nodes.
    pub zones: [&'static str; 3],
    /// One-way latency between zones.
    pub zone_latency: Duration,
    /// Group name.
    pub group: &'static str,
    /// Number of databases.
    pub databases: usize,
    /// Number of instances of each database.
    pub instances: usize,
    /// Number of slots of each instance.
    pub slots: usize,
    /// Connection limit of each instance.
    pub connections: usize,
    /// Time to accept a new connection.
    pub connect_time: Duration,
    /// Time that a statement occupies its slot.
    pub service_time: Duration,
    /// Replication lag.
    pub lag: LagProfile,
    /// Time without a primary after which a group elects a new one.
    pub election_timeout: Duration,
    /// Maximum wait of reads.
    pub read_wait: Duration,
    /// Maximum wait of writes.
    pub write_wait: Duration,
    /// Number of writing callers per database.
    pub writers: usize,
    /// Number of read-only callers per database.
    pub readers: usize,
    /// Mean pause of a writer between requests.
    pub writer_pause: Duration,
    /// Mean pause of a reader between requests.
    pub reader_pause: Duration,
}

impl Profile {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::SadaaWaves => "sadaa-waves",
            Self::HeatNetwork => "heat-network",
        }
    }

    /// Returns the sizes and load.
    pub fn sizes(self) -> Sizes {
        match self {
            Self::SadaaWaves => Sizes {
                zones: ["muscat-a", "sohar-a", "salalah-a"],
                zone_latency: Duration::from_micros(1_500),
                group: "catalog-db",
                databases: 3,
                instances: 3,
                slots: 5,
                connections: 40,
                connect_time: Duration::from_millis(12),
                service_time: Duration::from_millis(1),
                lag: LagProfile::Varying {
                    median: Duration::from_millis(20),
                    p99: Duration::from_millis(500),
                },
                election_timeout: Duration::from_millis(500),
                read_wait: Duration::from_millis(500),
                write_wait: Duration::from_secs(8),
                writers: 4,
                readers: 8,
                writer_pause: Duration::from_millis(60),
                reader_pause: Duration::from_millis(25),
            },
            Self::HeatNetwork => Sizes {
                zones: ["dkr-plant", "ths-depot", "rfq-sub"],
                zone_latency: Duration::from_micros(500),
                group: "heat-ledger",
                databases: 3,
                instances: 3,
                slots: 10,
                connections: 100,
                connect_time: Duration::from_millis(12),
                service_time: Duration::from_millis(1),
                lag: LagProfile::Varying {
                    median: Duration::from_millis(5),
                    p99: Duration::from_millis(50),
                },
                election_timeout: Duration::from_millis(500),
                read_wait: Duration::from_millis(100),
                write_wait: Duration::from_secs(8),
                writers: 8,
                readers: 4,
                writer_pause: Duration::from_millis(20),
                reader_pause: Duration::from_millis(25),
            },
        }
    }
}
