//! Logs of entry hosts that stop.

use crate::process::{command, wait_until, write_settings};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Stdio},
};

/// Hosts that stop at the same time, so that most of them have to wait for a processor.
const HOSTS: usize = 24;

/// Guards against a process that ends before its last log lines are written.
#[tokio::test]
async fn the_last_lines_of_a_stopped_host_are_written() {
    let mut hosts: Vec<(Child, PathBuf)> = (0..HOSTS).map(|number| start(number, 1)).collect();
    for (host, log) in &mut hosts {
        wait_until("the host has started", async || {
            text(log).contains("entry: started").then_some(())
        })
        .await;
        kill_process(Pid::from_child(host), Signal::TERM).expect("the process runs");
    }
    let mut unfinished = 0;
    for (host, log) in &mut hosts {
        let status = wait_until("the host ends", async || {
            host.try_wait().expect("it is a child")
        })
        .await;
        assert!(status.success(), "{status}");
        unfinished += usize::from(!text(log).contains("entry: stopped"));
    }
    assert_eq!(unfinished, 0, "of {HOSTS} logs have no last line");
}

/// Starts an entry host whose store is out of reach; returns it and its log.
pub fn start(number: usize, grace_s: u32) -> (Child, PathBuf) {
    let ip = format!("127.0.2.{}", number + 1);
    let free = TcpListener::bind((ip.as_str(), 0)).expect("a port is free");
    let peer_port = free.local_addr().expect("it is bound").port();
    drop(free);
    let text = format!(
        "[host]\nname = h{number}\ndata-centre = z\nregion = r\ncallers = {ip}:0\nready = {ip}:0\n\
         look-ups = {ip}:0\npeer-port = {peer_port}\n[data-centre z]\nregion = r\n[store]\n\
         address = 127.0.0.1:1\n[machine]\nmemory-mb = 260\ndescriptors = 512\n\
         [bounds]\ngrace-s = {grace_s}\n"
    );
    let settings = write_settings(&format!("log-{number}"), &text);
    let path = settings.with_extension("log");
    let log = fs::File::create(&path).expect("the file can be created");
    let child = command(&["entry", "--settings", settings.to_str().expect("text")])
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the host starts");
    (child, path)
}

pub fn text(log: &Path) -> String {
    fs::read_to_string(log).expect("it was created")
}
