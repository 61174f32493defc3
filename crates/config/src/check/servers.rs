//! Names and addresses of backend servers.

use core::net::SocketAddr;

use crate::check::seen::Seen;
use crate::path::Path;
use crate::source::Source;
use agatemill_core::id;

/// Names and addresses of all backend servers so far. Engines and servers of services share one space of
/// names, because logs and orders name a backend server alone.
pub(crate) struct Places<'a> {
    source: &'a Source<'a>,
    names: Seen<'a, &'a id::Server>,
    addresses: Seen<'a, SocketAddr>,
}

impl<'a> Places<'a> {
    pub(crate) fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            names: Seen::new(source),
            addresses: Seen::new(source),
        }
    }

    /// Checks the name and address of the backend server at `path`.
    pub(crate) fn check(&mut self, path: &Path<'_>, name: &'a id::Server, address: SocketAddr) {
        self.names.unique(&path.key("name"), name, name);
        let path = path.key("address");
        self.addresses.unique(&path, address, address);
        if address.port() == 0 {
            let expected = "a port from 1 to 65535";
            self.source.fault(&path, address, expected);
        }
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            let expected = "the address of one host";
            self.source.fault(&path, address, expected);
        }
    }
}
