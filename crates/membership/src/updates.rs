//! Queue of membership updates to disseminate.

use std::collections::BTreeMap;

use agatemill_core::id;

/// Hosts whose changed records are still to be disseminated.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    hosts: BTreeMap<id::Host, Progress>,
}

/// Dissemination progress of one host's update. The ordering is the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Progress {
    /// Whether only the profile, without the service, has changed.
    minor: bool,
    /// Number of times that the record was sent since its last change.
    sent: u32,
}

impl Updates {
    /// Queues a host whose state or service has changed, and resets its send count.
    pub fn add(&mut self, host: id::Host) {
        let progress = Progress {
            minor: false,
            sent: 0,
        };
        self.hosts.insert(host, progress);
    }

    /// Queues a host whose profile has changed in another part than the service, and resets its send count.
    ///
    /// These updates have the lowest priority: a new generation changes the profile of every member at once, and
    /// suspicions must not queue behind 1,000 such updates.
    pub fn add_minor(&mut self, host: id::Host) {
        let progress = self.hosts.entry(host).or_insert(Progress {
            minor: true,
            sent: 0,
        });
        progress.sent = 0;
    }

    /// Returns up to `limit` hosts in order of priority, then of fewest sends, and removes each after `copies` sends.
    /// With `None`, the send is not counted, because the receiver probably does not get the message.
    pub fn take(&mut self, limit: usize, copies: Option<u32>) -> Vec<id::Host> {
        let mut hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|(host, progress)| (*progress, host.clone()))
            .collect();
        hosts.sort_unstable();
        hosts.truncate(limit);
        for (progress, host) in &hosts {
            let Some(copies) = copies else {
                continue;
            };
            let sent = progress.sent + 1;
            if sent >= copies {
                self.hosts.remove(host);
            } else {
                self.hosts
                    .insert(host.clone(), Progress { sent, ..*progress });
            }
        }
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}
