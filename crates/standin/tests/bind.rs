//! Binding of addresses that another process occupies for a moment.

use std::time::Duration;

use standin::{node, server};

/// Guards against spurious bind failures: a process that another test spawns inherits the sockets of the search for
/// free addresses and holds them until it executes its own program.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_is_taken_for_a_moment_is_bound_all_the_same() {
    let addr = node::free_addrs(1).unwrap()[0];
    let inherited = std::net::TcpListener::bind(addr).unwrap();
    let binding = tokio::spawn(server::bind(addr));
    tokio::time::sleep(Duration::from_millis(30)).await;
    drop(inherited);
    binding.await.unwrap().unwrap();
}
