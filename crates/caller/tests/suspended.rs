//! A request whose time passed while the machine was suspended is not sent.

mod bed;

use std::sync::Arc;
use std::time::Duration;

use caller::{Admission, Dispatch, Refused, Slot, Want};
use policy::{Grant, Kind, Notice};
use resources::{Name, Route};
use tokio::net::TcpListener;

/// Grants a slot after a suspension of the machine that is longer than any caller waits.
#[derive(Clone)]
struct Suspended(Grant);

struct Granted(Grant);

impl Slot for Granted {
    fn grant(&self) -> &Grant {
        &self.0
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn stalled(&mut self, _: Duration) {}

    fn answer_began(&mut self, _: Duration) {}

    fn noticed(&mut self, _: Notice) {}

    fn end(self, _: Kind, _: Duration) {}
}

impl Dispatch for Suspended {
    type Slot = Granted;

    fn unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, _: Want) -> Result<Granted, Refused> {
        clock::simulate_suspension(Duration::from_secs(60));
        Ok(Granted(self.0.clone()))
    }
}

#[tokio::test]
async fn what_waited_through_a_suspension_is_refused_and_not_sent() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = bed::grant(endpoint.local_addr().unwrap());
    let answer = tokio::select! {
        it = bed::request(Suspended(grant)) => it,
        _ = endpoint.accept() => panic!("it is sent after its time"),
    };
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}
