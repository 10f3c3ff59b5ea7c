//! Statements on their way to other nodes: each is sent a limited number of
//! times, the least sent first (SWIM, section 4.1).

use super::member::{NodeId, Statement};

/// Statements a node passes on.
#[derive(Debug, Default)]
pub struct Updates {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    statement: Statement,
    sent: u32,
}

impl Updates {
    /// Queues a statement, in place of an older one about the same member.
    pub fn push(&mut self, statement: Statement) {
        self.remove(statement.node);
        self.entries.push(Entry { statement, sent: 0 });
    }

    /// Whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Up to `most` statements for one message. A statement that has been
    /// sent `limit` times is dropped.
    pub fn take(&mut self, most: usize, limit: u32) -> Vec<Statement> {
        self.entries.sort_by_key(|entry| entry.sent);
        let chosen = self.entries.iter_mut().take(most);
        let statements = chosen
            .map(|entry| {
                entry.sent += 1;
                entry.statement
            })
            .collect();
        self.entries.retain(|entry| entry.sent < limit);
        statements
    }

    fn remove(&mut self, node: NodeId) {
        self.entries.retain(|entry| entry.statement.node != node);
    }
}
