//! Choice of engine chains and backend servers.
