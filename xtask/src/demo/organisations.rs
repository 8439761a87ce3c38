//! Demonstrates API keys and the allowances of organisations, which hold over the whole fleet.

use std::net::SocketAddr;
use std::time::Duration;

use resources::Resource;
use standin::client;
use standin::node::Node;
use standin::platform::KeyedOrganisation;
use tokio::time::{Instant, sleep};

/// Header with the API key of an organisation without a limit.
pub(super) const VALID_KEY: (&str, &str) = ("x-api-key", "key-of-tours");
/// API key of the organisation with a limit, the bakery.
const LIMITED_KEY: &str = "key-of-bakery";
/// Requests per second that the bakery may make.
const RATE: f64 = 20.0;
/// Burst of requests that the bakery may make beyond the rate.
const BURST: f64 = 10.0;
/// Number of requests that the bakery makes.
const REQUESTS: usize = 300;
/// Pause between requests of the bakery.
const PAUSE: Duration = Duration::from_millis(8);
/// Limit for the configuration with keys to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the buckets fill.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(2);

/// Publishes organisations with keys and sends requests with valid, invalid and missing keys.
pub(super) async fn demonstrate(
    platform: SocketAddr,
    resources: &[Resource],
    nodes: &[Node],
) -> anyhow::Result<()> {
    println!("\nTwo organisations with keys; the bakery may make {RATE} requests a second:");
    let keyed = |name: &str, key: &str, rate_per_s, burst| KeyedOrganisation {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        rate_per_s,
        burst,
    };
    let organisations =
        [keyed("tours", VALID_KEY.1, 0.0, 0.0), keyed("bakery", LIMITED_KEY, RATE, BURST)];
    let body = serde_json::to_vec(&(resources, organisations))?;
    client::call(platform, "PUT", "/_standin/publish-keyed", body).await?;
    wait_for_organisations(nodes).await?;
    sleep(BUCKET_FILL_TIME).await;
    for (description, headers) in
        [("without a key", vec![]), ("with an unknown key", vec![("x-api-key", "?")])]
    {
        let got = client::get_with(nodes[0].addrs.traffic, "/slots/today", &headers).await?;
        println!("  a caller {description} gets {}", got.status);
    }
    let since = Instant::now();
    let (mut served, mut refused, mut unlimited_served) = (0, 0, 0);
    let mut retry_after = String::new();
    for i in 0..REQUESTS {
        let node = nodes[i % nodes.len()].addrs.traffic;
        let got = client::get_with(node, "/slots/today", &[("x-api-key", LIMITED_KEY)]).await?;
        match got.status.as_u16() {
            200 => served += 1,
            429 => refused += 1,
            _ => {}
        }
        if got.status.as_u16() == 429 {
            retry_after = got.header("retry-after").to_owned();
        }
        let got = client::get_with(node, "/slots/today", &[VALID_KEY]).await?;
        unlimited_served += u32::from(got.status.is_success());
        sleep(PAUSE).await;
    }
    let seconds = since.elapsed().as_secs_f64();
    println!(
        "  the bakery sent {REQUESTS} requests over all nodes in {seconds:.1} s: {served} answered, \
        {refused} refused with 429, the last with retry-after {retry_after} s"
    );
    println!("  the unlimited organisation meanwhile: {unlimited_served} of {REQUESTS} answered");
    anyhow::ensure!(
        refused > 0 && unlimited_served as usize == REQUESTS,
        "the allowance was not enforced correctly"
    );
    Ok(())
}

async fn wait_for_organisations(nodes: &[Node]) -> anyhow::Result<()> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    for it in nodes {
        while it.report().await?["organisations"].as_array().is_none_or(Vec::is_empty) {
            anyhow::ensure!(Instant::now() < deadline, "the organisations are not in force");
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
