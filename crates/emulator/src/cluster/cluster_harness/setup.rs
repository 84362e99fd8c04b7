//! Sets up a cluster: addresses, proxies, and the configurations of its processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::processes::command_error;
use super::{member_node, Binaries, ClusterHarness, ClusterSpec};
use crate::cluster::emulated_discovery::EmulatedDiscovery;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::{run_proxy, FaultyNetwork, NodeId, SharedNetwork};

/// The first allocated port is the one after this.
const BASE_PORT: u16 = 20_000;

impl ClusterHarness {
    /// Sets up coordinators and dispatchers in a folder and starts them. `config` is the configuration that all
    /// dispatchers have in common; the name, addresses, instance, zone and seed of each are filled in.
    ///
    /// # Errors
    /// Returns a [`ClusterError`] if a file, a proxy or a process cannot be set up.
    pub async fn start(
        dir: &Path,
        binaries: Binaries,
        mut config: Value,
        spec: ClusterSpec<'_>,
    ) -> Result<ClusterHarness, ClusterError> {
        let mut addresses = AddressAllocator::new();
        let discovery_addresses = serve_discoveries(spec.discoveries).await?;
        let discovery = spec.discoveries.first().cloned().ok_or(ClusterError::NoDiscovery)?;
        let network = spec.proxy_seed.map(|seed| {
            let nodes = (1..=spec.coordinators).chain((0..spec.dispatchers).map(member_node));
            let sources = nodes.map(|node| (addresses.source_address(node).into(), node));
            FaultyNetwork::new(sources.collect(), seed)
        });
        let mut setup =
            Setup { dir, binaries: &binaries, network: network.as_ref(), addresses: &mut addresses };
        let coordinator_blocks = setup.coordinators(spec.coordinators)?;
        config["known"] = json!({"revision": 0, "complete": true, "members": []});
        let mut consoles = Vec::new();
        let mut listen = Vec::new();
        for dispatcher in 0..spec.dispatchers {
            let discovery = discovery_addresses[dispatcher % discovery_addresses.len()];
            let settings = spec
                .cluster_settings
                .map(|added| CommonSettings { coordinator_blocks: &coordinator_blocks, added });
            let own = setup.dispatcher(&mut config, dispatcher, discovery, settings)?;
            consoles.push(own.console);
            listen.push(own.listen);
        }
        let mut cluster = ClusterHarness {
            dir: dir.to_owned(),
            binaries,
            discovery,
            coordinators: (0..spec.coordinators).map(|_| None).collect(),
            dispatchers: (0..spec.dispatchers).map(|_| None).collect(),
            consoles,
            network,
            listen,
        };
        if spec.cluster_settings.is_some() {
            (1..=spec.coordinators).try_for_each(|number| cluster.start_coordinator(number))?;
        }
        (0..spec.dispatchers).try_for_each(|dispatcher| cluster.start_dispatcher(dispatcher))?;
        Ok(cluster)
    }
}

/// Addresses of a dispatcher.
struct DispatcherAddresses {
    listen: SocketAddr,
    console: SocketAddr,
}

/// Parts of the block `fleet` that are the same for all dispatchers of a cluster.
#[derive(Clone, Copy)]
struct CommonSettings<'a> {
    coordinator_blocks: &'a str,
    /// Text that the experiment adds.
    added: &'a str,
}

/// Context in which the processes of one cluster are set up.
struct Setup<'a> {
    dir: &'a Path,
    binaries: &'a Binaries,
    network: Option<&'a SharedNetwork>,
    addresses: &'a mut AddressAllocator,
}

impl Setup<'_> {
    /// Sets up all coordinators; returns the settings blocks with their advertised addresses.
    fn coordinators(&mut self, count: usize) -> Result<String, ClusterError> {
        let listen: Vec<SocketAddr> = (0..count).map(|_| self.addresses.next_address()).collect();
        let advertised: Result<Vec<SocketAddr>, ClusterError> =
            (1..).zip(&listen).map(|(number, address)| start_proxy(self.network, number, *address)).collect();
        let blocks = coordinator_blocks(&advertised?);
        for number in 1..=count {
            let serve = format!(
                "serve {{\n  keeper = {number}\n  store = \"{}\"\n  listen = \"{}\"\n  bind = \"{}\"\n}}\n",
                self.dir.join(format!("k{number}")).display(),
                listen[number - 1],
                self.addresses.source_address(number),
            );
            bootstrap(self.dir, self.binaries, number, format!("installation = \"test\"\n{blocks}{serve}"))?;
        }
        Ok(blocks)
    }

    /// Writes the configuration and the local settings of a dispatcher.
    fn dispatcher(
        &mut self,
        config: &mut Value,
        dispatcher: usize,
        discovery: SocketAddr,
        member: Option<CommonSettings<'_>>,
    ) -> Result<DispatcherAddresses, ClusterError> {
        let console = self.addresses.next_address();
        let listen = self.addresses.next_address();
        let own = DispatcherAddresses { listen, console };
        let text = dispatcher_config(config, dispatcher, &own, discovery);
        write(&self.dir.join(format!("d{dispatcher}.json")), text)?;
        let member_listen = self.addresses.next_address();
        let settings = match member {
            Some(member) => self.member_settings(dispatcher, member_listen, member)?,
            None => String::new(),
        };
        write(&self.dir.join(format!("d{dispatcher}.hcl")), settings)?;
        Ok(own)
    }

    /// Returns the block `fleet` of a dispatcher's local settings.
    fn member_settings(
        &self,
        dispatcher: usize,
        listen: SocketAddr,
        common: CommonSettings<'_>,
    ) -> Result<String, ClusterError> {
        let node = member_node(dispatcher);
        let advertised = start_proxy(self.network, node, listen)?;
        let bind = self.addresses.source_address(node);
        let record = self.dir.join(format!("d{dispatcher}.jsonl"));
        let CommonSettings { coordinator_blocks, added } = common;
        Ok(format!(
            "fleet {{\ninstallation = \"test\"\nlisten = \"{listen}\"\naddress = \"{advertised}\"\nbind = \"{bind}\"\n\
             record = \"{}\"\n{coordinator_blocks}{added}}}\n",
            record.display(),
        ))
    }
}

