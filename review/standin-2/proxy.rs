//! A link to the store that can be cut: its connections are closed, and new ones are refused.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval between looks for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Clone)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let proxy = Self {
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let served = proxy.clone();
        thread::spawn(move || {
            loop {
                if served.is_cut.load(Ordering::SeqCst) {
                    thread::sleep(POLL_INTERVAL);
                } else if let Ok(listener) = TcpListener::bind(address) {
                    served.accept(&listener, target);
                }
            }
        });
        proxy
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        listener.set_nonblocking(true).unwrap();
        while !self.is_cut.load(Ordering::SeqCst) {
            let Ok((near, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let _ = near.set_nonblocking(false);
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            self.open
                .lock()
                .unwrap()
                .extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
            pass(near.try_clone().unwrap(), far.try_clone().unwrap());
            pass(far, near);
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}
