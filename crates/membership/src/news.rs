//! Updates that are still to be spread.

use std::collections::BTreeMap;

use agatemill_core::id;

/// Hosts whose records have changed, with the number of times that each record was sent since.
#[derive(Clone, Debug, Default)]
pub struct News {
    sent: BTreeMap<id::Host, u32>,
}

impl News {
    /// Adds a host whose record has changed; its count starts anew.
    pub fn add(&mut self, host: id::Host) {
        self.sent.insert(host, 0);
    }

    /// Takes up to `limit` hosts, those sent least first, and drops each after `copies` times. `None` is
    /// for a receiver that probably does not get the message, which is not counted.
    pub fn take(&mut self, limit: usize, copies: Option<u32>) -> Vec<id::Host> {
        let mut hosts: Vec<_> = self
            .sent
            .iter()
            .map(|(host, sent)| (*sent, host.clone()))
            .collect();
        hosts.sort_unstable();
        hosts.truncate(limit);
        for (sent, host) in &hosts {
            let Some(copies) = copies else {
                continue;
            };
            if sent + 1 >= copies {
                self.sent.remove(host);
            } else {
                self.sent.insert(host.clone(), sent + 1);
            }
        }
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}
