//! Odd bytes that other writers may leave in the platform's store.

use serde_json::json;

/// Nesting that exhausts the stack of a thread if each level takes a call.
const DEPTH: usize = 100_000;

/// Returns an entry of `service` in which one field has this JSON text as its value.
pub fn entry_with(service: &str, field: &str, text: &str) -> String {
    let mut entry = json!({
        "service": service, "address": "127.0.0.1:9", "zone": "a", "slots": 4, "state": "ready",
    });
    entry[field] = json!("@");
    entry.to_string().replace("\"@\"", text)
}

/// Returns JSON that is nested too deeply for a parser that takes a call for each level.
pub fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Returns entries that are skipped.
pub fn skipped_entries(service: &str) -> Vec<String> {
    let mut all = vec![String::new(), nested(), "[".repeat(DEPTH), "\"x\"".repeat(100)];
    let long = format!("\"{}\"", "x".repeat(1_000_000));
    let odd = [
        ("slots", "4294967295"),
        ("slots", "1e300"),
        ("slots", "1e999"),
        ("slots", "-1"),
        ("slots", "99999999999999999999"),
        ("born", "1e999"),
        ("warmupLeftS", "-1e999"),
        ("address", r#""127.0.0.1:0""#),
        ("address", r#""127.0.0.1:65536""#),
        ("address", r#""0.0.0.0:80""#),
        ("address", r#""224.0.0.1:80""#),
        ("service", r#""""#),
        ("service", &long),
        ("zone", &long),
        ("state", &long),
        ("slots", &nested()),
    ];
    all.extend(odd.iter().map(|(field, text)| entry_with(service, field, text)));
    all
}

/// Returns entries with ids that are unusual but can be used.
pub fn unusual_entries(service: &str) -> Vec<(String, String)> {
    vec![
        ("\u{1}%\"\\".repeat(45), entry_with(service, "later", &nested())),
        ("many-slots".to_owned(), entry_with(service, "slots", "65535")),
        ("cold".to_owned(), entry_with(service, "warmupLeftS", "1e300")),
        ("born".to_owned(), entry_with(service, "born", "18446744073709551615")),
    ]
}

/// Returns items whose own JSON is odd, by key.
pub fn items() -> Vec<(String, String)> {
    let deep = nested();
    let items = [
        "{}".to_owned(),
        deep.clone(),
        format!(r#"{{"key":"servers/odd","value":{deep},"revision":1}}"#),
        format!(r#"{{"key":"servers/odd","value":"","revision":{deep}}}"#),
        r#"{"key":"servers/odd","value":1e999,"revision":1}"#.to_owned(),
        r#"{"key":"servers/odd","value":"","revision":1e999}"#.to_owned(),
        r#"{"key":"servers/odd","value":"","revision":18446744073709551615}"#.to_owned(),
    ];
    let key = |i| format!("servers/item-{i}");
    items.into_iter().enumerate().map(|(i, item)| (key(i), item)).collect()
}
