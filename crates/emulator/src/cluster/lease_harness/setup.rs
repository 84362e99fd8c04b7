//! Sets up a schedule: addresses, proxies, and the configurations of its processes.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};

use coordination::Timing;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

use super::processes::{Process, Role};
use super::{LeaseHarness, Programs, SchedulePlan};
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::{run_proxy, FaultyNetwork, NodeId, SharedNetwork};
use crate::cluster::lightweight_member::MemberConfig;
use crate::cluster::record_checker::LeaseViolations;

/// Name of the installation.
const INSTALLATION: &str = "rig";
/// Name of the lease that the members are eligible for.
const LEASE: &str = "pulse";
/// Last octet of the address of the first process.
const FIRST_PROCESS_HOST: usize = 1;
/// Last octet of the address of the first proxy.
const FIRST_PROXY_HOST: usize = 101;
/// XORed with the seed of a schedule for the draws of the harness, so that they differ from those of the schedule.
const HARNESS_SEED: u64 = 24_301;

/// Number of the next address block of this process. An address block is a range of loopback addresses, given by their
/// second and third octet; each schedule has one of its own.
static NEXT_ADDRESS_BLOCK: AtomicU8 = AtomicU8::new(0);

fn next_address_block() -> [u8; 2] {
    [16 + (std::process::id() % 200) as u8, NEXT_ADDRESS_BLOCK.fetch_add(1, Ordering::Relaxed)]
}

/// Returns the loopback address of a process in an address block.
pub(super) fn process_address(address_block: [u8; 2], node: NodeId) -> IpAddr {
    loopback(address_block, FIRST_PROCESS_HOST + node)
}

fn loopback(address_block: [u8; 2], host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, address_block[0], address_block[1], host as u8))
}

/// Returns an address of a host with a free port. The port stays free because no other process uses the host.
pub(super) fn free_address(host: IpAddr) -> Result<SocketAddr, ClusterError> {
    let probe = std::net::TcpListener::bind((host, 0)).map_err(ClusterError::io("free port"))?;
    probe.local_addr().map_err(ClusterError::io("free port"))
}

/// Addresses of the processes and of their proxies, by node.
struct ProxiedAddresses {
    /// Addresses at which the processes listen.
    listen: Vec<SocketAddr>,
    /// Addresses of the proxies, which the processes advertise to each other.
    advertised: Vec<SocketAddr>,
    proxies: Vec<JoinHandle<()>>,
}

/// Allocates addresses for this many processes and starts their proxies.
async fn start_proxies(
    network: &SharedNetwork,
    address_block: [u8; 2],
    count: usize,
) -> Result<ProxiedAddresses, ClusterError> {
    let mut addresses = ProxiedAddresses { listen: Vec::new(), advertised: Vec::new(), proxies: Vec::new() };
    for node in 0..count {
        let listen = free_address(process_address(address_block, node))?;
        let host = loopback(address_block, FIRST_PROXY_HOST + node);
        let proxy = TcpListener::bind((host, 0)).await.map_err(ClusterError::io("proxy listener"))?;
        addresses.advertised.push(proxy.local_addr().map_err(ClusterError::io("proxy listener"))?);
        addresses.listen.push(listen);
        addresses.proxies.push(spawn_local(run_proxy(network.clone(), proxy, node, listen)));
    }
    Ok(addresses)
}

