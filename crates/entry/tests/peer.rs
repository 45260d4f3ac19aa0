//! Messages between processes of different versions.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use corianderfork_entry::division::{Arrivals, Held, Received};
use corianderfork_entry::peer::{Message, Reply};
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::pressure::Report;
use serde::Deserialize;
use serde_json::{Value, json};

/// What a process of the version before reports of pressure reads.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
enum OldMessage {
    Accepted { pool: String, id: String, record: Value, revision: u64 },
    State { pool: String, id: String },
    Load { pool: String, arrived: Vec<String>, expects: bool },
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
enum OldReply {
    Done,
    Unknown,
}

/// Returns an accepted job and a question before a refusal, as entry VMs send them.
fn messages(is_refusal_on: bool) -> [Value; 3] {
    let mut accepted = json!({ "ask": "accepted", "pool": "p", "id": "5c", "revision": 3,
        "record": { "queue": "q", "accepted_ms": 0, "job": { "spec": "", "steps": [] } } });
    let mut state = json!({ "ask": "state", "pool": "p", "id": "5c", "identity": "anonymous" });
    let mut load = json!({ "ask": "load", "pool": "p", "arrived": [], "expects": true });
    if is_refusal_on {
        accepted["wants_pressure"] = json!(true);
        state["wants_pressure"] = json!("q");
        load["target"] = json!(4);
    }
    [accepted, state, load]
}

fn round_trip(message: &Value) -> Value {
    let message: Message = serde_json::from_value(message.clone()).unwrap();
    serde_json::to_value(message).unwrap()
}

// Guards against messages that an owner or a planner of an earlier version doesn't understand, and
// against other messages than before where refusal is off.
#[test]
fn message_to_an_earlier_version() {
    for message in messages(true) {
        let sent = round_trip(&message);
        serde_json::from_value::<OldMessage>(sent.clone()).unwrap();
        let new_fields = ["wants_pressure", "target"].map(|key| sent.get(key).is_some());
        assert!(new_fields.contains(&true), "{sent}");
    }
    for message in messages(false) {
        let sent = round_trip(&message);
        assert!(sent.get("wants_pressure").is_none() && sent.get("target").is_none(), "{sent}");
    }
}

// Guards against answers that an entry VM of an earlier version doesn't understand, and against
// answers of such an owner that an entry VM doesn't understand.
#[test]
fn reply_to_and_from_an_earlier_version() {
    let unknown = |pressure, exceeds_owed| {
        let (lack, is_known) = (None, false);
        serde_json::to_value(Reply::Unknown { pressure, exceeds_owed, lack, is_known }).unwrap()
    };
    assert_eq!(unknown(None, false), json!({ "reply": "unknown" }));
    let reported = unknown(Some(Report { expiring: [0, 0, 9], ..Report::default() }), true);
    assert_eq!(reported["exceeds_owed"], json!(true));
    assert_eq!(serde_json::from_value::<OldReply>(reported).unwrap(), OldReply::Unknown);
    let done = json!({ "reply": "done" });
    assert_eq!(serde_json::from_value::<OldReply>(done.clone()).unwrap(), OldReply::Done);
    assert!(matches!(serde_json::from_value(done).unwrap(), Reply::Done));
    let from_old: Reply = serde_json::from_value(json!({ "reply": "unknown" })).unwrap();
    let expected =
        Reply::Unknown { pressure: None, exceeds_owed: false, lack: None, is_known: false };
    assert_eq!(format!("{from_old:?}"), format!("{expected:?}"));
}

// Guards against an upgrade in which an owner and a planner of different versions don't understand
// each other's reports of workers.
#[test]
fn message_beside_the_version_without_ended_workers() {
    let told = json!({ "ask": "load", "pool": "p", "arrived": [], "expects": true,
        "ended": ["i-1"] });
    let sent = round_trip(&told);
    assert_eq!(sent, told);
    serde_json::from_value::<OldMessage>(sent).unwrap();
    let from_old = messages(false)[2].clone();
    assert_eq!(round_trip(&from_old).get("ended"), None, "it is sent only if there are some");
    let reply = json!({ "reply": "load", "load": Load::default(), "counted": [] });
    let Ok(Reply::Load { silent, .. }) = serde_json::from_value(reply) else { panic!() };
    assert!(silent.is_empty());
    let new = json!({ "reply": "load", "load": Load::default(), "counted": [], "arrivals": null,
        "silent": ["i-1"] });
    let Ok(WholeReply::Load { arrivals: None }) = serde_json::from_value(new) else { panic!() };
}

/// What a process of the version before differences reads.
#[derive(Debug, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
enum WholeMessage {
    Load { meter_parts: Option<BTreeMap<String, u32>> },
    Shrink { missing: u32 },
    State { wants_pressure: Option<String> },
}

#[derive(Debug, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
enum WholeReply {
    Load { arrivals: Option<Vec<(String, f64)>> },
    Unknown { pressure: Option<Report>, exceeds_owed: bool },
}

// Guards against an upgrade in which an owner of the version before loses parts, an entry VM of that
// version gets no report, or either reads a field as another one.
#[test]
fn message_beside_the_version_of_whole_maps() {
    let parts = || BTreeMap::from([("club".to_owned(), 5_000)]);
    let json = |value: &Value| value.to_string();
    let sent = round_trip(&json!({ "ask": "load", "pool": "p", "arrived": [], "expects": false,
        "meter_parts": parts(), "meter_version": [7, 1] }));
    let Ok(WholeMessage::Load { meter_parts }) = serde_json::from_value(sent.clone()) else {
        panic!("{sent}");
    };
    assert_eq!(meter_parts, Some(parts()));
    // Only an owner that says so gets differences; one of the version before can't.
    let from_old = json!({ "reply": "load", "load": Load::default(), "counted": [],
        "arrivals": [["club", 2.5]] });
    let reply = serde_json::from_value(from_old).unwrap();
    let Reply::Load { arrivals: Some(arrivals), arrival_changes: None, holds_parts: false, .. } =
        reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!(arrivals, [("club".to_owned(), 2.5)]);
    // An owner answers a planner of the version before with whole arrivals, which has no version.
    let mut held = Held::default();
    for _ in 0..3 {
        assert_eq!(held.receive(Received::Whole(None, parts())), Some(&parts()));
        assert!(!held.is_confirmed());
        assert!(matches!(held.report(BTreeMap::new(), false, 1), Arrivals::Whole(_)));
    }
    let new = json!({ "reply": "load", "load": Load::default(), "counted": [],
        "arrivals": [["club", 2.5]], "holds_parts": true });
    let Ok(WholeReply::Load { arrivals: Some(_) }) = serde_json::from_value(new) else { panic!() };
    let question = json!({ "w": 9, "c": 3, "l": [1, 0, 0], "k": 17 });
    let state =
        round_trip(&json!({ "ask": "state", "pool": "p", "id": "5c", "wants_pressure": "q",
        "identity": "anonymous", "question": question }));
    assert!(json(&state).contains(r#""k":17"#), "{state}");
    let Ok(WholeMessage::State { wants_pressure: Some(_) }) = serde_json::from_value(state) else {
        panic!();
    };
    let report = Report { expiring: [0, 0, 9], ..Report::default() };
    let from_old = json!({ "reply": "unknown", "pressure": report, "exceeds_owed": true });
    let Reply::Unknown { pressure: Some(_), exceeds_owed: true, lack: None, is_known: false } =
        serde_json::from_value(from_old.clone()).unwrap()
    else {
        panic!("{from_old}");
    };
    let Ok(WholeReply::Unknown { pressure: Some(_), exceeds_owed: true }) =
        serde_json::from_value(from_old)
    else {
        panic!();
    };
    let shrink = json!({ "ask": "shrink", "pool": "p", "keep": 4, "missing": 3 });
    let Ok(WholeMessage::Shrink { missing: 3 }) = serde_json::from_value(round_trip(&shrink))
    else {
        panic!();
    };
}
