//! Checks of the names and addresses of backend servers.

use core::net::SocketAddr;

use crate::check::uniqueness::Uniqueness;
use crate::path::Path;
use crate::source::Source;
use agatemill_core::id;

/// Names and addresses of the backend servers checked so far. Engines and servers of services share one
/// namespace, because logs and orders identify a backend server by its name alone.
pub(crate) struct Servers<'a> {
    source: &'a Source<'a>,
    names: Uniqueness<'a, &'a id::Server>,
    addresses: Uniqueness<'a, SocketAddr>,
}

impl<'a> Servers<'a> {
    pub(crate) fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            names: Uniqueness::new(source),
            addresses: Uniqueness::new(source),
        }
    }

    /// Checks the name and address of the backend server at `path`.
    pub(crate) fn check(&mut self, path: &Path<'_>, name: &'a id::Server, address: SocketAddr) {
        self.names.check(&path.key("name"), name, name);
        let path = path.key("address");
        self.addresses.check(&path, address, address);
        if address.port() == 0 {
            let expected = "a port from 1 to 65535";
            self.source.report(&path, address, expected);
        }
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            let expected = "the address of one host";
            self.source.report(&path, address, expected);
        }
    }
}
