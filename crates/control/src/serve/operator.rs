//! RPC service for `agatemillctl`.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use tarpc::context::Context;

use crate::count;
use crate::record;
use crate::remote;
use crate::shared::Shared;
use crate::spread;
use agatemill_core::id;
use agatemill_wire::Count;
use agatemill_wire::Overview;
use agatemill_wire::operator;

/// RPC service for `agatemillctl`.
#[derive(Clone)]
pub(crate) struct Operator {
    pub(crate) shared: Arc<Shared>,
}

impl operator::Operator for Operator {
    async fn overview(self, _: Context) -> Overview {
        let shared = &self.shared;
        let current = shared.configuration.envelope();
        let age = shared
            .configuration
            .confirmation_age(agatemill_runtime::now());
        Overview {
            host: shared.settings.host.clone(),
            environment: shared.settings.environment.clone(),
            generation: current.as_ref().map_or(0, |envelope| envelope.generation.0),
            digest: current.map_or_else(String::new, |envelope| envelope.digest.to_string()),
            confirmed_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            planner: shared.planner.load(Ordering::Relaxed),
            members: record::to_wire(shared.machine().members()),
        }
    }

    async fn count(self, _: Context, generation: u64) -> Count {
        count::all_zones(&self.shared, generation).await
    }

    async fn drain(self, context: Context, host: id::Host) -> bool {
        if host == self.shared.settings.host {
            log::info!("members: an operator requested a drain of this host");
            self.shared.drain.store(true, Ordering::Relaxed);
            return true;
        }
        let Some(address) = spread::control_address(&self.shared, &host) else {
            return false;
        };
        let limit = self.shared.settings.timings.call_timeout.to_duration();
        match remote::operator(address, limit).await {
            Ok(client) => client.drain(context, host).await.unwrap_or(false),
            Err(error) => {
                log::warn!(host:%, error:%; "members: cannot forward a drain request");
                false
            }
        }
    }
}
