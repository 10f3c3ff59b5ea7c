//! One back end instance: its connections and its slots.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use linkhold_core::admission::{Admission, SlotLimits, SlotQueue, Ticket};
use linkhold_core::classify::Access;
use linkhold_core::outcome::NotRun;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::backend::Pool;

/// A back end instance, shared by all sessions of a node.
pub struct InstanceHandle {
    /// Name in the table.
    pub name: String,
    /// Connections to it.
    pub pool: Pool,
    slots: Mutex<Slots>,
    next_ticket: AtomicU64,
}

struct Slots {
    queue: SlotQueue,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// A slot in use; released when dropped.
pub struct SlotPermit {
    instance: Arc<InstanceHandle>,
    class: Access,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.instance.release(self.class);
    }
}

impl InstanceHandle {
    /// An instance with these limits.
    pub fn new(name: String, pool: Pool, limits: SlotLimits) -> Self {
        Self {
            name,
            pool,
            slots: Mutex::new(Slots {
                queue: SlotQueue::new(limits),
                waiting: HashMap::new(),
            }),
            next_ticket: AtomicU64::new(0),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: SlotLimits) {
        let mut slots = self.slots();
        let granted = slots.queue.set_limits(limits);
        wake(&mut slots, granted);
    }

    /// Whether a read would be admitted at once.
    pub fn has_room_for_read(&self) -> bool {
        self.slots().queue.has_room_for_read()
    }

    /// Number of slots in use and of requests waiting.
    pub fn usage(&self) -> (usize, usize) {
        let slots = self.slots();
        (slots.queue.in_use(), slots.queue.waiting())
    }

    /// Takes a slot if one is free now.
    pub fn try_acquire(self: &Arc<Self>, class: Access) -> Option<SlotPermit> {
        let taken = self.slots().queue.try_take(class);
        taken.then(|| self.permit(class))
    }

    /// Takes a slot, waiting in the bounded queue until the deadline. Fails with
    /// [`NotRun::Overloaded`] if the queue is full or the deadline passes.
    pub async fn acquire(
        self: &Arc<Self>,
        class: Access,
        deadline: Instant,
    ) -> Result<SlotPermit, NotRun> {
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let receiver = {
            let mut slots = self.slots();
            match slots.queue.request(class, ticket) {
                Admission::Granted => return Ok(self.permit(class)),
                Admission::Refused => return Err(NotRun::Overloaded),
                Admission::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    slots.waiting.insert(ticket, sender);
                    receiver
                }
            }
        };
        let waiting = QueuedRequest {
            instance: self,
            class,
            ticket,
            granted: false,
        };
        waiting.run(receiver, deadline).await
    }

    fn permit(self: &Arc<Self>, class: Access) -> SlotPermit {
        SlotPermit {
            instance: self.clone(),
            class,
        }
    }

    fn release(&self, class: Access) {
        let mut slots = self.slots();
        let granted = slots.queue.release(class);
        wake(&mut slots, granted);
    }

    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().expect("no panic while held")
    }
}

fn wake(slots: &mut Slots, granted: Vec<Ticket>) {
    for ticket in granted {
        if let Some(sender) = slots.waiting.remove(&ticket) {
            // If the receiver was dropped, `QueuedRequest::drop` releases the slot.
            let _ = sender.send(());
        }
    }
}

/// A queued request. When dropped before it has received its grant, it leaves the
/// queue, or releases the slot that was granted in the meantime.
struct QueuedRequest<'a> {
    instance: &'a Arc<InstanceHandle>,
    class: Access,
    ticket: Ticket,
    granted: bool,
}

impl QueuedRequest<'_> {
    async fn run(
        mut self,
        receiver: oneshot::Receiver<()>,
        deadline: Instant,
    ) -> Result<SlotPermit, NotRun> {
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(())) => {
                self.granted = true;
                Ok(self.instance.permit(self.class))
            }
            _ => Err(NotRun::Overloaded),
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let mut slots = self.instance.slots();
        slots.waiting.remove(&self.ticket);
        let was_queued = slots.queue.abandon(self.class, self.ticket);
        if !was_queued {
            let granted = slots.queue.release(self.class);
            wake(&mut slots, granted);
        }
    }
}
