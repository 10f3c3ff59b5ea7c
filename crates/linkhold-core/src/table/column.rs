//! Columns of the table.

use std::fmt;

/// A column, in the order in which tables are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Column {
    /// Name of the database group.
    Group,
    /// Name that callers connect to.
    Database,
    /// Name of the instance.
    Instance,
    /// IP address and port.
    Address,
    /// Zone in which the instance is located.
    Zone,
    /// Hours of the day (UTC) in which the weight applies.
    Hours,
    /// Share of replica reads in those hours.
    Weight,
    /// Requests that the instance runs concurrently.
    Slots,
    /// Connections to the instance that the whole fleet may hold.
    ConnectionLimit,
    /// Longest wait of a read for a fresh instance, in milliseconds.
    ReadWait,
    /// Longest wait of a write for a primary, in milliseconds.
    WriteWait,
    /// Whether the instance accepts new work.
    State,
}

impl Column {
    /// All columns, in order.
    pub const ALL: [Self; 12] = [
        Self::Group,
        Self::Database,
        Self::Instance,
        Self::Address,
        Self::Zone,
        Self::Hours,
        Self::Weight,
        Self::Slots,
        Self::ConnectionLimit,
        Self::ReadWait,
        Self::WriteWait,
        Self::State,
    ];

    /// Heading in the CSV file.
    pub fn heading(self) -> &'static str {
        match self {
            Self::Group => "group",
            Self::Database => "database",
            Self::Instance => "instance",
            Self::Address => "address",
            Self::Zone => "zone",
            Self::Hours => "hours",
            Self::Weight => "weight",
            Self::Slots => "slots",
            Self::ConnectionLimit => "connection_limit",
            Self::ReadWait => "read_wait_ms",
            Self::WriteWait => "write_wait_ms",
            Self::State => "state",
        }
    }

    /// The column with this heading.
    pub fn from_heading(heading: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|column| column.heading() == heading)
    }

    /// Position of the column in [`Column::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Column {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.heading())
    }
}
