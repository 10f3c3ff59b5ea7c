//! A back end connection in use by a session, with its slot.

use std::sync::Arc;

use linkhold_core::classify::Access;
use linkhold_core::group_view::{ConfirmedPrimary, GroupView, InstanceIndex, ProbeTag};
use linkhold_core::outcome::NotRun;
use linkhold_core::position::{Position, Term};
use linkhold_core::routing::ReadScope;
use tokio::time::Instant;

use super::state::{Freshness, SessionState};
use crate::backend::PooledConnection;
use crate::group::{GroupHandle, InstanceHandle, SlotPermit};
use crate::settings::ReadPolicy;

/// How long the pinning baseline sends reads to the primary after a write.
const PIN_DURATION: std::time::Duration = std::time::Duration::from_secs(2);

/// Longest wait for the primary's own answer once a read falls back to it.
const PRIMARY_ANSWER_WAIT: std::time::Duration = std::time::Duration::from_millis(100);

/// A connection and slot held for one request or transaction.
pub struct Lease {
    /// The database.
    pub group: Arc<GroupHandle>,
    /// The instance.
    pub instance: InstanceIndex,
    /// Term the instance was confirmed primary in; `None` for a read lease.
    pub term: Option<Term>,
    /// Lowest position that reads on this lease reflect.
    pub required: Position,
    /// Whether the instance was the primary when chosen.
    pub on_primary: bool,
    /// Request key that the open transaction records, if any.
    pub request_key: Option<String>,
    /// Whether the connection must be closed when the lease ends: a cancel request
    /// may still be in transit to it, or its state is unknown.
    pub must_close: bool,
    connection: PooledConnection,
    _slot: SlotPermit,
}

impl Lease {
    /// The connection.
    pub fn connection(&mut self) -> &mut PooledConnection {
        &mut self.connection
    }

    /// Ends the lease after a ReadyForQuery in idle state and returns the
    /// connection to its pool, if it may be used again.
    pub fn finish(self) {
        if !self.must_close && self.group.accepts_work(self.instance) {
            self.connection.return_to_pool();
        }
    }

    /// Ends the lease and closes the connection.
    pub fn close(self) {}
}

/// Finds leases for a session's requests.
pub struct LeaseFinder<'a> {
    /// The database.
    pub group: &'a Arc<GroupHandle>,
    /// The session.
    pub state: &'a SessionState,
    /// How reads are routed.
    pub policy: ReadPolicy,
}

