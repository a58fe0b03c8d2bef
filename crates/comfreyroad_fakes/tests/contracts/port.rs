//! Leases of ports for processes under test.

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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

#[test]
fn a_leased_port_is_free_while_other_threads_start_processes() {
    // A child holds copies of all open sockets from its fork to its exec.
    let is_done = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let is_done = is_done.clone();
            std::thread::spawn(move || {
                while !is_done.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            })
        })
        .collect();
    let leases = (0..500).map(|_| port::Lease::acquire().unwrap());
    let taken: Vec<SocketAddr> = leases
        .map(|lease| lease.address)
        .filter(|address| TcpListener::bind(address).is_err())
        .collect();
    is_done.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().unwrap();
    }
    assert!(taken.is_empty(), "{taken:?}");
}