impl<'a> LeaseHarness<'a> {
    /// Sets up all processes of a schedule in a folder of its own below `out`, and starts them.
    pub(super) async fn start_cluster(
        plan: SchedulePlan<'a>,
        programs: &'a Programs,
        out: &Path,
    ) -> Result<LeaseHarness<'a>, ClusterError> {
        let dir = out.join(format!("{}-{}", plan.arm.name, plan.seed));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(ClusterError::io(dir.display()))?;
        let address_block = next_address_block();
        let count = plan.arm.coordinators + plan.arm.members;
        let sources = (0..count).map(|node| (process_address(address_block, node), node));
        let network = FaultyNetwork::new(sources.collect(), plan.seed);
        let addresses = start_proxies(&network, address_block, count).await?;
        let coordinators: BTreeMap<u64, SocketAddr> =
            (0..plan.arm.coordinators).map(|node| (node as u64 + 1, addresses.advertised[node])).collect();
        let role = |node: NodeId| {
            if node < plan.arm.coordinators {
                return Role::Coordinator { number: node as u64 + 1 };
            }
            let config = member_config(plan, &dir, node, &addresses, address_block, &coordinators);
            Role::Member { config: Box::new(config) }
        };
        let processes = (0..count).map(|node| Process::new(role(node), addresses.listen[node])).collect();
        let mut harness = LeaseHarness {
            dir,
            programs,
            plan,
            network,
            processes,
            address_block,
            injected: Vec::new(),
            recoveries: Vec::new(),
            proxies: addresses.proxies,
            violations: LeaseViolations::default(),
            random: Pcg64::seed_from_u64(plan.seed ^ HARNESS_SEED),
        };
        harness.start_all(&coordinators)?;
        Ok(harness)
    }

    /// Sets up the coordinators' stores and starts all processes.
    fn start_all(&mut self, coordinators: &BTreeMap<u64, SocketAddr>) -> Result<(), ClusterError> {
        for node in self.coordinators() {
            self.write_coordinator_config(node, coordinators)?;
            self.bootstrap(node)?;
        }
        (0..self.processes.len()).try_for_each(|node| self.start(node))
    }

    /// Creates the store of a coordinator with its command `bootstrap`.
    fn bootstrap(&self, node: NodeId) -> Result<(), ClusterError> {
        let status = std::process::Command::new(&self.programs.coordinator)
            .args(["bootstrap", "--config"])
            .arg(self.path(node, "hcl"))
            .stdout(Stdio::null())
            .status()
            .map_err(ClusterError::io(self.programs.coordinator.display()))?;
        if status.success() {
            Ok(())
        } else {
            Err(ClusterError::Bootstrap { replica: node + 1, status })
        }
    }

    fn write_coordinator_config(
        &self,
        node: NodeId,
        coordinators: &BTreeMap<u64, SocketAddr>,
    ) -> Result<(), ClusterError> {
        let listen = self.processes[node].listen;
        let mut text = format!("installation = \"{INSTALLATION}\"\n");
        for (number, address) in coordinators {
            text += &format!("keeper \"{number}\" {{\n  address = \"{address}\"\n}}\n");
        }
        text += &timing_block(&self.plan.experiment.times);
        text += &format!(
            "serve {{\n  keeper = {}\n  listen = \"{listen}\"\n  bind = \"{}\"\n  store = \"{}\"\n}}\n",
            node + 1,
            listen.ip(),
            self.path(node, "store").display()
        );
        let path = self.path(node, "hcl");
        fs::write(&path, text).map_err(ClusterError::io(path.display()))
    }
}

/// Returns the block `times` of a coordinator's settings, in milliseconds.
fn timing_block(timing: &Timing) -> String {
    format!(
        "times {{\n  lease_ms = {}\n  renew_ms = {}\n  call_ms = {}\n  stay_ms = {}\n  short_ms = {}\n  \
         election_ms = {}\n  heartbeat_ms = {}\n  skew_ppm = {}\n}}\n",
        timing.lease_duration / 1_000,
        timing.renewal_interval / 1_000,
        timing.call_timeout / 1_000,
        timing.stability_period / 1_000,
        timing.short_session_limit / 1_000,
        timing.election_timeout / 1_000,
        timing.heartbeat_interval / 1_000,
        timing.max_clock_skew_ppm
    )
}

fn member_config(
    plan: SchedulePlan<'_>,
    dir: &Path,
    node: NodeId,
    addresses: &ProxiedAddresses,
    address_block: [u8; 2],
    coordinators: &BTreeMap<u64, SocketAddr>,
) -> MemberConfig {
    let name = format!("m{}", node - plan.arm.coordinators);
    MemberConfig {
        installation: INSTALLATION.to_owned(),
        listen: addresses.listen[node],
        address: addresses.advertised[node],
        bind: Some(process_address(address_block, node)),
        coordinators: coordinators.clone(),
        leases: vec![LEASE.to_owned()],
        times: plan.experiment.times,
        record: Some(dir.join(format!("{name}.jsonl"))),
        name,
        injected_bug: plan.injected_bug.map(str::to_owned),
        seed: plan.seed ^ (node as u64) << 32,
    }
}
