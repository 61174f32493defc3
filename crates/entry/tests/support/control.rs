//! Fake control process with the interface that an entry uses.

#![allow(dead_code, reason = "each test target uses a part of this module")]

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;

use async_compat::CompatExt;
use futures::StreamExt;
use smol::Task;
use smol::net::TcpListener;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;

use agatemill_config::Envelope;
use agatemill_wire::Directory;
use agatemill_wire::Instruction;
use agatemill_wire::Report;
use agatemill_wire::local;
use agatemill_wire::local::Local as _;
use agatemill_wire::transport;

#[derive(Debug, Default)]
pub struct State {
    pub envelope: Option<Envelope>,
    pub instruction: Instruction,
    pub directory: Directory,
    pub reports: Vec<Report>,
}

#[derive(Clone)]
struct Local(Arc<Mutex<State>>);

/// Dropping it closes the listener and all connections.
pub struct Control {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    _accept: Task<()>,
}

impl Control {
    pub fn listen(address: SocketAddr, state: Arc<Mutex<State>>) -> Self {
        let listener = smol::block_on(TcpListener::bind(address)).unwrap();
        let address = listener.local_addr().unwrap();
        let accept = accept(listener, Local(Arc::clone(&state)));
        Self {
            address,
            state,
            _accept: agatemill_runtime::spawn(accept),
        }
    }
}

async fn accept(listener: TcpListener, local: Local) {
    let mut connections = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let local = local.clone();
        connections.push(agatemill_runtime::spawn(async move {
            transport::accept(&mut stream).await.unwrap();
            let channel = BaseChannel::with_defaults(transport::frame(stream));
            let requests = channel.execute(local.serve());
            requests
                .for_each_concurrent(None, |request| request)
                .compat()
                .await;
        }));
    }
}

impl local::Local for Local {
    async fn follow(self, _: Context, known: u64, _: Duration) -> Option<agatemill_wire::Envelope> {
        agatemill_runtime::sleep(Duration::from_millis(20)).await;
        let state = self.0.lock().unwrap();
        let envelope = state.envelope.as_ref()?;
        // Also offers lower generations, because the entry has to refuse them itself.
        (envelope.generation.0 != known).then(|| envelope.into())
    }

    async fn report(self, _: Context, report: Report) -> Instruction {
        let mut state = self.0.lock().unwrap();
        state.reports.push(report);
        state.instruction
    }

    async fn directory(self, _: Context) -> Directory {
        self.0.lock().unwrap().directory.clone()
    }
}
