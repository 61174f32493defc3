//! All interleavings, up to a length, of two hosts, operators and faults of the platform, on the decisions of
//! [`Configuration`].

use agatemill_config::Envelope;
use agatemill_control::configuration::Configuration;
use agatemill_core::number::Generation;

/// Events of each interleaving; 5 take 17 s in a debug build, and each further one twelve times as long.
const DEPTH: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator writes the next generation; whether the answer is lost changes nothing of this state.
    Apply,
    /// The platform goes back to the value before.
    Rollback,
    /// A host asks the platform. The answer waits, as for a paused host, until `Take`.
    Ask(usize),
    Take(usize),
    /// A host gives what it holds to the other.
    Push(usize),
    /// A host compares and writes the newer configuration back.
    WriteBack(usize),
    /// A host starts again without state.
    Restart(usize),
}

const EVENTS: [Event; 12] = [
    Event::Apply,
    Event::Rollback,
    Event::Ask(0),
    Event::Ask(1),
    Event::Take(0),
    Event::Take(1),
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
    answer: Option<Envelope>,
}

impl Host {
    fn generation(&self) -> Generation {
        self.configuration.generation()
    }
}

struct World {
    platform: Envelope,
    previous: Envelope,
    hosts: [Host; 2],
    writes: u64,
}

impl World {
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

    /// Carries out an event; false when it cannot happen or changes nothing.
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
                // A document that no host has taken is lost with the platform's write.
                let held = |host: &Host| host.generation() >= self.platform.generation;
                if self.previous == self.platform || !self.hosts.iter().any(held) {
                    return false;
                }
                self.platform = self.previous.clone();
            }
            Event::Ask(index) => self.hosts[index].answer = Some(self.platform.clone()),
            Event::Take(index) => {
                let Some(answer) = self.hosts[index].answer.take() else {
                    return false;
                };
                self.hosts[index].configuration.offer(answer);
            }
            Event::Push(index) => {
                let Some(held) = self.hosts[index].configuration.envelope() else {
                    return false;
                };
                self.hosts[1 - index].configuration.offer(held);
            }
            Event::WriteBack(index) => {
                let held = self.hosts[index].configuration.envelope();
                let Some(held) = held.filter(|held| held.generation > self.platform.generation)
                else {
                    return false;
                };
                self.write(held);
            }
            Event::Restart(index) => {
                // Nothing can keep a generation that only this host held.
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

    /// The rest of the run without faults.
    fn settle(&mut self) {
        for index in [0, 1] {
            for event in [Event::Take(index), Event::Ask(index), Event::Take(index)] {
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

/// Guards against a host that goes back, against two documents of one generation, and against hosts that
/// do not agree after the faults.
#[test]
fn hosts_never_go_back_and_agree_in_the_end() {
    let mut runs = 0_u64;
    for mut code in 0..EVENTS.len().pow(u32::try_from(DEPTH).expect("small")) {
        let mut world = World::new();
        let mut trace = Vec::new();
        let mut possible = true;
        for _ in 0..DEPTH {
            let event = EVENTS[code % EVENTS.len()];
            code /= EVENTS.len();
            let before = world.hosts.each_ref().map(Host::generation);
            trace.push(event);
            possible = world.run(event);
            if !possible {
                break;
            }
            for (index, before) in before.into_iter().enumerate() {
                let restarted = matches!(event, Event::Restart(other) if other == index);
                let after = world.hosts[index].generation();
                assert!(
                    restarted || after >= before,
                    "host {index} went back: {trace:?}"
                );
            }
        }
        if !possible {
            continue;
        }
        runs += 1;
        let newest = world.hosts.iter().map(Host::generation).max();
        let newest = newest.max(Some(world.platform.generation));
        world.settle();
        let held = world
            .hosts
            .each_ref()
            .map(|host| host.configuration.envelope());
        assert_eq!(held[0], held[1], "{trace:?}");
        assert_eq!(held[0].as_ref(), Some(&world.platform), "{trace:?}");
        assert_eq!(Some(world.platform.generation), newest, "{trace:?}");
    }
    assert!(runs > 10_000, "only {runs} interleavings were possible");
}
