//! The report that a proxy sends to each peer four times per second, in bytes on the wire.

use corianderfork_wire::peer;
use prost::Message;

use crate::fit::{Series, micros};

const MEMBERS: [usize; 4] = [18, 36, 72, 144];
const RUNNERS: [usize; 4] = [50, 400, 1200, 2380];

pub fn series() -> Vec<Series> {
    let by_members = |members| report(members, 0).encoded_len() as f64;
    let by_runners = |runners| report(18, runners).encoded_len() as f64;
    let work = |members| {
        let report = report(members, 0);
        micros(|| peer::Report::decode(report.encode_to_vec().as_slice()).map(|r| r.seen.len()))
    };
    vec![
        Series::new("all", "report_by_members", ("member", "bytes"), &MEMBERS, by_members),
        Series::new("proxy", "report_by_busy_runners", ("runner", "bytes"), &RUNNERS, by_runners),
        Series::new("all", "report_encode_decode", ("member", "us"), &MEMBERS, work),
    ]
}

fn report(members: usize, runners: usize) -> peer::Report {
    let member = |number: usize| peer::Member {
        name: format!("entry-{number:03}"),
        role: peer::Role::Proxy.into(),
        incarnation: 1_790_000_000_000 + number as u64,
        data_centre: format!("dc{}", number % 5),
        peers: format!("10.0.{}.{}:7000", number / 200, number % 200),
    };
    let seen = |number| peer::Seen {
        member: Some(member(number)),
        age_ms: 250,
        acks: Vec::new(),
        config_revision: 123_456,
    };
    let load = |number: usize| peer::Load {
        vm: format!("v{number}"),
        service: format!("s{}-{}", number % 34, number % 5),
        in_flight: 3,
        waiting: 0,
    };
    peer::Report {
        from: Some(member(0)),
        config_revision: 123_456,
        store_revision: 1_234_567,
        seen: (0..members).map(seen).collect(),
        loads: (0..runners).map(load).collect(),
        ..peer::Report::default()
    }
}
