//! Tests of the decisions about connections, without a network.

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::time::Duration;

use agatemill_gateway::purpose::Purpose;
use agatemill_gateway::table::Id;
use agatemill_gateway::table::Phase;
use agatemill_gateway::table::Room;
use agatemill_gateway::table::Table;

/// An address of a caller.
fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens a connection for which there is room, and sets its phase.
fn open(table: &mut Table, number: u8, phase: Phase, ms: u64) -> Id {
    let id = table.open(address(number), at(ms));
    assert_eq!(table.make_room(id), Room::Free);
    table.set_phase(id, phase, at(ms));
    id
}

/// Guards against a full table that closes a connection on which a request arrives rather than an idle one.
#[test]
fn idle_connections_are_closed_first_and_the_oldest_of_them() {
    let mut table = Table::new(4);
    let slow = open(&mut table, 1, Phase::Head, 0);
    let newer = open(&mut table, 2, Phase::Idle, 20);
    let older = open(&mut table, 3, Phase::Idle, 10);
    open(&mut table, 4, Phase::Busy, 5);
    for (number, victim) in [(5, older), (6, newer), (7, slow)] {
        let id = table.open(address(number), at(30));
        table.set_phase(id, Phase::Busy, at(30));
        assert_eq!(table.make_room(id), Room::Close(victim));
        assert_eq!(
            table.make_room(id),
            Room::Wait,
            "one connection makes room for one"
        );
        table.remove(victim);
        assert_eq!(table.make_room(id), Room::Free);
    }
}

/// Guards against heads that are never completed and outlast those that have just begun.
#[test]
fn the_head_that_is_incomplete_for_longest_is_closed_first() {
    let mut table = Table::new(2);
    let first = open(&mut table, 1, Phase::Head, 0);
    let second = open(&mut table, 2, Phase::Head, 1);
    table.set_phase(first, Phase::Busy, at(2));
    table.set_phase(first, Phase::Idle, at(3));
    table.set_phase(first, Phase::Head, at(4));
    let id = table.open(address(3), at(5));
    assert_eq!(table.make_room(id), Room::Close(second));
}

/// Guards against requests that are cut off to make room.
#[test]
fn connections_with_requests_are_never_closed() {
    let mut table = Table::new(2);
    let busy = open(&mut table, 1, Phase::Busy, 0);
    open(&mut table, 2, Phase::Busy, 0);
    let id = table.open(address(3), at(1));
    assert_eq!(table.make_room(id), Room::Wait);
    table.remove(busy);
    assert_eq!(table.make_room(id), Room::Free);
}

/// Guards against a request that arrives while its connection is chosen to be closed, and gets no response.
#[test]
fn a_request_that_begins_keeps_its_connection() {
    let mut table = Table::new(2);
    let idle = open(&mut table, 1, Phase::Idle, 0);
    open(&mut table, 2, Phase::Busy, 0);
    let id = table.open(address(3), at(1));
    assert_eq!(table.make_room(id), Room::Close(idle));
    assert!(table.is_closing(idle));
    table.set_phase(idle, Phase::Busy, at(2));
    assert!(!table.is_closing(idle));
    assert_eq!(table.make_room(id), Room::Wait);
}

/// Guards against one address that takes all connections, and closes those of others to get them.
#[test]
fn an_address_takes_half_of_the_table() {
    let mut table = Table::new(8);
    let own = open(&mut table, 1, Phase::Idle, 10);
    open(&mut table, 2, Phase::Idle, 0);
    for ms in 11..14 {
        open(&mut table, 1, Phase::Busy, ms);
    }
    let id = table.open(address(1), at(20));
    assert_eq!(table.make_room(id), Room::Close(own));
    table.set_phase(own, Phase::Busy, at(21));
    assert_eq!(table.make_room(id), Room::Refuse);
    table.remove(id);
    open(&mut table, 3, Phase::Idle, 22);
}

/// Guards against counts that drift as connections come and go: a table that believes that it is full closes or refuses
/// connections for ever.
#[test]
fn an_emptied_table_has_room_again() {
    let mut table = Table::new(10);
    let mut random = fastrand::Rng::with_seed(7);
    let mut ids: Vec<Id> = Vec::new();
    for ms in 0..20_000 {
        let number = random.u8(0..4);
        match random.u8(0..4) {
            0 => {
                let id = table.open(address(number), at(ms));
                match table.make_room(id) {
                    Room::Free => ids.push(id),
                    Room::Close(victim) => {
                        assert!(table.is_closing(victim));
                        assert_ne!(victim, id);
                        table.remove(id);
                    }
                    Room::Wait | Room::Refuse => table.remove(id),
                }
            }
            1 if !ids.is_empty() => {
                let id = ids.swap_remove(random.usize(0..ids.len()));
                table.remove(id);
                table.remove(id);
            }
            _ => {
                if let Some(id) = random.choice(&ids) {
                    let phase = random.choice([Phase::Idle, Phase::Head, Phase::Busy]);
                    table.set_phase(*id, phase.unwrap(), at(ms));
                }
            }
        }
        assert!(table.len() <= 10);
    }
    for id in ids {
        table.remove(id);
    }
    assert!(table.is_empty());
    for number in 0..10 {
        open(&mut table, number, Phase::Idle, 30_000);
    }
}

/// Guards against shares that exceed the descriptors of the process together, or leave a purpose without any.
#[test]
fn the_shares_fit_into_the_descriptors() {
    for descriptors in [64, 100, 400, 1_024, 4_100, 1 << 20] {
        let shares = Purpose::ALL.map(|purpose| purpose.share(descriptors));
        let sum: usize = shares.iter().sum();
        let rest = usize::try_from(descriptors).unwrap() - sum;
        assert!(rest >= 15, "{descriptors}: {shares:?}");
        assert!(shares.iter().all(|share| *share >= 2));
        assert!(descriptors < 1_000 || rest >= 200, "{descriptors}: {rest}");
    }
    assert_eq!(Purpose::Callers.share(4_100), 1_248);
}
