//! A request whose deadline passed while the VM was suspended is not sent.

mod common;

use std::sync::Arc;
use std::time::Duration;

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, SlotRequest};
use policy::Grant;
use resources::{Name, Route};
use tokio::io::DuplexStream;
use tokio::net::TcpListener;

/// Grants a slot after a simulated suspension of the VM that is longer than any deadline.
#[derive(Clone)]
struct SuspendingDispatch(Grant);

impl Dispatch for SuspendingDispatch {
    type Slot = common::Slots;
    type Detour = DuplexStream;

    async fn open_detour(&self, _: DetourRequest) -> Result<DuplexStream, NoDetour> {
        Err(NoDetour::NoNode)
    }

    fn record_unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn record_refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, _: SlotRequest) -> Result<common::Slots, Refused> {
        clock::simulate_suspension(Duration::from_secs(60));
        Ok(common::Slots(self.0.clone()))
    }
}

#[tokio::test]
async fn a_request_that_waited_through_a_suspension_is_refused_and_not_sent() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = common::grant(endpoint.local_addr().unwrap());
    let answer = tokio::select! {
        it = common::request(SuspendingDispatch(grant)) => it,
        _ = endpoint.accept() => panic!("the request was sent after its deadline"),
    };
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}
