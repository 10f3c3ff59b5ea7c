//! Queue of records to pass on: each is sent a limited number of times, the least
//! sent first (SWIM, section 4.1).

use super::member::{MemberRecord, NodeId};

/// Records that a node passes on to other nodes.
#[derive(Debug, Default)]
pub struct Updates {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    sent: u32,
}

impl Updates {
    /// Queues a record; replaces a queued one about the same member.
    pub fn push(&mut self, record: MemberRecord) {
        self.remove(record.node);
        self.entries.push(Entry { record, sent: 0 });
    }

    /// Whether no record is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes up to `max` records for one message, the least sent first. Drops records
    /// that have been sent `limit` times.
    pub fn take(&mut self, max: usize, limit: u32) -> Vec<MemberRecord> {
        self.entries.sort_by_key(|entry| entry.sent);
        let chosen = self.entries.iter_mut().take(max);
        let records = chosen
            .map(|entry| {
                entry.sent += 1;
                entry.record
            })
            .collect();
        self.entries.retain(|entry| entry.sent < limit);
        records
    }

    fn remove(&mut self, node: NodeId) {
        self.entries.retain(|entry| entry.record.node != node);
    }
}
