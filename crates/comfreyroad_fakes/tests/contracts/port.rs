//! Leases of ports for processes under test.

use std::net::{SocketAddr, TcpListener};

use comfreyroad_fakes::port;
use indexmap::IndexSet;

#[test]
fn concurrent_leases_are_of_different_ports() {
    let lease = || (0..100).map(|_| port::Lease::acquire().unwrap());
    let threads: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(move || lease().collect::<Vec<_>>()))
        .collect();
    let leases = threads.into_iter().map(|thread| thread.join().unwrap());
    let leases: Vec<port::Lease> = leases.flatten().collect();
    let ports: IndexSet<SocketAddr> = leases.iter().map(|it| it.address).collect();
    assert_eq!(ports.len(), leases.len());
}

#[test]
fn a_leased_port_is_given_to_no_other_listener_before_it_is_bound() {
    let leases: Vec<port::Lease> = (0..50).map(|_| port::Lease::acquire().unwrap()).collect();
    let others: Vec<TcpListener> = (0..2_000)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    for lease in &leases {
        assert!(TcpListener::bind(lease.address).is_ok(), "{lease:?}");
    }
    drop(others);
}
