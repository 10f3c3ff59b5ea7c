//! Log shipping and elections of a group.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::engine::Engine;
use super::state::{GroupShared, InstanceState, LAG_PERIOD, LogEntry};

const IDLE_PERIOD: Duration = Duration::from_millis(50);
const ELECTION_TICK: Duration = Duration::from_millis(10);

/// Replicates the primary's log to one instance. Never returns.
pub async fn replicate(shared: Arc<GroupShared>, instance: usize) {
    let mut random = shared.random(instance as u64 + 1);
    let mut lag = shared.lag_of(instance).sample(&mut random);
    let mut profile = shared.lag_of(instance);
    let mut drawn_at = Instant::now();
    loop {
        let current_profile = shared.lag_of(instance);
        if drawn_at.elapsed() > LAG_PERIOD || current_profile != profile {
            profile = current_profile;
            lag = profile.sample(&mut random);
            drawn_at = Instant::now();
        }
        let changed = shared.log_changed.notified();
        copy_log(&shared, instance).await;
        let pause = match next_apply_time(&shared, instance, lag) {
            Some(due) if due <= Instant::now() => {
                apply_next_entry(&shared, instance).await;
                continue;
            }
            Some(due) => due
                .saturating_duration_since(Instant::now())
                .min(IDLE_PERIOD),
            None => IDLE_PERIOD,
        };
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

/// Copies the log of the reachable primary with the highest term.
async fn copy_log(shared: &GroupShared, instance: usize) {
    let dirty = {
        let mut instances = shared.instances();
        let Some(primary) = primary_for(&instances, instance) else {
            return;
        };
        let primary_term = instances[primary].current_term;
        let common = common_prefix(&instances[instance].log, &instances[primary].log);
        let missing = instances[primary].log[common..].to_vec();
        let own = &mut instances[instance];
        step_down(shared, instance, own, primary_term);
        own.log.truncate(common);
        own.log.extend(missing);
        if own.applied > common {
            own.applied = common;
            own.dirty = true;
        }
        own.dirty
    };
    if dirty {
        let engine = shared.engine(instance);
        let mut engine = engine.lock().await;
        rebuild_if_dirty(shared, instance, &mut engine);
    }
}

/// Adopts a newer term. A primary that steps down breaks its connections, so that no
/// transaction begun in its term can commit later.
fn step_down(shared: &GroupShared, instance: usize, own: &mut InstanceState, term: u64) {
    if own.is_primary {
        own.is_primary = false;
        shared.break_connections(instance);
    }
    own.current_term = own.current_term.max(term);
}

/// Replays the applied log into an empty database if the engine holds entries that
/// are not part of the group's log.
fn rebuild_if_dirty(shared: &GroupShared, instance: usize, engine: &mut Engine) {
    let entries = {
        let mut instances = shared.instances();
        let own = &mut instances[instance];
        if !own.dirty {
            return;
        }
        own.dirty = false;
        own.log[..own.applied].to_vec()
    };
    engine.reset(&shared.options.schema);
    for entry in &entries {
        engine.apply(&entry.statements);
    }
}

/// Returns the reachable primary with the highest term that the instance follows;
/// `None` if it is cut off or there is no such primary.
fn primary_for(instances: &[InstanceState], instance: usize) -> Option<usize> {
    let own = &instances[instance];
    if own.crashed || own.isolated {
        return None;
    }
    instances
        .iter()
        .enumerate()
        .filter(|(index, state)| {
            *index != instance && state.is_primary && !state.crashed && !state.isolated
        })
        .filter(|(_, state)| state.current_term >= own.current_term)
        .filter(|(_, state)| !own.is_primary || state.current_term > own.current_term)
        .max_by_key(|(_, state)| state.current_term)
        .map(|(index, _)| index)
}

/// Returns the length of the common prefix of two logs. By Raft's log matching
/// property, equal terms at an index mean equal logs up to that index.
fn common_prefix(own: &[LogEntry], primary: &[LogEntry]) -> usize {
    let mut length = own.len().min(primary.len());
    while length > 0 && own[length - 1].term != primary[length - 1].term {
        length -= 1;
    }
    length
}

fn next_apply_time(shared: &GroupShared, instance: usize, lag: Duration) -> Option<Instant> {
    let instances = shared.instances();
    let own = &instances[instance];
    if own.crashed || own.is_primary {
        return None;
    }
    own.log
        .get(own.applied)
        .map(|entry| entry.committed_at + lag)
}

async fn apply_next_entry(shared: &GroupShared, instance: usize) {
    let engine = shared.engine(instance);
    let mut engine = engine.lock().await;
    let entry = {
        let instances = shared.instances();
        let own = &instances[instance];
        if own.is_primary || own.dirty {
            return;
        }
        let Some(entry) = own.log.get(own.applied) else {
            return;
        };
        entry.clone()
    };
    engine.apply(&entry.statements);
    shared.instances()[instance].applied += 1;
}

/// Elects a new primary whenever a majority misses one. Never returns.
pub async fn run_elections(shared: Arc<GroupShared>) {
    let mut random = shared.random(0);
    let mut last_heard = vec![Instant::now(); shared.options.instances];
    loop {
        tokio::time::sleep(ELECTION_TICK).await;
        let candidate = {
            let instances = shared.instances();
            let now = Instant::now();
            for (instance, heard) in last_heard.iter_mut().enumerate() {
                if hears_primary(&instances, instance) {
                    *heard = now;
                }
            }
            find_candidate(&instances, &last_heard, shared.options.election_timeout)
        };
        if let Some((winner, term)) = candidate {
            let jitter = random.random_range(0..=ELECTION_TICK.as_millis() as u64);
            tokio::time::sleep(Duration::from_millis(jitter)).await;
            finish_election(&shared, winner, term).await;
            last_heard.fill(Instant::now());
        }
    }
}

fn hears_primary(instances: &[InstanceState], instance: usize) -> bool {
    let own = &instances[instance];
    let own_primary = own.is_primary && !own.crashed && !own.isolated;
    own_primary || primary_for(instances, instance).is_some()
}

/// Returns the instance with the most up-to-date log and the term to elect it in;
/// `None` unless a connected majority has heard no primary for the timeout.
fn find_candidate(
    instances: &[InstanceState],
    last_heard: &[Instant],
    timeout: Duration,
) -> Option<(usize, u64)> {
    let connected: Vec<usize> = instances
        .iter()
        .enumerate()
        .filter(|(_, state)| !state.crashed && !state.isolated)
        .map(|(instance, _)| instance)
        .collect();
    let is_majority = connected.len() > instances.len() / 2;
    let all_silent = connected
        .iter()
        .all(|instance| last_heard[*instance].elapsed() > timeout);
    if !is_majority || !all_silent {
        return None;
    }
    let winner = connected
        .iter()
        .copied()
        .max_by_key(|instance| instances[*instance].last_entry())?;
    let newest = connected
        .iter()
        .map(|instance| instances[*instance].current_term)
        .max()?;
    Some((winner, newest + 1))
}

/// Makes all connected instances promise the term, applies the rest of the winner's
/// log and makes the winner primary.
async fn finish_election(shared: &GroupShared, winner: usize, term: u64) {
    let engine = shared.engine(winner);
    let mut engine = engine.lock().await;
    rebuild_if_dirty(shared, winner, &mut engine);
    let pending = {
        let mut instances = shared.instances();
        for state in instances.iter_mut() {
            if !state.crashed && !state.isolated {
                state.current_term = state.current_term.max(term);
            }
        }
        let own = &mut instances[winner];
        let pending = own.log[own.applied..].to_vec();
        own.applied = own.log.len();
        pending
    };
    for entry in &pending {
        engine.apply(&entry.statements);
    }
    shared.become_primary(winner, term);
}
