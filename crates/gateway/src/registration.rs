//! Registers this host in the store and campaigns for the planner's leadership.

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::Settings;
use crate::State;
use crate::clock;
use crate::state::Stage;
use crate::view::Planner;
use agatemill_adapter::host;
use agatemill_adapter::store::Creation;
use agatemill_adapter::store::Lease;
use agatemill_core::number::Fence;
use agatemill_fleet::Member;
use agatemill_fleet::history::Cursor;
use agatemill_platform::Error;

/// TTL of the registration lease; callers are sent to a dead host for up to this time.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// Interval between lease renewals: two may be lost before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Polling interval while waiting for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Additional delay per host rank before a host campaigns, so that not all campaign at once.
const LEADERSHIP_STAGGER: Duration = Duration::from_millis(150);

/// Time before the expiry of its lease at which this host stops leading, so that an order in flight arrives
/// before the first order of the next planner.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Registration of this host in the store, and its planner leadership.
#[derive(Debug, Default)]
pub struct Registration {
    status: Mutex<Status>,
}

#[derive(Clone, Debug, Default)]
struct Status {
    lease: Option<Lease>,
    /// Start of the last successful renewal, on the clock that keeps running during suspend.
    renewed_at: Duration,
    is_listed: bool,
    fence: Option<Fence>,
    /// Leadership of a host that is not listed, and since when.
    orphan: Option<(Cursor, Duration)>,
    /// Fencing number that an engine has refused.
    refused: Option<Fence>,
}

impl Registration {
    /// Returns the fencing number if this host leads the planning, also in the latest known era of the store.
    #[must_use]
    pub fn fence(&self, state: &State) -> Option<Fence> {
        let status = self.status();
        let is_valid = clock::boot_time() + LEASE_MARGIN < status.renewed_at + LEASE_TTL;
        let era = state.store.era();
        let has_lease = status.lease.is_some_and(|lease| lease.era == era);
        status.fence.filter(|_| is_valid && has_lease)
    }

    /// Gives up leadership because an engine has seen a higher fencing number. Another leadership of this host begins with
    /// a higher one.
    pub fn step_down(&self, fence: Fence) {
        let mut status = self.lock();
        if status.fence == Some(fence) {
            status.fence = None;
            status.refused = Some(fence);
            log::warn!(fence:%; "planner: fenced, stepping down");
        }
    }

