//! Benchmark of the feed.
//!
//! Measures the time of a change and the bytes of the messages by the size of the state, the
//! shape of the distribution tree at 5,000 hosts, and the latency of a change over several hops.
//!
//! `cargo run --release -p feed --example feed_benchmark`

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use clock::TimeSource;
use feed::holder::{StateChange, StateHolder};
use feed::plan::SourcePlan;
use feed::service::FeedService;
use feed::view::{HeartbeatStamp, LeaderHeartbeat};
use feed::watcher::FeedWatcher;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use prost::Message;
use tonic::codegen::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use wire::token::AccessToken;
use wire::v1;

const TOKEN: &str = "a-token-for-measuring";
const CHANGES: u64 = 200;
const HOSTS: usize = 5_000;
const ZONES: usize = 47;
const HOPS: usize = 4;
const HOP_CHANGES: u64 = 40;

type AnyResult<T> = Result<T, Box<dyn Error>>;

fn main() -> AnyResult<()> {
    println!("objects  change µs  snapshot bytes  change bytes  heartbeat bytes");
    for objects in [100, 1_000, 10_000] {
        measure_change(objects)?;
    }
    let state = state_with_hosts(HOSTS, ZONES)?;
    for (text, lost_control, lost_zone) in [
        ("all hosts and replicas up", false, false),
        ("one control replica down", true, false),
        ("one zone down", false, true),
    ] {
        print_tree_shape(&state, text, lost_control, lost_zone);
    }
    measure_hops()
}

fn parse_ticket(text: &str) -> AnyResult<ChangeTicket> {
    let raw = RawTicket::from_toml(text).map_err(|fault| fault.to_string())?;
    Ok(ChangeTicket::try_from(raw).map_err(|faults| format!("{faults:?}"))?)
}

fn region_ticket(number: u64, name: &str) -> AnyResult<ChangeTicket> {
    parse_ticket(&format!(
        "number = {number}\n[region.{name}]\nzones = [\"{name}-a\"]\ncap = {number}.0\n"
    ))
}

/// Measures the cost of a change in a state of `objects` objects, and prints a row of the table.
fn measure_change(objects: u64) -> AnyResult<()> {
    let mut state = ForceState::default();
    for number in 1..=objects {
        state.apply(&region_ticket(number, &format!("r{number}"))?);
    }
    let snapshot = serde_json::to_vec(&state)?.len();
    let holder = StateHolder::new();
    holder.publish_snapshot(state.clone())?;
    let mut changes = Vec::new();
    for number in objects + 1..=objects + CHANGES {
        let ticket = region_ticket(number, &format!("r{}", number % objects + 1))?;
        state.apply(&ticket);
        changes.push(StateChange {
            revision: state.revision,
            digest: state.digest,
            ticket: ticket.to_json().into(),
        });
    }
    let bytes = v1::Change {
        revision: state.revision,
        digest: state.digest,
        ticket: changes[0].ticket.clone(),
    }
    .encoded_len();
    let start = Instant::now();
    for change in changes {
        holder.publish_change(change)?;
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / CHANGES as f64;
    let heartbeat = v1::Beat::from(heartbeat(1_000_000, &state)).encoded_len();
    println!("{objects:7}  {micros:9.1}  {snapshot:14}  {bytes:12}  {heartbeat:15}");
    Ok(())
}

fn heartbeat(sequence: u64, state: &ForceState) -> LeaderHeartbeat {
    LeaderHeartbeat {
        stamp: HeartbeatStamp { term: 3, sequence },
        revision: state.revision,
        digest: state.digest,
        keys_opened: true,
    }
}

fn address(kind: u8, number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, kind, high, low], 7_000))
}

fn state_with_hosts(hosts: usize, zones: usize) -> AnyResult<ForceState> {
    let names: Vec<_> = (0..zones).map(|zone| format!("\"z{zone}\"")).collect();
    let mut text = format!(
        "number = 1\n[region.r]\nzones = [{}]\ncap = 1.0\n",
        names.join(",")
    );
    for host in 0..hosts {
        text += &format!(
            "[host.e{host:05}]\nzone = \"z{}\"\ncallers = \"{}\"\npeers = \"{}\"\n",
            host % zones,
            address(1, host),
            address(2, host)
        );
    }
    let mut state = ForceState::default();
    state.apply(&parse_ticket(&text)?);
    Ok(state)
}

