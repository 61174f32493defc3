//! A loopback proxy whose connections can be disturbed.

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

/// How often a connection that carries nothing looks whether it is to be reset.
const LOOK: Duration = Duration::from_millis(20);

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It passes everything on.
    #[default]
    Pass,
    /// It passes everything on after a time.
    Delay(Duration),
    /// It closes all connections, and new ones at once.
    Reset,
    /// It passes nothing on for now; what waits arrives afterwards, as with packets that are sent again.
    Silent,
    /// It passes nothing on towards the server for now.
    NoRequests,
    /// It passes nothing on from the server for now.
    NoAnswers,
}

/// A loopback proxy whose connections can be disturbed. Clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddrV4,
    mode: Arc<Mutex<Mode>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl Proxy {
    /// Opens a proxy of `server`.
    #[must_use]
    pub fn open(server: SocketAddrV4) -> Self {
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
                agatemill_runtime::spawn(async move { proxy.join(caller, server).await }).detach();
            }
        };
        agatemill_runtime::spawn(accept).detach();
        proxy
    }

    /// Changes what happens to all connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn join(&self, caller: TcpStream, server: SocketAddrV4) {
        if self.mode() == Mode::Reset {
            return;
        }
        // A server that is gone looks to the caller like a connection that is closed at once.
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let requests = self.pump(from_caller, to_server, Direction::Requests);
        let answers = self.pump(from_server, to_caller, Direction::Answers);
        smol::future::or(requests, answers).await;
    }

    async fn pump(
        &self,
        mut from: ReadHalf<TcpStream>,
        mut to: WriteHalf<TcpStream>,
        direction: Direction,
    ) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = agatemill_runtime::timeout(LOOK, from.read(&mut buffer)).await;
            if self.mode() == Mode::Reset {
                return;
            }
            let length = match read {
                None => continue,
                Some(Ok(length)) if length > 0 => length,
                Some(_) => return,
            };
            if !self.hold(direction).await || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until bytes may pass; false when the connection is to be closed.
    async fn hold(&self, direction: Direction) -> bool {
        loop {
            match self.mode() {
                Mode::Reset => return false,
                Mode::Delay(delay) => {
                    agatemill_runtime::sleep(delay).await;
                    return true;
                }
                Mode::Silent => {}
                Mode::NoRequests if direction == Direction::Requests => {}
                Mode::NoAnswers if direction == Direction::Answers => {}
                Mode::Pass | Mode::NoRequests | Mode::NoAnswers => return true,
            }
            agatemill_runtime::sleep(LOOK).await;
        }
    }
}
