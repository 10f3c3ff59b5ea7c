//! Admission control of an instance: a fixed number of slots, a reserve for writes
//! and bounded queues.
//!
//! # Invariants
//!
//! * At most `capacity` slots are in use.
//! * Reads never use more than `capacity - write_reserve` slots, so a burst of
//!   reads delays a write by no more than the writes ahead of it.
//! * Each queue is bounded; a request beyond the bound is refused immediately.

use std::collections::VecDeque;

use crate::classify::Access;

/// Identifies a waiting request; chosen by the caller, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Limits of one instance for this node, from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests that may run concurrently.
    pub capacity: usize,
    /// Slots that reads may not use.
    pub write_reserve: usize,
    /// Longest queue of each class.
    pub queue_bound: usize,
}

/// Answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Granted,
    /// The request waits; a later release or change of limits returns its ticket.
    Queued,
    /// The queue is full.
    Refused,
}

/// Slots and queues of one instance.
#[derive(Debug)]
pub struct SlotQueue {
    limits: SlotLimits,
    reads_in_use: usize,
    writes_in_use: usize,
    waiting_reads: VecDeque<Ticket>,
    waiting_writes: VecDeque<Ticket>,
}

impl SlotQueue {
    /// Creates an idle queue with these limits.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            reads_in_use: 0,
            writes_in_use: 0,
            waiting_reads: VecDeque::new(),
            waiting_writes: VecDeque::new(),
        }
    }

    /// Requests a slot; the request is queued in its class if none is free.
    pub fn request(&mut self, class: Access, ticket: Ticket) -> Admission {
        let queue_is_empty = self.queue(class).is_empty();
        if queue_is_empty && self.may_take(class) {
            self.take(class);
            return Admission::Granted;
        }
        if self.queue(class).len() >= self.limits.queue_bound {
            return Admission::Refused;
        }
        self.queue_mut(class).push_back(ticket);
        Admission::Queued
    }

    /// Takes a slot if one is free now and no request of the class waits; `false` if
    /// not.
    pub fn try_take(&mut self, class: Access) -> bool {
        let free = self.queue(class).is_empty() && self.may_take(class);
        if free {
            self.take(class);
        }
        free
    }

    /// Releases a slot; returns the tickets that now hold one.
    pub fn release(&mut self, class: Access) -> Vec<Ticket> {
        match class {
            Access::Read => self.reads_in_use -= 1,
            Access::Write => self.writes_in_use -= 1,
        }
        self.grant_waiting()
    }

    /// Removes a waiting request. `false` if it already holds a slot.
    pub fn abandon(&mut self, class: Access, ticket: Ticket) -> bool {
        let queue = self.queue_mut(class);
        let before = queue.len();
        queue.retain(|waiting| *waiting != ticket);
        queue.len() < before
    }

    /// Changes the limits; returns the tickets that now hold a slot. Slots in
    /// use beyond a lowered capacity stay in use and are not granted again.
    pub fn set_limits(&mut self, limits: SlotLimits) -> Vec<Ticket> {
        self.limits = limits;
        self.grant_waiting()
    }

    /// Slots in use.
    pub fn in_use(&self) -> usize {
        self.reads_in_use + self.writes_in_use
    }

    /// Slots in use by reads.
    pub fn reads_in_use(&self) -> usize {
        self.reads_in_use
    }

    /// Requests waiting in both queues.
    pub fn waiting(&self) -> usize {
        self.waiting_reads.len() + self.waiting_writes.len()
    }

    /// Whether a read could be admitted now.
    pub fn has_room_for_read(&self) -> bool {
        self.waiting_reads.is_empty() && self.may_take(Access::Read)
    }

    fn grant_waiting(&mut self) -> Vec<Ticket> {
        let mut granted = Vec::new();
        for class in [Access::Write, Access::Read] {
            while self.may_take(class) {
                let Some(ticket) = self.queue_mut(class).pop_front() else {
                    break;
                };
                self.take(class);
                granted.push(ticket);
            }
        }
        granted
    }

    fn may_take(&self, class: Access) -> bool {
        let below_capacity = self.in_use() < self.limits.capacity;
        match class {
            Access::Write => below_capacity,
            Access::Read => {
                let read_limit = self
                    .limits
                    .capacity
                    .saturating_sub(self.limits.write_reserve);
                below_capacity && self.reads_in_use < read_limit
            }
        }
    }

    fn take(&mut self, class: Access) {
        match class {
            Access::Read => self.reads_in_use += 1,
            Access::Write => self.writes_in_use += 1,
        }
    }

    fn queue(&self, class: Access) -> &VecDeque<Ticket> {
        match class {
            Access::Read => &self.waiting_reads,
            Access::Write => &self.waiting_writes,
        }
    }

    fn queue_mut(&mut self, class: Access) -> &mut VecDeque<Ticket> {
        match class {
            Access::Read => &mut self.waiting_reads,
            Access::Write => &mut self.waiting_writes,
        }
    }
}
