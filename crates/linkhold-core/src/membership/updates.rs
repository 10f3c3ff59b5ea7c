//! Statements on their way to other nodes: each is sent a limited number of
//! times, the least sent first (SWIM, section 4.1).

use super::member::{MemberRecord, NodeId};

/// Statements a node passes on.
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
    /// Queues a record, in place of an older one about the same member.
    pub fn push(&mut self, record: MemberRecord) {
        self.remove(record.node);
        self.entries.push(Entry { record, sent: 0 });
    }

    /// Whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Up to `most` records for one message. A record that has been
    /// sent `limit` times is dropped.
    pub fn take(&mut self, most: usize, limit: u32) -> Vec<MemberRecord> {
        self.entries.sort_by_key(|entry| entry.sent);
        let chosen = self.entries.iter_mut().take(most);
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
