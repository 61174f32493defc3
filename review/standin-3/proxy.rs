//! A proxy before a server, whose open connections can go silent.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time after which a closed proxy has closed its port.
const CLOSE_TIME: Duration = Duration::from_millis(60);

pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    is_closed: AtomicBool,
    /// Connections that were opened in an earlier generation are silent.
    generation: AtomicU64,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            while !accepting.is_closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => drop(connect(stream, server, &accepting)),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { address, shared })
    }

    /// Closes the port; open connections stay.
    pub fn close(&self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
        thread::sleep(CLOSE_TIME);
    }

    /// Lets the open connections go silent for good.
    pub fn mute(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn connect(caller: TcpStream, server: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    caller.set_nonblocking(false)?;
    let server = TcpStream::connect(server)?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let generation = shared.generation.load(Ordering::SeqCst);
    for (from, to) in [(caller.try_clone()?, server.try_clone()?), (server, caller)] {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            let is_silent = || shared.generation.load(Ordering::SeqCst) != generation;
            // An error ends the connection.
            let _ = relay(&from, &to, is_silent);
            while is_silent() {
                thread::sleep(Duration::from_secs(1));
            }
            let _ = to.shutdown(Shutdown::Write);
        });
    }
    Ok(())
}

fn relay(mut from: &TcpStream, mut to: &TcpStream, is_silent: impl Fn() -> bool) -> io::Result<()> {
    let mut bytes = [0; 4_096];
    loop {
        let count = from.read(&mut bytes)?;
        if count == 0 || is_silent() {
            return Ok(());
        }
        to.write_all(&bytes[..count])?;
    }
}
