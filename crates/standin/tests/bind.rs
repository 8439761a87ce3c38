//! The stand-ins' addresses on a busy machine.

use std::time::Duration;

use standin::{lab, server};

/// A process that another test starts inherits, until it runs its own program, the socket with which
/// this test has just found out that an address is free.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_is_taken_for_a_moment_is_bound_all_the_same() {
    let addr = lab::free_addrs(1).unwrap()[0];
    let inherited = std::net::TcpListener::bind(addr).unwrap();
    let binding = tokio::spawn(server::bind(addr));
    tokio::time::sleep(Duration::from_millis(30)).await;
    drop(inherited);
    binding.await.unwrap().unwrap();
}