/// Prints the shape of the tree in which each host follows its first source that is up.
fn print_tree_shape(state: &ForceState, text: &str, lost_control: bool, lost_zone: bool) {
    let controls: Vec<_> = (0..5).map(|number| address(0, number)).collect();
    let is_up = |source: &SocketAddr| !(lost_control && *source == controls[0]);
    let hosts: Vec<usize> = (0..HOSTS)
        .filter(|host| !(lost_zone && host % ZONES == 0))
        .collect();
    let mut parents = HashMap::new();
    for host in &hosts {
        let plan = SourcePlan::new(format!("e{host:05}"), controls.clone());
        let source = plan.sources(state).into_iter().find(is_up);
        parents.extend(source.map(|source| (address(2, *host), source)));
    }
    let mut followers: HashMap<SocketAddr, usize> = HashMap::new();
    parents
        .values()
        .for_each(|source| *followers.entry(*source).or_default() += 1);
    let depth = |host: &SocketAddr| {
        let mut depth = 1;
        let mut source = parents[host];
        while let Some(next) = parents.get(&source) {
            depth += 1;
            source = *next;
        }
        depth
    };
    let deepest = parents.keys().map(depth).max().unwrap_or(0);
    let at_control = controls
        .iter()
        .filter_map(|control| followers.get(control))
        .max();
    let at_host = followers
        .iter()
        .filter(|(source, _)| !controls.contains(source));
    println!(
        "{text}: {} hosts, most streams per control replica {}, per host {}, depth {deepest}",
        hosts.len(),
        at_control.unwrap_or(&0),
        at_host.map(|(_, count)| *count).max().unwrap_or(0),
    );
}

/// Measures the latency of a change from the origin to the end of a chain of relays.
fn measure_hops() -> AnyResult<()> {
    let origin = Arc::new(StateHolder::new());
    let mut chain = vec![Arc::clone(&origin)];
    for _ in 0..HOPS {
        let source = serve(&chain[chain.len() - 1])?;
        chain.push(follow(source));
    }
    let last = Arc::clone(&chain[HOPS]);
    let mut state = ForceState::default();
    let mut times = Vec::new();
    for number in 1..=HOP_CHANGES {
        let ticket = region_ticket(number, "r")?;
        state.apply(&ticket);
        let start = Instant::now();
        origin.publish_change(StateChange {
            revision: state.revision,
            digest: state.digest,
            ticket: ticket.to_json().into(),
        })?;
        while last.view().state.revision < number {
            origin
                .publish_heartbeat(Instant::now(), heartbeat(u64::MAX - 1_000 + number, &state))?;
            task::block_on(task::sleep(Duration::from_micros(200)));
            if start.elapsed() > Duration::from_secs(5) {
                return Err("a change did not arrive at the last host within 5 s".into());
            }
        }
        times.push(start.elapsed());
        task::block_on(task::sleep(Duration::from_millis(20)));
    }
    times.drain(..5);
    times.sort();
    println!(
        "{HOPS} hops on loopback: median {:?}, maximum {:?} of {} changes",
        times[times.len() / 2],
        times[times.len() - 1],
        times.len()
    );
    Ok(())
}

fn serve(holder: &Arc<StateHolder>) -> AnyResult<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let incoming = task::block_on(async { TcpIncoming::bind(any) })?.with_nodelay(Some(true));
    let address = incoming.local_addr()?;
    let feed = FeedService::new(Arc::clone(holder)).into_server();
    let service = InterceptedService::new(feed, AccessToken::new(TOKEN).checker());
    let server = Server::builder().add_service(service);
    task::spawn(async move { server.serve_with_incoming(incoming).await });
    Ok(address)
}

fn follow(source: SocketAddr) -> Arc<StateHolder> {
    let holder = Arc::new(StateHolder::new());
    let watcher = FeedWatcher::new(
        "e1",
        Arc::clone(&holder),
        SourcePlan::new("e1", vec![source]),
        AccessToken::new(TOKEN),
        TimeSource::Runtime,
    );
    task::spawn(watcher.run());
    holder
}
