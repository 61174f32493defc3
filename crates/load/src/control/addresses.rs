//! Loopback addresses of a measurement.

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::net::SocketAddr;

const PLATFORM_PORT: u16 = 2379;
const CONTROL_PORT: u16 = 7001;
const GOSSIP_PORT: u16 = 7002;
const ENTRY_PORT: u16 = 8080;
const ENGINE_PORT: u16 = 9000;

/// Number of hosts in one `/24` subnet.
const HOSTS_PER_SUBNET: usize = 200;

/// Loopback addresses `127.x.y.z` of one measurement, with `x` derived from the process id.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second_octet: u8,
}

impl Addresses {
    /// Allocates addresses that are unlikely to collide with those of another measurement on this machine.
    #[must_use]
    pub fn allocate() -> Self {
        let [.., low] = std::process::id().to_be_bytes();
        Self {
            second_octet: 100 + low % 100,
        }
    }

    fn ip(self, index: usize) -> IpAddr {
        let third = u8::try_from(index / HOSTS_PER_SUBNET).unwrap_or(u8::MAX);
        let last = u8::try_from(index % HOSTS_PER_SUBNET).unwrap_or(0);
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, 10 + third, 10 + last))
    }

    /// Address of the platform.
    #[must_use]
    pub fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(0), PLATFORM_PORT)
    }

    /// TCP address of a control process.
    #[must_use]
    pub fn control(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), CONTROL_PORT)
    }

    /// UDP address of a control process.
    #[must_use]
    pub fn gossip(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), GOSSIP_PORT)
    }

    /// Address of an entry.
    #[must_use]
    pub fn entry(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), ENTRY_PORT)
    }

    /// Address of a fake engine.
    #[must_use]
    pub fn engine(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), ENGINE_PORT)
    }
}
