//! Links between the entry's zone and the zones of the engines.

use core::time::Duration;
use std::collections::HashMap;

use agatemill_config::Document;
use agatemill_core::id;
use agatemill_core::quantity::Size;

/// Latency and bandwidth from the entry's zone to each other zone.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Links by the zone at their other end.
    links: HashMap<id::Zone, Link>,
    /// One-way latency to a zone without an entry in `links`.
    default: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    latency: Duration,
    bandwidth: Size,
}

impl Links {
    /// Collects the links from and to `zone` in a document.
    #[must_use]
    pub fn new(document: &Document, zone: &id::Zone) -> Self {
        let mut links = HashMap::new();
        for entry in &document.links {
            let link = Link {
                latency: entry.latency.to_duration(),
                bandwidth: entry.bandwidth,
            };
            if entry.from == *zone {
                links.insert(entry.to.clone(), link);
            } else if entry.to == *zone {
                links.insert(entry.from.clone(), link);
            }
        }
        Self {
            links,
            default: document.settings.link_latency.to_duration(),
        }
    }

    /// Time to send an activation of `size` to an engine in `zone` and receive one of the same size.
    #[must_use]
    pub fn round_trip(&self, zone: &id::Zone, size: Size) -> Duration {
        let Some(link) = self.links.get(zone) else {
            return 2 * self.default;
        };
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
        let transfer = 2.0 * size.0 as f64 / (link.bandwidth.0.max(1) as f64);
        2 * link.latency + Duration::try_from_secs_f64(transfer).unwrap_or(Duration::MAX)
    }
}
