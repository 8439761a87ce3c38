use std::net::SocketAddr;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use tokio::sync::watch;

use crate::{Access, Denied, Token};

const LOCAL: &str = "127.0.0.1:9";
const REMOTE: &str = "10.0.0.1:9";

fn check(token: Option<&str>, sent: Option<&str>, peer: &str) -> Result<(), Denied> {
    let (_tx, token) = watch::channel(token.and_then(Token::new));
    let mut headers = HeaderMap::new();
    if let Some(it) = sent {
        headers.insert(AUTHORIZATION, it.parse().unwrap());
    }
    Access { token }.check(&headers, peer.parse::<SocketAddr>().unwrap())
}

#[test]
fn without_a_token_only_callers_on_the_same_vm_are_let_in() {
    assert_eq!(check(None, None, LOCAL), Ok(()));
    assert_eq!(check(None, None, REMOTE), Err(Denied::Remote));
    assert_eq!(check(None, Some("Bearer whatever it is"), REMOTE), Err(Denied::Remote));
}

#[test]
fn with_a_token_everyone_must_send_it() {
    let token = Some("a token of enough bytes");
    for peer in [LOCAL, REMOTE] {
        assert_eq!(check(token, None, peer), Err(Denied::NoToken));
        assert_eq!(check(token, Some("Basic a token of enough bytes"), peer), Err(Denied::NoToken));
        assert_eq!(check(token, Some("Bearer a token"), peer), Err(Denied::WrongToken));
        assert_eq!(check(token, Some("Bearer a token of enough bytes"), peer), Ok(()));
    }
}

#[test]
fn a_short_token_is_none() {
    assert_eq!(Token::new("short"), None);
    assert!(Token::new(" a token of enough bytes\n").is_some());
}
