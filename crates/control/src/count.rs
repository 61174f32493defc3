//! Counting of the members that have a generation in force.
//!
//! The control that an operator calls queries one member of each zone, which queries each member of its zone. The
//! queries use datagrams, because a TCP connection to a rarely queried member would first have to be set up.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::channel::Receiver;
use smol::channel::Sender;

use crate::gossip;
use crate::placement;
use crate::shared::Shared;
use agatemill_core::id;
use agatemill_membership::Member;
use agatemill_wire::Count;
use agatemill_wire::datagram::Kind;

/// Members of a zone that are tried in turn to count the zone.
const MAX_COUNTERS_PER_ZONE: usize = 2;

/// Attempts to query a member that does not respond.
const ATTEMPTS_PER_MEMBER: usize = 2;

/// Timeout of one attempt to query the members.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the count of a zone; covers all attempts and the round trip to the counter.
const ZONE_TIMEOUT: Duration = Duration::from_millis(500);

/// Responses queued for one query; further ones are dropped.
const MAX_QUEUED_RESPONSES: usize = 256;

/// Queries that wait for responses, by sequence number.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    pending: Mutex<BTreeMap<u64, Sender<Response>>>,
}

/// Response of another member.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) from: id::Host,
    pub(crate) kind: Kind,
}

/// A pending query; dropping it removes it from [`Queries`].
struct Query<'a> {
    queries: &'a Queries,
    /// Sequence number that matches responses to the query.
    sequence: u64,
    responses: Receiver<Response>,
}

impl Queries {
    fn open(&self) -> Query<'_> {
        let (sender, responses) = smol::channel::bounded(MAX_QUEUED_RESPONSES);
        let sequence = fastrand::u64(..);
        self.lock().insert(sequence, sender);
        Query {
            queries: self,
            sequence,
            responses,
        }
    }

    /// Delivers a response to its query; drops it if the query has ended.
    pub(crate) fn deliver(&self, sequence: u64, response: Response) {
        if let Some(sender) = self.lock().get(&sequence) {
            let _ = sender.try_send(response);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Sender<Response>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Query<'_> {
    /// Returns the next response, or `None` if none arrives before `end`.
    async fn next(&self, end: Duration) -> Option<Response> {
        let left = end.saturating_sub(agatemill_runtime::now());
        let response = agatemill_runtime::timeout(left, self.responses.recv()).await;
        response?.ok()
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.queries.lock().remove(&self.sequence);
    }
}

/// Counts the members of all zones.
pub(crate) async fn all_zones(shared: &Arc<Shared>, generation: u64) -> Count {
    let mut zones = BTreeMap::<id::Zone, Vec<Member>>::new();
    for member in present(shared) {
        let zone = member.profile.zone.clone();
        zones.entry(zone).or_default().push(member);
    }
    let counts = zones
        .into_values()
        .map(|members| count_zone(shared, generation, members));
    let counts = futures::future::join_all(counts).await;
    let none = Count::of(generation, core::iter::empty());
    counts.into_iter().fold(none, Count::join)
}

/// Counts the members of this host's zone.
pub(crate) async fn own_zone(shared: &Shared, generation: u64) -> Count {
    let mut members = present(shared);
    members.retain(|member| member.profile.zone == shared.settings.zone);
    let own = shared.in_force(agatemill_runtime::now()).0;
    let mut reported = BTreeMap::from([(shared.settings.host.clone(), own)]);
    let query = shared.queries.open();
    for _ in 0..ATTEMPTS_PER_MEMBER {
        let missing = |member: &&Member| !reported.contains_key(&member.host);
        for member in members.iter().filter(missing) {
            let address = member.profile.gossip;
            gossip::send_kind(shared, address, Kind::Ask, query.sequence).await;
        }
        let end = agatemill_runtime::now() + MEMBER_TIMEOUT;
        while reported.len() < members.len() {
            let Some(response) = query.next(end).await else {
                break;
            };
            if let Kind::Held { generation } = response.kind {
                reported.insert(response.from, generation);
            }
        }
    }
    let generations = members.into_iter().map(|member| {
        let generation = reported.get(&member.host).copied();
        (member.host, generation)
    });
    Count::of(generation, generations)
}

/// Obtains the count of a zone from one of its members, trying several in turn. Members that only this host knows
/// count as not responding; if no counter responds, all members of the zone count as not responding.
async fn count_zone(shared: &Arc<Shared>, generation: u64, members: Vec<Member>) -> Count {
    let member_count = u32::try_from(members.len()).unwrap_or(u32::MAX);
    for counter in placement::ranked(&members)
        .into_iter()
        .take(MAX_COUNTERS_PER_ZONE)
    {
        let count = if counter.host == shared.settings.host {
            Some(own_zone(shared, generation).await)
        } else {
            query_zone(shared, generation, counter).await
        };
        if let Some(mut count) = count {
            count.members = count.members.max(member_count);
            return count;
        }
    }
    let unanswered = members.into_iter().map(|member| (member.host, None));
    Count::of(generation, unanswered)
}

async fn query_zone(shared: &Shared, generation: u64, counter: &Member) -> Option<Count> {
    let query = shared.queries.open();
    let kind = Kind::Count { generation };
    gossip::send_kind(shared, counter.profile.gossip, kind, query.sequence).await;
    let end = agatemill_runtime::now() + ZONE_TIMEOUT;
    match query.next(end).await?.kind {
        Kind::Counted(count) => Some(count),
        _ => None,
    }
}

fn present(shared: &Shared) -> Vec<Member> {
    let machine = shared.machine();
    let present = machine.members().filter(|member| member.state.is_present());
    present.cloned().collect()
}
