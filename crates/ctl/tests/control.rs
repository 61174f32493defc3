//! Calls to a control over a socket. Guards against a client whose dispatch task never runs, and against a command that
//! hangs when the control is unreachable.

use assert_matches::assert_matches;
use async_compat::CompatExt;
use futures::StreamExt;
use smol::net::TcpListener;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;

use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_ctl::Error;
use agatemill_ctl::control::Control;
use agatemill_wire::Count;
use agatemill_wire::Overview;
use agatemill_wire::operator::Operator;
use agatemill_wire::transport;

#[derive(Clone)]
struct Server;

impl Operator for Server {
    async fn overview(self, _: Context) -> Overview {
        Overview {
            host: "h1".parse().unwrap(),
            environment: "trial".parse().unwrap(),
            generation: 5,
            digest: String::new(),
            confirmed_ms: Some(7),
            planner: true,
            members: Vec::new(),
        }
    }

    async fn count(self, _: Context, generation: u64) -> Count {
        Count::of(generation, core::iter::empty())
    }

    async fn drain(self, _: Context, host: id::Host) -> bool {
        host.as_str() == "h1"
    }
}

async fn serve(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let service = transport::accept(&mut stream).await.unwrap();
    assert_eq!(service, transport::Service::Operator);
    let channel = BaseChannel::with_defaults(transport::frame(stream));
    let requests = channel.execute(Server.serve());
    requests.for_each(|request| request).await;
}

#[test]
fn a_control_responds_and_an_unreachable_one_is_an_error() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = agatemill_runtime::spawn(serve(listener).compat());
        let control = Control::connect(address).await.unwrap();
        assert_eq!(control.overview().await.unwrap().generation, 5);
        assert_eq!(control.count(Generation(6)).await.unwrap().generation, 6);
        assert!(control.drain("h1".parse().unwrap()).await.unwrap());
        assert!(!control.drain("h2".parse().unwrap()).await.unwrap());
        server.cancel().await;
        assert_matches!(control.overview().await, Err(Error::Control { .. }));
        assert_matches!(Control::connect(address).await, Err(Error::Control { .. }));
    });
}
