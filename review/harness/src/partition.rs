//! Proxies in front of the stores' inner addresses, which cut the paths between stores as a partition does.
//!
//! A proxy learns which process opened a connection from `/proc`, so that the paths between stores can be cut while
//! gateways still reach all of them. Bytes that are held up arrive when the partition heals.

use std::{
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Store(usize),
    Gateway(usize),
}

#[derive(Default)]
struct State {
    processes: Mutex<Vec<(Owner, u32)>>,
    /// Store whose paths to the other stores are cut.
    isolated: Mutex<Option<usize>>,
    /// Bytes from a gateway to a store.
    sent: Mutex<Vec<((usize, usize), Arc<AtomicU64>)>>,
}

/// All proxies; clones share their state.
#[derive(Clone, Default)]
pub struct Partition {
    state: Arc<State>,
}

impl Partition {
    /// Passes on what arrives at `advertised` to `bound`, the address at which a store listens.
    pub fn start_proxy(
        &self,
        store: usize,
        advertised: SocketAddrV4,
        bound: SocketAddrV4,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(advertised)?;
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || drop(this.carry(stream, store, advertised, bound)));
            }
        });
        Ok(())
    }

    /// Tells which process has an ID.
    pub fn register(&self, owner: Owner, pid: u32) {
        let mut processes = self.state.processes.lock().unwrap();
        processes.retain(|(known, _)| *known != owner);
        processes.push((owner, pid));
    }

    /// Cuts a store off from the other stores.
    pub fn isolate(&self, store: usize) {
        *self.state.isolated.lock().unwrap() = Some(store);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        *self.state.isolated.lock().unwrap() = None;
    }

    /// Bytes that a gateway has sent to a store so far.
    pub fn sent(&self, gateway: usize, store: usize) -> u64 {
        let sent = self.state.sent.lock().unwrap();
        let of_pair = sent.iter().filter(|(pair, _)| *pair == (gateway, store));
        of_pair.map(|(_, bytes)| bytes.load(Ordering::Relaxed)).sum()
    }

    fn is_cut(&self, owner: Option<Owner>, store: usize) -> bool {
        let Some(Owner::Store(from)) = owner else { return false };
        let isolated = *self.state.isolated.lock().unwrap();
        from != store && isolated.is_some_and(|cut| cut == from || cut == store)
    }

    fn carry(
        &self,
        stream: TcpStream,
        store: usize,
        advertised: SocketAddrV4,
        bound: SocketAddrV4,
    ) -> io::Result<()> {
        let SocketAddr::V4(peer) = stream.peer_addr()? else { return Ok(()) };
        let owner = self.owner_of(peer, advertised);
        while self.is_cut(owner, store) {
            thread::sleep(Duration::from_millis(5));
        }
        let onward = TcpStream::connect(bound)?;
        stream.set_nodelay(true)?;
        onward.set_nodelay(true)?;
        let counter = Arc::new(AtomicU64::new(0));
        if let Some(Owner::Gateway(gateway)) = owner {
            self.state.sent.lock().unwrap().push(((gateway, store), counter.clone()));
        }
        let (back_from, back_to) = (onward.try_clone()?, stream.try_clone()?);
        let this = self.clone();
        thread::spawn(move || this.pump(back_from, back_to, owner, store, &AtomicU64::new(0)));
        self.pump(stream, onward, owner, store, &counter);
        Ok(())
    }

    fn pump(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        owner: Option<Owner>,
        store: usize,
        counter: &AtomicU64,
    ) {
        let mut buf = vec![0; 64 * 1024];
        while let Ok(len) = from.read(&mut buf) {
            while self.is_cut(owner, store) {
                thread::sleep(Duration::from_millis(2));
            }
            if len == 0 || to.write_all(&buf[..len]).is_err() {
                break;
            }
            counter.fetch_add(len as u64, Ordering::Relaxed);
        }
        drop(to.shutdown(Shutdown::Both));
        drop(from.shutdown(Shutdown::Both));
    }

    /// Process that opened the connection from `peer` to `advertised`.
    fn owner_of(&self, peer: SocketAddrV4, advertised: SocketAddrV4) -> Option<Owner> {
        let deadline = Instant::now() + Duration::from_millis(500);
        while Instant::now() < deadline {
            if let Some(inode) = socket_inode(peer, advertised) {
                let wanted = format!("socket:[{inode}]");
                let processes = self.state.processes.lock().unwrap().clone();
                let owns = |pid: u32| {
                    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
                    let mut targets = files.flatten().filter_map(|f| fs::read_link(f.path()).ok());
                    targets.any(|target| target.to_string_lossy() == wanted)
                };
                if let Some((owner, _)) = processes.into_iter().find(|(_, pid)| owns(*pid)) {
                    return Some(owner);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

fn socket_inode(local: SocketAddrV4, remote: SocketAddrV4) -> Option<u64> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let line = lines.find(|words| {
        words.len() > 9 && address(words[1]) == Some(local) && address(words[2]) == Some(remote)
    })?;
    line[9].parse().ok()
}

/// Address of a line of `/proc/net/tcp`; the IP is a number in the byte order of the machine.
fn address(text: &str) -> Option<SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(SocketAddrV4::new(Ipv4Addr::from(ip), u16::from_str_radix(port, 16).ok()?))
}