/// Allocates the addresses of one cluster: consecutive ports of a loopback host that no other cluster uses. Searching
/// for free ports would be a race, because another process could take a port before it is used.
struct AddressAllocator {
    host: Ipv4Addr,
    last_port: u16,
}

impl AddressAllocator {
    fn new() -> AddressAllocator {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let cluster = NEXT.fetch_add(1, Ordering::Relaxed) % 250;
        let host = Ipv4Addr::new(127, 100 + (std::process::id() % 150) as u8, cluster as u8, 1);
        AddressAllocator { host, last_port: BASE_PORT }
    }

    /// Returns the source address of a node's connections.
    fn source_address(&self, node: NodeId) -> Ipv4Addr {
        let [first, second, third, _] = self.host.octets();
        Ipv4Addr::new(first, second, third, 10 + (node % 240) as u8)
    }

    fn next_address(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::from((self.host, self.last_port))
    }
}

/// Starts a proxy in front of an address if the cluster has proxies; returns the address to advertise.
fn start_proxy(
    network: Option<&SharedNetwork>,
    node: NodeId,
    address: SocketAddr,
) -> Result<SocketAddr, ClusterError> {
    let Some(network) = network else { return Ok(address) };
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(ClusterError::io("proxy listener"))?;
    listener.set_nonblocking(true).map_err(ClusterError::io("proxy listener"))?;
    let proxy_address = listener.local_addr().map_err(ClusterError::io("proxy listener"))?;
    let listener = TcpListener::from_std(listener).map_err(ClusterError::io("proxy listener"))?;
    spawn_local(run_proxy(network.clone(), listener, node, address));
    Ok(proxy_address)
}

/// Serves the discoveries; returns their addresses.
async fn serve_discoveries(discoveries: &[EmulatedDiscovery]) -> Result<Vec<SocketAddr>, ClusterError> {
    let mut addresses = Vec::new();
    for discovery in discoveries {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("discovery listener"))?;
        addresses.push(listener.local_addr().map_err(ClusterError::io("discovery listener"))?);
        spawn_local(discovery.clone().serve(listener));
    }
    Ok(addresses)
}

/// Writes the configuration of a coordinator and sets up its store.
fn bootstrap(dir: &Path, binaries: &Binaries, number: usize, config: String) -> Result<(), ClusterError> {
    let file = dir.join(format!("k{number}.hcl"));
    write(&file, config)?;
    let output = Command::new(&binaries.coordinator).args(["bootstrap", "--config"]).arg(&file).output();
    let output = output.map_err(ClusterError::io(binaries.coordinator.display()))?;
    if !output.status.success() {
        return Err(command_error(&output.stderr));
    }
    Ok(())
}

/// Returns the settings blocks of all coordinators with their advertised addresses.
fn coordinator_blocks(advertised: &[SocketAddr]) -> String {
    let block = |(number, address): (usize, &SocketAddr)| {
        format!("keeper \"{number}\" {{\n  address = \"{address}\"\n}}\n")
    };
    (1..).zip(advertised).map(block).collect()
}

/// Fills in what differs between dispatchers in their common configuration; returns the configuration as text.
fn dispatcher_config(
    config: &mut Value,
    dispatcher: usize,
    own: &DispatcherAddresses,
    discovery: SocketAddr,
) -> String {
    config["name"] = format!("d{dispatcher}").into();
    config["listen"] = own.listen.to_string().into();
    config["console"] = own.console.to_string().into();
    config["discovery"] = discovery.to_string().into();
    let instances = config["settings"]["balancers"].as_u64().unwrap_or(1).max(1);
    config["settings"]["slot-no"] = (dispatcher as u64 % instances).into();
    let zones = config["settings"]["azs"].as_array().map_or(1, Vec::len).max(1);
    config["settings"]["zone"] = (dispatcher % zones).into();
    config["seed"] = format!("{:016x}", dispatcher + 1).into();
    config.to_string()
}

/// Writes a file; an error names its path.
pub(super) fn write(path: &Path, text: String) -> Result<(), ClusterError> {
    std::fs::write(path, text).map_err(ClusterError::io(path.display()))
}
