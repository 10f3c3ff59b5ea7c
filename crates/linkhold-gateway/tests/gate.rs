//! The gate before an instance: its limit, its queue order and the return of permits.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::concurrency::ConcurrencyLimit;
use linkhold_gateway::gate::{Gate, Urgency};

const READ: Urgency = Urgency {
    is_read: true,
    priority: 2,
};
const WRITE: Urgency = Urgency {
    is_read: false,
    priority: 2,
};
const URGENT_READ: Urgency = Urgency {
    is_read: true,
    priority: 1,
};

fn gate() -> Arc<Gate> {
    Gate::new(ConcurrencyLimit::new(1, 2))
}

fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[tokio::test(start_paused = true)]
async fn no_more_than_the_limit_run_and_waiting_ends_at_the_deadline() {
    let gate = gate();
    let first = gate.acquire(READ, far_deadline()).await;
    let second = gate.acquire(READ, far_deadline()).await;
    assert!(first.is_some() && second.is_some());
    assert!(gate.acquire(WRITE, Instant::now()).await.is_none());
    drop(first);
    assert!(gate.acquire(WRITE, Instant::now()).await.is_some());
}

#[tokio::test]
async fn waiting_statements_run_by_urgency_then_by_arrival() {
    let gate = gate();
    let held = [gate.acquire_immediately(), gate.acquire_immediately()];
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (name, urgency) in [
        ("read", READ),
        ("later read", READ),
        ("urgent read", URGENT_READ),
        ("write", WRITE),
    ] {
        let (gate, order) = (gate.clone(), order.clone());
        tasks.push(tokio::spawn(async move {
            let permit = gate.acquire(urgency, far_deadline()).await;
            order.lock().unwrap().push(name);
            drop(permit);
        }));
        // Each task waits before the next one is started.
        tokio::task::yield_now().await;
    }
    let [one, other] = held;
    drop(one);
    for task in tasks {
        task.await.unwrap();
    }
    drop(other);
    let order = order.lock().unwrap();
    assert_eq!(*order, ["write", "urgent read", "read", "later read"]);
}

/// A permit that is granted while its waiter is cancelled is not lost.
#[tokio::test]
async fn a_permit_of_a_cancelled_waiter_goes_to_the_next() {
    let gate = gate();
    let held = [gate.acquire_immediately(), gate.acquire_immediately()];
    let cancelled = tokio::spawn({
        let gate = gate.clone();
        async move { gate.acquire(WRITE, far_deadline()).await.is_some() }
    });
    tokio::task::yield_now().await;
    drop(held);
    cancelled.abort();
    // The task has finished or was cancelled; in neither case does it keep a permit.
    let _ = cancelled.await;
    assert!(gate.acquire(READ, far_deadline()).await.is_some());
    assert!(gate.acquire(READ, far_deadline()).await.is_some());
}
