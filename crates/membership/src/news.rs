//! Updates that are still to be spread.

use std::collections::BTreeMap;

use agatemill_core::id;

/// Hosts whose records have changed.
#[derive(Clone, Debug, Default)]
pub struct News {
    hosts: BTreeMap<id::Host, Progress>,
}

/// How far the news of one host has spread. The order is that in which news are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Progress {
    /// Whether only the description has changed.
    minor: bool,
    /// How often the record was sent since its last change.
    sent: u32,
}

impl News {
    /// Adds a host whose state or service has changed; its count starts anew.
    pub fn add(&mut self, host: id::Host) {
        let progress = Progress {
            minor: false,
            sent: 0,
        };
        self.hosts.insert(host, progress);
    }

    /// Adds a host of which only the description has changed; its count starts anew. These news wait for
    /// all others: a new generation changes the description of every member at once, and suspicions must
    /// not wait behind 1,000 of them.
    pub fn add_minor(&mut self, host: id::Host) {
        let progress = self.hosts.entry(host).or_insert(Progress {
            minor: true,
            sent: 0,
        });
        progress.sent = 0;
    }

    /// Takes up to `limit` hosts, those sent least first, and drops each after `copies` times. `None` is
    /// for a receiver that probably does not get the message, which is not counted.
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
