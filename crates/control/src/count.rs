//! Counting the members that have a generation in force.
//!
//! The asked control asks one member of each zone, which asks each member of its zone. Datagrams are used,
//! because each question to a member that is rarely asked would cost a connection set-up over TCP.

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

/// Members of a zone that are asked to count it, one after the other.
const COUNTERS: usize = 2;

/// How often a member that does not answer is asked.
const ATTEMPTS: usize = 2;

/// How long a member may take to answer.
const MEMBER_LIMIT: Duration = Duration::from_millis(150);

/// How long the count of a zone may take: all attempts, and the way there and back.
const ZONE_LIMIT: Duration = Duration::from_millis(500);

/// Answers that may wait for a question; more are dropped.
const MAX_WAITING: usize = 256;

/// Questions that wait for answers.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    open: Mutex<BTreeMap<u64, Sender<Answer>>>,
}

/// An answer of another member.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) from: id::Host,
    pub(crate) kind: Kind,
}

/// A question that waits for answers until it is dropped.
struct Question<'a> {
    questions: &'a Questions,
    /// Number by which answers are matched.
    sequence: u64,
    answers: Receiver<Answer>,
}

impl Questions {
    fn ask(&self) -> Question<'_> {
        let (sender, answers) = smol::channel::bounded(MAX_WAITING);
        let sequence = fastrand::u64(..);
        self.lock().insert(sequence, sender);
        Question {
            questions: self,
            sequence,
            answers,
        }
    }

    /// Takes an answer; one to no open question is dropped.
    pub(crate) fn answer(&self, sequence: u64, answer: Answer) {
        if let Some(sender) = self.lock().get(&sequence) {
            let _ = sender.try_send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Sender<Answer>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Question<'_> {
    /// The next answer, unless none arrives before `end`.
    async fn next(&self, end: Duration) -> Option<Answer> {
        let left = end.saturating_sub(agatemill_runtime::now());
        let answer = agatemill_runtime::timeout(left, self.answers.recv()).await;
        answer?.ok()
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.questions.lock().remove(&self.sequence);
    }
}

/// Counts the members of all zones.
pub(crate) async fn everywhere(shared: &Arc<Shared>, generation: u64) -> Count {
    let mut zones = BTreeMap::<id::Zone, Vec<Member>>::new();
    for member in present(shared) {
        let zone = member.profile.zone.clone();
        zones.entry(zone).or_default().push(member);
    }
    let counts = zones
        .into_values()
        .map(|members| zone(shared, generation, members));
    let counts = futures::future::join_all(counts).await;
    let none = Count::of(generation, core::iter::empty());
    counts.into_iter().fold(none, Count::join)
}

/// Counts the members of this host's zone.
pub(crate) async fn own_zone(shared: &Shared, generation: u64) -> Count {
    let mut members = present(shared);
    members.retain(|member| member.profile.zone == shared.settings.zone);
    let own = shared.in_force(agatemill_runtime::now()).0;
    let mut held = BTreeMap::from([(shared.settings.host.clone(), own)]);
    let question = shared.questions.ask();
    for _ in 0..ATTEMPTS {
        let missing = |member: &&Member| !held.contains_key(&member.host);
        for member in members.iter().filter(missing) {
            let address = member.profile.gossip;
            gossip::send_kind(shared, address, Kind::Ask, question.sequence).await;
        }
        let end = agatemill_runtime::now() + MEMBER_LIMIT;
        while held.len() < members.len() {
            let Some(answer) = question.next(end).await else {
                break;
            };
            if let Kind::Held { generation } = answer.kind {
                held.insert(answer.from, generation);
            }
        }
    }
    let found = members.into_iter().map(|member| {
        let generation = held.get(&member.host).copied();
        (member.host, generation)
    });
    Count::of(generation, found)
}

/// Has one member of a zone count it. Members that only this host knows count as not having answered, as
/// do all when nobody of the zone answers.
async fn zone(shared: &Arc<Shared>, generation: u64, members: Vec<Member>) -> Count {
    let known = u32::try_from(members.len()).unwrap_or(u32::MAX);
    for counter in placement::ranked(&members).into_iter().take(COUNTERS) {
        let found = if counter.host == shared.settings.host {
            Some(own_zone(shared, generation).await)
        } else {
            ask_zone(shared, generation, counter).await
        };
        if let Some(mut count) = found {
            count.members = count.members.max(known);
            return count;
        }
    }
    let unanswered = members.into_iter().map(|member| (member.host, None));
    Count::of(generation, unanswered)
}

async fn ask_zone(shared: &Shared, generation: u64, counter: &Member) -> Option<Count> {
    let question = shared.questions.ask();
    let kind = Kind::Count { generation };
    gossip::send_kind(shared, counter.profile.gossip, kind, question.sequence).await;
    let end = agatemill_runtime::now() + ZONE_LIMIT;
    match question.next(end).await?.kind {
        Kind::Counted(count) => Some(count),
        _ => None,
    }
}

fn present(shared: &Shared) -> Vec<Member> {
    let machine = shared.machine();
    let present = machine.members().filter(|member| member.state.is_present());
    present.cloned().collect()
}
