//! The platform's HTTP interface and its faults.

#![allow(clippy::unwrap_used)]

mod support;

use std::thread;

use corianderfork_standins::platform::{self, Config};
use serde_json::json;
use support::{Http, eventually, local};

fn platform(config: Config) -> Http {
    Http::new(platform::start(local(), config).unwrap().address())
}

#[test]
fn watch_waits_for_change() {
    let http = platform(Config::default());
    http.post("/kv/put", r#"{"key":"a/1","value":"x"}"#).unwrap();
    let (_, now) = http.get("/watch?prefix=a%2F&after=0&wait_ms=0").unwrap();
    assert_eq!(now["revision"], 1);
    assert_eq!(now["changes"][0]["entry"]["value"], "x");
    thread::scope(|scope| {
        let waiting = scope.spawn(|| http.get("/watch?prefix=a/&after=1&wait_ms=60000").unwrap());
        eventually("a watch to wait", || (http.get("/_stats")?.1["waiting"] == 1).then_some(()));
        http.post("/kv/put", r#"{"key":"b","value":"not watched"}"#).unwrap();
        http.post("/kv/delete", r#"{"key":"a/1","expect":1}"#).unwrap();
        let (_, seen) = waiting.join().unwrap();
        assert_eq!(seen["changes"], json!([{ "key": "a/1", "entry": null, "revision": 3 }]));
    });
    let (_, stats) = http.get("/_stats").unwrap();
    assert_eq!((&stats["watches"], &stats["writes"]), (&json!(2), &json!(3)));
    assert_eq!(stats["callers"]["test"]["watches"], 2);
}

#[test]
fn trace_of_a_waiting_watch_that_is_refused() {
    // The trace must tell a write that no watch was waiting for from one whose watch was
    // refused.
    let http = platform(Config::default());
    http.post("/_fault", r#"{"down_with":"a/"}"#).unwrap();
    thread::scope(|scope| {
        let waiting = scope.spawn(|| http.get("/watch?prefix=a/&after=0&wait_ms=60000").unwrap());
        eventually("a watch to wait", || (http.get("/_stats")?.1["waiting"] == 1).then_some(()));
        http.post("/kv/put", r#"{"key":"a/1","value":"x"}"#).unwrap();
        assert_eq!(waiting.join().unwrap().0, 503);
    });
    let (_, trace) = http.get("/_trace").unwrap();
    let events = trace["events"].as_array().unwrap();
    let kinds: Vec<_> = events.iter().map(|event| event["event"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["watch", "write", "down", "end"]);
    assert_eq!(events[1]["waiting"], json!([events[0]["id"]]));
    assert_eq!((&events[3]["end"], &events[3]["unseen"]), (&json!("refused"), &json!(1)));
}

#[test]
fn watch_delayed_writes_not() {
    // A delayed watch isn't waiting when a later call is answered, is refused if the store
    // goes down meanwhile, and returns the change once the store considers it.
    let http = platform(Config::default());
    http.post("/_fault", r#"{"watch_delay_ms":2000}"#).unwrap();
    thread::scope(|scope| {
        let refused = scope.spawn(|| http.get("/watch?prefix=a&after=0&wait_ms=0").unwrap().0);
        eventually("a watch to arrive", || (http.get("/_stats")?.1["watches"] == 1).then_some(()));
        assert_eq!(http.post("/kv/put", r#"{"key":"a","value":"x"}"#).unwrap().0, 200);
        assert_eq!(http.get("/kv?key=a").unwrap().1["entry"]["value"], "x");
        http.post("/_fault", r#"{"down":true}"#).unwrap();
        assert_eq!(refused.join().unwrap(), 503);
    });
    http.post("/_fault", r#"{"down":false,"watch_delay_ms":1}"#).unwrap();
    let (_, seen) = http.get("/watch?prefix=a&after=0&wait_ms=0").unwrap();
    assert_eq!(seen["changes"][0]["entry"]["value"], "x");
    let (_, trace) = http.get("/_trace").unwrap();
    let events = trace["events"].as_array().unwrap();
    let kinds: Vec<_> = events.iter().map(|event| event["event"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["write", "down", "watch", "end", "down", "watch", "end"]);
    assert_eq!(events[0]["waiting"], json!([]));
}

#[test]
fn watch_from_compacted_revision() {
    let http = platform(Config::default());
    assert_eq!(http.get("/watch?prefix=a&after=9&wait_ms=0").unwrap().0, 410);
}

#[test]
fn put_applied_though_response_lost() {
    // The write is applied and its response is lost, once. The writer sees only
    // that its connection closes.
    let http = platform(Config::default());
    http.post("/_fault", r#"{"lose_answers":1,"lose_prefix":"a"}"#).unwrap();
    assert_eq!(http.post("/kv/put", r#"{"key":"b","value":"x"}"#).unwrap().0, 200);
    assert_eq!(http.post("/kv/put", r#"{"key":"a","value":"x","expect":0}"#), None);
    assert_eq!(http.get("/kv?key=a").unwrap().1["entry"]["value"], "x");
    assert_eq!(http.post("/kv/put", r#"{"key":"a","value":"y","expect":0}"#).unwrap().0, 409);
}

#[test]
fn put_while_down_not_applied() {
    let http = platform(Config::default());
    http.post("/_fault", r#"{"down":true}"#).unwrap();
    assert_eq!(http.post("/kv/put", r#"{"key":"a","value":"x"}"#).unwrap().0, 503);
    assert_eq!(http.get("/kv?key=a").unwrap().0, 503);
    assert_eq!(http.get("/watch?prefix=a&after=0&wait_ms=60000").unwrap().0, 503);
    http.post("/_fault", r#"{"down":false}"#).unwrap();
    assert_eq!(http.get("/kv?key=a").unwrap().1, json!({ "revision": 0, "entry": null }));
}

#[test]
fn silent_open_connection_only() {
    // Simulates a network that lost track of open connections: a watch on one of
    // them neither returns a change nor ends.
    let server = platform::start(local(), Config::default()).unwrap();
    let (old, new) = (Http::new(server.address()), Http::new(server.address()));
    thread::scope(|scope| {
        let watch = scope.spawn(|| old.get("/watch?prefix=a&after=0&wait_ms=60000"));
        eventually("a watch to wait", || (new.get("/_stats")?.1["waiting"] == 1).then_some(()));
        new.post("/_fault", r#"{"silent":true}"#).unwrap();
        let fresh = Http::new(server.address());
        assert_eq!(fresh.post("/kv/put", r#"{"key":"a","value":"x"}"#).unwrap().0, 200);
        eventually("the change to arrive", || {
            (new.get("/_stats")?.1["waiting"] == 0).then_some(())
        });
        server.connections().close_all();
        assert_eq!(watch.join().unwrap(), None, "a response arrived before the connection closed");
    });
}

#[test]
fn reboot_shown_late() {
    // The platform's list lags by an hour and shows a rebooting VM as live.
    let vms = vec!["vm1".to_owned()];
    let http = platform(Config { reboot_ms: 1, vms, ..Config::default() });
    http.post("/_fault", r#"{"list_lag_ms":3600000}"#).unwrap();
    http.post("/_vms", r#"{"vms":["vm1"],"state":"leaving"}"#).unwrap();
    let state = |path| http.get(path).unwrap().1["vms"][0]["state"].clone();
    assert_eq!(state("/vms/one?vm=vm1"), "live");
    assert_eq!(state("/_backend"), "leaving");
    assert_eq!(http.post("/vms/reboot", r#"{"vm":"vm1"}"#).unwrap().0, 200);
    eventually("the VM to be live", || (state("/_backend") == "live").then_some(()));
    assert_eq!(http.get("/_stats").unwrap().1["boots"]["vm1"], 1);
    assert_eq!(http.post("/vms/reboot", r#"{"vm":"vm2"}"#).unwrap().0, 404);
}