    /// Keeps this host registered until the process ends.
    pub async fn run(self: Arc<Self>, state: Arc<State>) {
        let name = format!("{}-{:08x}", state.settings().host, fastrand::u32(..));
        // Without a configuration there is nothing to register or plan. Checking only at the next renewal would
        // delay the registration of a host that has just started by that long.
        while state.view().configuration.is_none() && state.stage() == Stage::Serving {
            agatemill_runtime::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
        while state.stage() == Stage::Serving {
            if let Err(error) = self.renew(&state).await {
                log::warn!(error:%; "registration: cannot renew the registration");
                state.metrics.count_event("registration", "failed");
                if error == Error::LeaseExpired {
                    *self.lock() = Status::default();
                    continue;
                }
            }
            state.view().remove_expired(agatemill_runtime::now());
            if let Err(error) = self.campaign(&state, &name).await {
                log::warn!(error:%; "planner: cannot campaign for leadership");
            }
            agatemill_runtime::sleep(RENEW_INTERVAL).await;
        }
    }

    /// Revokes the lease, which removes this host's registration.
    pub async fn close(&self, state: &State) {
        let Some(lease) = core::mem::take(&mut *self.lock()).lease else {
            return;
        };
        let revoke = async {
            // After a restore the id may be that of another host's lease, which the renewal shows.
            state.store.renew(lease).await?;
            state.store.revoke(lease).await
        };
        if let Err(error) = revoke.await {
            // The lease expires by itself.
            log::warn!(error:%; "registration: cannot revoke the lease");
        }
    }

    async fn renew(&self, state: &State) -> Result<(), Error> {
        let started = clock::boot_time();
        let status = self.status();
        let lease = if let Some(lease) = status.lease {
            state.store.renew(lease).await?;
            lease
        } else {
            state.store.grant(LEASE_TTL).await?
        };
        self.record_renewal(lease, started);
        if !status.is_listed {
            self.publish(state, lease).await?;
        }
        Ok(())
    }

    fn record_renewal(&self, lease: Lease, started: Duration) {
        let mut status = self.lock();
        status.lease = Some(lease);
        status.renewed_at = started;
    }

    async fn publish(&self, state: &State, lease: Lease) -> Result<(), Error> {
        let member = member(&state.settings());
        let entry = host::encode(&member, lease.era);
        state
            .store
            .put(&host::key(&member.host), &entry, lease)
            .await?;
        self.lock().is_listed = true;
        log::info!(lease:%; "registration: host registered");
        Ok(())
    }

    /// Campaigns for leadership if there is no planner.
    async fn campaign(&self, state: &State, name: &str) -> Result<(), Error> {
        let (known, era) = {
            let view = state.view();
            (view.planner.clone(), view.era)
        };
        if era != state.store.era() {
            // The view shows the store before it was restored.
            self.lock().fence = None;
            return Ok(());
        }
        if let Some(planner) = known {
            if self.is_orphaned(state, &planner)
                && state.store.remove(host::PLANNER, planner.elected).await?
            {
                log::info!(elected:% = planner.elected; "planner: ended the leadership of a host that has ended");
                return Ok(());
            }
            // Another host leads, or an earlier campaign succeeded and its response was lost.
            let fence = planner.elected.fence();
            let status = self.status();
            let is_own = planner.name == name
                && Some(planner.lease) == status.lease
                && status.refused != Some(fence);
            self.lock().fence = is_own.then_some(fence);
            if is_own || planner.host().as_ref() != Some(&state.settings().host) {
                return Ok(());
            }
            // A former process of this host led, or this one with a lease that it lost or a refused fencing number. The
            // entry may last for seconds.
            if !state.store.remove(host::PLANNER, planner.elected).await? {
                return Ok(());
            }
            log::info!(elected:% = planner.elected; "planner: ended a former leadership of this host");
        } else {
            self.lock().fence = None;
            agatemill_runtime::sleep(LEADERSHIP_STAGGER * rank(state)).await;
            if state.view().planner.is_some() {
                return Ok(());
            }
        }
        let Some(lease) = self.status().lease else {
            return Ok(());
        };
        if let Creation::Created(elected) = state
            .store
            .create(host::PLANNER, name.as_bytes(), lease)
            .await?
        {
            self.lock().fence = Some(elected.fence());
            log::info!(elected:%; "planner: elected as leader");
        }
        Ok(())
    }

    /// Whether the leader's host has not been listed for longer than its lease can last. An entry that a restored store
    /// has from its copy may have lost its lease. Hosts remove it one after the other.
    fn is_orphaned(&self, state: &State, planner: &Planner) -> bool {
        let is_listed = {
            let view = state.view();
            let host = planner.host();
            host.is_some_and(|host| view.members.contains_key(&host))
        };
        let mut status = self.lock();
        if is_listed {
            status.orphan = None;
            return false;
        }
        let now = agatemill_runtime::now();
        let known = status
            .orphan
            .filter(|(elected, _)| *elected == planner.elected);
        let (_, since) = *status
            .orphan
            .insert(known.unwrap_or((planner.elected, now)));
        drop(status);
        now >= since + LEASE_TTL + LEADERSHIP_STAGGER * rank(state)
    }

    fn status(&self) -> Status {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The entry of this host.
fn member(settings: &Settings) -> Member {
    Member {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: settings.callers,
        exchange: settings.exchange,
        capacity: settings.capacity(),
    }
}

/// Rank of this host among the serving hosts by suitability for duties, at most 10.
#[must_use]
pub fn rank(state: &State) -> u32 {
    let own = member(&state.settings());
    let view = state.view();
    let others = view.members.values();
    let before = others.filter(|other| other.compare(&own).is_lt()).count();
    u32::try_from(before).unwrap_or(u32::MAX).min(10)
}
