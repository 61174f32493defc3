//! Exhaustive test of [`Configuration`] over all interleavings, up to a length, of two hosts, operators and
//! faults of the platform.

use agatemill_config::Envelope;
use agatemill_control::configuration::Configuration;
use agatemill_core::number::Generation;

/// Number of events in each interleaving; 5 take 17 s in a debug build, and each further one multiplies that by 12.
const DEPTH: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator writes the next generation; a lost response has no effect on this state.
    Apply,
    /// The platform reverts to its previous value.
    Rollback,
    /// A host reads from the platform. The response is pending, as for a paused host, until `Deliver`.
    Read(usize),
    Deliver(usize),
    /// A host pushes its current configuration to the other.
    Push(usize),
    /// A host writes its configuration back if it is newer than that of the platform.
    WriteBack(usize),
    /// A host restarts without state.
    Restart(usize),
}

const EVENTS: [Event; 12] = [
    Event::Apply,
    Event::Rollback,
    Event::Read(0),
    Event::Read(1),
    Event::Deliver(0),
    Event::Deliver(1),
    Event::Push(0),
    Event::Push(1),
    Event::WriteBack(0),
    Event::WriteBack(1),
    Event::Restart(0),
    Event::Restart(1),
];

#[derive(Default)]
struct Host {
    configuration: Configuration,
    response: Option<Envelope>,
}

impl Host {
    fn generation(&self) -> Generation {
        self.configuration.generation()
    }
}

struct Model {
    platform: Envelope,
    previous: Envelope,
    hosts: [Host; 2],
    writes: u64,
}

impl Model {
    fn new() -> Self {
        let first = envelope(1, 0);
        let hosts = <[Host; 2]>::default();
        for host in &hosts {
            host.configuration.offer(first.clone());
        }
        Self {
            platform: first.clone(),
            previous: first,
            hosts,
            writes: 0,
        }
    }

    /// Applies an event; returns false if it is not possible or has no effect.
    fn run(&mut self, event: Event) -> bool {
        match event {
            Event::Apply => {
                let cluster = self.hosts.iter().map(Host::generation).max();
                let next = self
                    .platform
                    .generation
                    .max(cluster.unwrap_or_default())
                    .next();
                self.writes += 1;
                self.write(envelope(next.0, self.writes));
            }
            Event::Rollback => {
                // A document that no host has received cannot be recovered if the platform loses it.
                let has_received = |host: &Host| host.generation() >= self.platform.generation;
                if self.previous == self.platform || !self.hosts.iter().any(has_received) {
                    return false;
                }
                self.platform = self.previous.clone();
            }
            Event::Read(index) => self.hosts[index].response = Some(self.platform.clone()),
            Event::Deliver(index) => {
                let Some(response) = self.hosts[index].response.take() else {
                    return false;
                };
                self.hosts[index].configuration.offer(response);
            }
            Event::Push(index) => {
                let Some(current) = self.hosts[index].configuration.envelope() else {
                    return false;
                };
                self.hosts[1 - index].configuration.offer(current);
            }
            Event::WriteBack(index) => {
                let current = self.hosts[index].configuration.envelope();
                let Some(current) =
                    current.filter(|current| current.generation > self.platform.generation)
                else {
                    return false;
                };
                self.write(current);
            }
            Event::Restart(index) => {
                // A generation that only this host holds cannot survive its restart.
                if self.hosts[1 - index].generation() < self.hosts[index].generation() {
                    return false;
                }
                self.hosts[index] = Host::default();
            }
        }
        true
    }

    fn write(&mut self, envelope: Envelope) {
        self.previous = core::mem::replace(&mut self.platform, envelope);
    }

    /// Runs the remaining events without faults.
    fn converge(&mut self) {
        for index in [0, 1] {
            for event in [
                Event::Deliver(index),
                Event::Read(index),
                Event::Deliver(index),
            ] {
                self.run(event);
            }
        }
        for event in [Event::Push(0), Event::Push(1), Event::WriteBack(0)] {
            self.run(event);
        }
    }
}

fn envelope(generation: u64, write: u64) -> Envelope {
    let text = format!("# {write}\nhalves = [\"kadunaledger\"]\n");
    Envelope::new(Generation(generation), "write".into(), "ada".into(), text)
}

/// Guards against a host whose generation decreases, against two documents of one generation, and against hosts
/// that differ after the faults have ended.
#[test]
fn generations_never_decrease_and_hosts_converge() {
    let mut runs = 0_u64;
    for mut code in 0..EVENTS.len().pow(u32::try_from(DEPTH).expect("small")) {
        let mut model = Model::new();
        let mut trace = Vec::new();
        let mut possible = true;
        for _ in 0..DEPTH {
            let event = EVENTS[code % EVENTS.len()];
            code /= EVENTS.len();
            let before = model.hosts.each_ref().map(Host::generation);
            trace.push(event);
            possible = model.run(event);
            if !possible {
                break;
            }
            for (index, before) in before.into_iter().enumerate() {
                let restarted = matches!(event, Event::Restart(other) if other == index);
                let after = model.hosts[index].generation();
                assert!(
                    restarted || after >= before,
                    "generation of host {index} decreased: {trace:?}"
                );
            }
        }
        if !possible {
            continue;
        }
        runs += 1;
        let newest = model.hosts.iter().map(Host::generation).max();
        let newest = newest.max(Some(model.platform.generation));
        model.converge();
        let envelopes = model
            .hosts
            .each_ref()
            .map(|host| host.configuration.envelope());
        assert_eq!(envelopes[0], envelopes[1], "{trace:?}");
        assert_eq!(envelopes[0].as_ref(), Some(&model.platform), "{trace:?}");
        assert_eq!(Some(model.platform.generation), newest, "{trace:?}");
    }
    assert!(runs > 10_000, "only {runs} interleavings were possible");
}
