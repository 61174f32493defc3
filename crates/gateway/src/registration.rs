//! Lists this host in the store and takes the planning when nobody leads it.

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::State;
use crate::clock;
use crate::state::Stage;
use agatemill_adapter::host;
use agatemill_adapter::store::Creation;
use agatemill_core::number::Fence;
use agatemill_fleet::Member;
use agatemill_platform::Error;
use agatemill_platform::Lease;

/// How long this host stays listed without a renewal: callers are sent to a dead host for so long.
const LIFETIME: Duration = Duration::from_secs(3);

/// Pause between renewals: two may be lost before the lease ends.
const RENEWAL: Duration = Duration::from_millis(900);

/// Pause between looks for the first configuration.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(50);

/// How much longer each further host waits before it tries to lead, so that not all try at once.
const TURN: Duration = Duration::from_millis(150);

/// Time by which this host stops to lead before its lease can end, so that an order that is under way
/// arrives before the next planner's first.
const MARGIN: Duration = Duration::from_millis(300);

/// What this host holds in the store.
#[derive(Debug, Default)]
pub struct Registration {
    held: Mutex<Held>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    lease: Option<Lease>,
    /// Start of the last renewal that succeeded, on the clock that runs while the machine is suspended.
    renewed: Duration,
    is_listed: bool,
    fence: Option<Fence>,
}

impl Registration {
    /// The fencing number while this host leads the planning.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held();
        let is_valid = clock::boot_time() + MARGIN < held.renewed + LIFETIME;
        held.fence.filter(|_| is_valid && held.lease.is_some())
    }

    /// Gives the planning up, because an engine has seen a higher fencing number.
    pub fn step_down(&self, fence: Fence) {
        let mut held = self.lock();
        if held.fence == Some(fence) {
            held.fence = None;
            log::warn!(fence:%; "planner: fenced, steps down");
        }
    }

    /// Keeps this host listed until the process ends.
    pub async fn run(self: Arc<Self>, state: Arc<State>) {
        let name = format!("{}-{:08x}", state.settings().host, fastrand::u32(..));
        // Without a configuration there is nothing to list or to plan. Looking again with the next renewal only
        // would keep a host that has just started off the list for that long.
        while state.view().configuration.is_none() && state.stage() == Stage::Serving {
            agatemill_runtime::sleep(CONFIGURATION_PAUSE).await;
        }
        while state.stage() == Stage::Serving {
            if let Err(error) = self.renew(&state).await {
                log::warn!(error:%; "registration: not renewed");
                state.metrics.count_event("registration", "failed");
                if error == Error::LeaseLapsed {
                    *self.lock() = Held::default();
                    continue;
                }
            }
            state.view().expire(agatemill_runtime::now());
            if let Err(error) = self.lead(&state, &name).await {
                log::warn!(error:%; "planner: leadership not taken");
            }
            agatemill_runtime::sleep(RENEWAL).await;
        }
    }

    /// Takes this host off the list.
    pub async fn close(&self, state: &State) {
        let lease = core::mem::take(&mut *self.lock()).lease;
        if let Some(lease) = lease
            && let Err(error) = state.store.revoke(lease).await
        {
            // The lease ends by itself.
            log::warn!(error:%; "registration: lease not revoked");
        }
    }

    async fn renew(&self, state: &State) -> Result<(), Error> {
        let started = clock::boot_time();
        let held = self.held();
        let lease = if let Some(lease) = held.lease {
            state.store.renew(lease).await?;
            lease
        } else {
            state.store.grant(LIFETIME).await?
        };
        self.renewed(lease, started);
        if !held.is_listed {
            self.list(state, lease).await?;
        }
        Ok(())
    }

    fn renewed(&self, lease: Lease, started: Duration) {
        let mut held = self.lock();
        held.lease = Some(lease);
        held.renewed = started;
    }

    async fn list(&self, state: &State, lease: Lease) -> Result<(), Error> {
        let settings = state.settings();
        let member = Member {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.callers,
            exchange: settings.exchange,
        };
        let entry = host::encode(&member);
        state
            .store
            .put(&host::key(&member.host), &entry, lease)
            .await?;
        self.lock().is_listed = true;
        log::info!(lease:%; "registration: listed");
        Ok(())
    }

    /// Takes the planning when nobody leads it.
    async fn lead(&self, state: &State, name: &str) -> Result<(), Error> {
        let known = state.view().planner.clone();
        if let Some(planner) = known {
            // The answer to an earlier try may have been lost, or another host leads.
            let mine = planner.name == name;
            self.lock().fence = mine.then_some(Fence(planner.fence.0));
            return Ok(());
        }
        self.lock().fence = None;
        agatemill_runtime::sleep(TURN * rank(state)).await;
        let lease = self.held().lease.filter(|_| state.view().planner.is_none());
        let Some(lease) = lease else {
            return Ok(());
        };
        if let Creation::Created(revision) = state
            .store
            .create(host::PLANNER, name.as_bytes(), lease)
            .await?
        {
            self.lock().fence = Some(Fence(revision.0));
            log::info!(fence:% = revision; "planner: this host leads");
        }
        Ok(())
    }

    fn held(&self) -> Held {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Position of this host among those that serve.
fn rank(state: &State) -> u32 {
    let host = state.settings().host.clone();
    let view = state.view();
    let before = view.members.keys().filter(|other| **other < host).count();
    u32::try_from(before).unwrap_or(u32::MAX).min(10)
}
