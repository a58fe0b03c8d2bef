//! Bytes that have arrived for a process and that it has not read.

use std::net::TcpStream;

/// Whether the process at the other end of a local connection has accepted it and read all that was sent.
pub(super) fn is_empty(stream: &TcpStream) -> bool {
    let (Ok(here), Ok(there)) = (stream.local_addr(), stream.peer_addr()) else {
        return false;
    };
    let ports = [there, here].map(|it| format!(":{:04X}", it.port()));
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    sockets.lines().any(|line| {
        // Number, local and remote address, state, queues to send and to read, timer, retransmissions, user, timeout, inode.
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, _, queues, _, _, _, _, inode, ..] = fields[..] else {
            return false;
        };
        local.ends_with(&ports[0])
            && remote.ends_with(&ports[1])
            && queues.ends_with(":00000000")
            && inode != "0"
    })
}
