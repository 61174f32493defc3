//! Addresses of a scenario.
//!
//! Every scenario has a loopback network of its own, so that each host has an IP address with fixed ports
//! and can be restarted at the same place.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Port of the platform.
const PLATFORM_PORT: u16 = 2379;
/// TCP port of each control.
const CONTROL_PORT: u16 = 7001;
/// UDP port of each control.
const GOSSIP_PORT: u16 = 7002;
/// Port of each entry.
const ENTRY_PORT: u16 = 8080;
/// Port of each backend server.
const BACKEND_PORT: u16 = 9000;

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// The network `127.x.y.0/24` of one scenario.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Takes a network that no other scenario of this process uses, nor most likely one of another.
    pub fn take() -> Self {
        let number = NETWORKS.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let [_, _, second, third] = (256 + number % 64_000).to_be_bytes();
        Self { second, third }
    }

    fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    /// The platform.
    pub fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), PLATFORM_PORT)
    }

    /// IP address of an entry host.
    pub fn host(self, index: u8) -> IpAddr {
        self.ip(10 + index)
    }

    /// TCP address of a control.
    pub fn control(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), CONTROL_PORT)
    }

    /// UDP address of a control.
    pub fn gossip(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), GOSSIP_PORT)
    }

    /// Where an entry takes callers.
    pub fn entry(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.host(index), ENTRY_PORT)
    }

    /// Address of a backend server.
    pub fn backend(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + index), BACKEND_PORT)
    }
}
