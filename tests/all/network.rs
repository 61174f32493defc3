//! Addresses of the processes of a scenario.
//!
//! Every scenario has its own loopback network. Each host has an IP address with fixed ports, and a restarted process
//! listens on the same address as before.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Port of the platform's key-value store.
const PLATFORM_PORT: u16 = 2379;
/// TCP port of each control process.
const CONTROL_PORT: u16 = 7001;
/// UDP port of each control process, for gossip.
const GOSSIP_PORT: u16 = 7002;
/// Port of each entry process, for callers.
const ENTRY_PORT: u16 = 8080;
/// Port of each backend server.
const BACKEND_PORT: u16 = 9000;

/// Number of networks that this process has allocated.
static ALLOCATED_NETWORKS: AtomicU32 = AtomicU32::new(0);

/// The network `127.x.y.0/24` of one scenario.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// Allocates a network that no other scenario of this process uses. The process id makes a collision with a
    /// scenario of another process unlikely.
    pub fn allocate() -> Self {
        let number = ALLOCATED_NETWORKS.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let [_, _, second_octet, third_octet] = (256 + number % 64_000).to_be_bytes();
        Self {
            second_octet,
            third_octet,
        }
    }

    fn ip(self, last_octet: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet,
            last_octet,
        ))
    }

    /// Address of the platform's key-value store.
    pub fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), PLATFORM_PORT)
    }

    /// IP address of an entry host.
    pub fn host(self, index: u8) -> IpAddr {
        self.ip(10 + index)
    }

    /// TCP address of a control process.
    pub fn control(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), CONTROL_PORT)
    }

    /// UDP address of a control process, for gossip.
    pub fn gossip(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), GOSSIP_PORT)
    }

    /// Address of an entry process, for callers.
    pub fn entry(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), ENTRY_PORT)
    }

    /// Address of a backend server.
    pub fn backend(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + index), BACKEND_PORT)
    }
}