impl LeaseFinder<'_> {
    /// Returns a lease on the confirmed primary. Waits up to the row's write
    /// wait; when it fails, no byte has been sent.
    pub async fn for_write(&self) -> Result<Lease, NotRun> {
        self.lease_on_primary(ProbeTag::default()).await
    }

    /// Returns a lease on a primary confirmed after this call, for a transaction
    /// whose reads must reflect every acknowledged write.
    pub async fn for_transaction(&self) -> Result<Lease, NotRun> {
        self.lease_on_primary(self.group.current_tag()).await
    }

    async fn lease_on_primary(&self, confirmed_after: ProbeTag) -> Result<Lease, NotRun> {
        let deadline = Instant::now() + self.group.row.load().write_wait;
        let mut since = confirmed_after;
        loop {
            let found = self
                .group
                .wait_for_primary(since, deadline, |view| {
                    self.primary_confirmed_after(view, confirmed_after)
                })
                .await;
            let primary = found.ok_or(NotRun::NoPrimary)?;
            let instance = &self.group.instances[primary.instance];
            let slot = instance.acquire(Access::Write, deadline).await?;
            let still_primary = self.group.usable_primary(&self.group.view()) == Some(primary);
            if !still_primary {
                continue;
            }
            match self.connect(primary.instance, instance, slot).await {
                Ok(mut lease) => {
                    lease.term = Some(primary.term);
                    lease.on_primary = true;
                    return Ok(lease);
                }
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => {
                    since = self.group.current_tag();
                    self.group.suspect(primary.instance).await;
                }
            }
        }
    }

    fn primary_confirmed_after(
        &self,
        view: &GroupView,
        after: ProbeTag,
    ) -> Option<ConfirmedPrimary> {
        let primary = self.group.usable_primary(view)?;
        let followers = (0..view.instances())
            .filter_map(|instance| view.answer(instance))
            .filter(|answer| answer.tag > after || after == ProbeTag::default())
            .filter(|answer| answer.status.current_term == primary.term)
            .count();
        let answered = view
            .answer(primary.instance)
            .is_some_and(|answer| answer.tag > after);
        (answered && followers >= view.majority()).then_some(primary)
    }

    /// Returns a lease on an instance fresh enough for a read of this session.
    /// Falls back to the primary if the instance chosen is `avoid`.
    pub async fn for_read(&self, avoid: Option<InstanceIndex>) -> Result<Lease, NotRun> {
        match self.policy {
            ReadPolicy::Fence => self.fresh_read(avoid).await,
            ReadPolicy::PrimaryOnly => self.unchecked_read(ReadScope::Primary).await,
            ReadPolicy::PinAfterWrite => {
                let pinned = self
                    .state
                    .last_write
                    .is_some_and(|written| written.elapsed() < PIN_DURATION);
                let scope = if pinned {
                    ReadScope::Primary
                } else {
                    ReadScope::Replicas
                };
                self.unchecked_read(scope).await
            }
        }
    }

    /// Returns a lease for a read of the baselines, which do not check freshness.
    async fn unchecked_read(&self, scope: ReadScope) -> Result<Lease, NotRun> {
        let row = self.group.row.load_full();
        let deadline = Instant::now() + row.read_wait.max(row.write_wait);
        let since = self.group.current_tag();
        let choose = |view: &GroupView| self.group.choose(view, Position::default(), scope);
        let instance = self.group.wait_for(since, deadline, choose).await;
        let instance = instance.ok_or(NotRun::NoFreshInstance)?;
        self.admit_read(instance, Position::default(), deadline)
            .await
    }

    async fn fresh_read(&self, avoid: Option<InstanceIndex>) -> Result<Lease, NotRun> {
        let since = self.group.current_tag();
        let deadline = Instant::now() + self.group.row.load().read_wait;
        let choose = |view: &GroupView| {
            let required = self.required(view, since)?;
            match self.group.choose(view, required, ReadScope::Replicas) {
                Some(instance) if Some(instance) != avoid => Some(Some((instance, required))),
                Some(_) => Some(None),
                // Do not wait if no replica could serve even once caught up.
                None if !self.group.has_usable_replica(view) => Some(None),
                None => None,
            }
        };
        let found = self.group.wait_for(since, deadline, choose).await;
        if let Some(Some((instance, required))) = found {
            match self.admit_read(instance, required, deadline).await {
                Ok(lease) => return Ok(lease),
                Err(NotRun::BackendUnavailable) => self.group.suspect(instance).await,
                Err(refusal) => return self.primary_read(since).await.map_err(|_| refusal),
            }
        }
        self.primary_read(since).await
    }

    /// Returns a lease on the primary as the fallback, within the slots that reads
    /// may use there.
    async fn primary_read(&self, since: ProbeTag) -> Result<Lease, NotRun> {
        let view = self.group.view();
        if self.required(&view, since).is_none() {
            return Err(NotRun::NoMajority);
        }
        if self.group.usable_primary(&view).is_none() {
            return Err(NotRun::NoFreshInstance);
        }
        let deadline = Instant::now() + PRIMARY_ANSWER_WAIT;
        let choose = |view: &GroupView| {
            let required = self.required(view, since)?;
            let instance = self.group.choose(view, required, ReadScope::Primary)?;
            Some((instance, required))
        };
        let found = self.group.wait_for(since, deadline, choose).await;
        let (instance, required) = found.ok_or(NotRun::NoFreshInstance)?;
        let slot = self.group.instances[instance]
            .try_acquire(Access::Read)
            .ok_or(NotRun::Overloaded)?;
        let mut lease = self
            .connect(instance, &self.group.instances[instance], slot)
            .await?;
        lease.required = required;
        lease.on_primary = true;
        Ok(lease)
    }

    /// Position that a read must reflect; `None` while the fence is not known.
    fn required(&self, view: &GroupView, since: ProbeTag) -> Option<Position> {
        match self.state.freshness {
            Freshness::Token => Some(self.state.floor),
            Freshness::Fence => Some(view.fence(since)?.max(self.state.floor)),
        }
    }

    async fn admit_read(
        &self,
        instance: InstanceIndex,
        required: Position,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        let handle = &self.group.instances[instance];
        let slot = handle.acquire(Access::Read, deadline).await?;
        let mut lease = self.connect(instance, handle, slot).await?;
        lease.required = required;
        lease.on_primary = self
            .group
            .view()
            .primary()
            .is_some_and(|primary| primary.instance == instance);
        Ok(lease)
    }

    async fn connect(
        &self,
        instance: InstanceIndex,
        handle: &Arc<InstanceHandle>,
        slot: SlotPermit,
    ) -> Result<Lease, NotRun> {
        let unavailable = |_| NotRun::BackendUnavailable;
        let mut connection = handle.pool.take().await.map_err(unavailable)?;
        connection
            .apply_settings(&self.state.settings)
            .await
            .map_err(unavailable)?;
        Ok(Lease {
            group: self.group.clone(),
            instance,
            term: None,
            required: self.state.floor,
            on_primary: false,
            request_key: None,
            must_close: false,
            connection,
            _slot: slot,
        })
    }
}
