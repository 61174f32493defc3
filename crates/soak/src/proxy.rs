//! A loopback proxy that delays, stalls or resets its connections.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::io::ReadHalf;
use futures::io::WriteHalf;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Interval at which an idle or stalled connection polls the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Forwards each chunk of bytes after a delay.
    Delay(Duration),
    /// Closes all connections, and new ones on accept.
    Reset,
    /// Holds back all bytes and forwards them later, like packets that are retransmitted.
    Stall,
    /// Holds back the bytes to the server.
    StallRequests,
    /// Holds back the bytes from the server.
    StallResponses,
}

/// A loopback proxy that delays, stalls or resets its connections. Clones share the mode.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Listening address.
    pub address: SocketAddrV4,
    mode: Arc<Mutex<Mode>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

impl Proxy {
    /// Starts a proxy in front of `server`.
    #[must_use]
    pub fn start(server: SocketAddrV4) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = match listener.local_addr().expect("a bound port") {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(_) => unreachable!("the loopback address is IPv4"),
        };
        let listener = TcpListener::try_from(listener).expect("a listener");
        let proxy = Self {
            address,
            mode: Arc::default(),
        };
        let shared = proxy.clone();
        let accept = async move {
            while let Ok((caller, _)) = listener.accept().await {
                let proxy = shared.clone();
                agatemill_runtime::spawn(async move { proxy.relay(caller, server).await }).detach();
            }
        };
        agatemill_runtime::spawn(accept).detach();
        proxy
    }

    /// Changes the mode of all connections.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn relay(&self, caller: TcpStream, server: SocketAddrV4) {
        if self.mode() == Mode::Reset {
            return;
        }
        // If the server is unreachable, the caller sees its connection close immediately.
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let requests = self.copy(from_caller, to_server, Direction::Requests);
        let responses = self.copy(from_server, to_caller, Direction::Responses);
        smol::future::or(requests, responses).await;
    }

    async fn copy(
        &self,
        mut from: ReadHalf<TcpStream>,
        mut to: WriteHalf<TcpStream>,
        direction: Direction,
    ) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = agatemill_runtime::timeout(POLL_INTERVAL, from.read(&mut buffer)).await;
            if self.mode() == Mode::Reset {
                return;
            }
            let length = match read {
                None => continue,
                Some(Ok(length)) if length > 0 => length,
                Some(_) => return,
            };
            if !self.wait_to_forward(direction).await
                || to.write_all(&buffer[..length]).await.is_err()
            {
                return;
            }
        }
    }

    /// Waits until the mode lets bytes pass; returns false if the connection must be closed.
    async fn wait_to_forward(&self, direction: Direction) -> bool {
        loop {
            match self.mode() {
                Mode::Reset => return false,
                Mode::Delay(delay) => {
                    agatemill_runtime::sleep(delay).await;
                    return true;
                }
                Mode::Stall => {}
                Mode::StallRequests if direction == Direction::Requests => {}
                Mode::StallResponses if direction == Direction::Responses => {}
                Mode::Pass | Mode::StallRequests | Mode::StallResponses => return true,
            }
            agatemill_runtime::sleep(POLL_INTERVAL).await;
        }
    }
}
