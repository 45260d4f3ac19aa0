//! A peer that requests reports from proxies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;

use corianderfork_runtime::peers::{Handler, Peers, Reply, start};
use corianderfork_wire::peer;

use super::LONG_TIMEOUT;

struct NoReply;

impl Handler for NoReply {
    fn exchange(&self, _: peer::Report, _: Reply<peer::Report>) {}
    fn snapshot(&self, _: peer::SnapshotRequest, _: Reply<peer::SnapshotReply>) {}
    fn claim(&self, _: peer::ClaimRequest, _: Reply<peer::ClaimReply>) {}
    fn settle(&self, _: peer::SettleRequest, _: Reply<peer::SettleReply>) {}
}

pub struct Peer(Peers);

impl Peer {
    pub fn start() -> Self {
        Self(start("127.0.0.1:0".parse().unwrap(), Arc::new(NoReply)).unwrap().0)
    }

    pub fn report(&self, to: SocketAddr) -> peer::Report {
        let (sender, receiver) = sync_channel(1);
        self.0.exchange(to, peer::Report::default(), LONG_TIMEOUT, move |answer| {
            let _ = sender.try_send(answer);
        });
        receiver.recv().unwrap().unwrap()
    }

    /// Returns whether the proxy at `to` itself has confirmed the drain.
    pub fn has_acked(&self, to: SocketAddr, vm: &str, epoch: u64) -> bool {
        let report = self.report(to);
        let acks = &report.seen[0].acks;
        acks.iter().any(|ack| ack.vm == vm && ack.epoch == epoch)
    }
}
