//! Sessions of members at simulated coordinators: the order of requests, and the records that the members write.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::effects::{serve_effects, Publisher};
use cluster_member::member::{Member, MemberConfig, MembershipEnd};
use cluster_member::record::Recorder;
use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, Effect, EffectResponse, MemberList, Operation, Peer, Request,
    Response, SCHEMA_VERSION,
};
use coordination::{
    ClusterView, CommandRejection, FencingToken, HeldLease, LeaseClient, LeaseHolder, LeaseId, LeaseView,
    SessionId, Timing,
};
use support::{assert_pinned, simulate_coordinator};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Timeout of each step of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn member(name: &str, address: SocketAddr, coordinator: SocketAddr, record: &Path) -> Member {
    let timing = Timing::default();
    let config = MemberConfig {
        installation: "north".to_owned(),
        name: name.to_owned(),
        zone: "z1".to_owned(),
        address: address.to_string(),
        replicas: BTreeMap::from([(1, coordinator)]),
        local_address: None,
        timing,
        eligible_leases: vec![LeaseId::fleet("list")],
        seed: 7,
    };
    Member::new(config, LeaseClient::new(timing), Recorder::append_to(record).unwrap())
}

/// Returns a view in which session 5 holds the lease "list" with token 7.
fn view() -> ClusterView {
    let holder = Some(LeaseHolder { session: SessionId(5), token: FencingToken(7) });
    ClusterView {
        revision: 9,
        leases: vec![LeaseView { lease: LeaseId::fleet("list"), minimum_token: FencingToken(6), holder }],
    }
}

/// Waits until the condition holds; panics with its description after the timeout.
async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, polling).await.unwrap_or_else(|_| panic!("timed out: {description}"));
}

/// Returns the lines of a file of records, with a placeholder for each time.
fn records(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap();
    let line = |line: &str| {
        let (time, rest) = line.strip_prefix("{\"t\":").unwrap().split_once(',').unwrap();
        assert!(time.parse::<u64>().is_ok(), "{line}");
        format!("{{\"t\":TIME,{rest}\n")
    };
    text.lines().map(line).collect()
}

/// Returns the coordinator's response to a request of the lease holder. The member list contains one other member.
fn respond_to_holder(request: &Request, other: &Peer) -> Response {
    match &request.operation {
        Operation::OpenSession { .. } => {
            Response::SessionOpened { session: SessionId(5), incarnation: 2, view: view() }
        }
        Operation::RenewSession { known_members: Some(0), .. } => Response::SessionRenewed {
            view: None,
            members: Some(MemberList { revision: 4, members: vec![other.clone()] }),
        },
        Operation::RenewSession { .. } => Response::SessionRenewed { view: None, members: None },
        _ => Response::Done,
    }
}

/// Returns the coordinator's response to a request of the receiver.
fn respond_to_receiver(request: &Request) -> Response {
    match &request.operation {
        Operation::OpenSession { .. } => {
            Response::SessionOpened { session: SessionId(8), incarnation: 1, view: view() }
        }
        Operation::RenewSession { .. } => Response::SessionRenewed { view: None, members: None },
        _ => Response::Done,
    }
}

/// Publishes an effect and checks the receiver's response.
async fn publish_one_effect(holder: &Member) {
    let responses: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
    let received = responses.clone();
    let on_response = move |response: &[u8]| received.borrow_mut().push(response.to_vec());
    let lease = LeaseId::fleet("list");
    let mut publisher = Publisher::with_response_handler(holder, lease, FencingToken(7), on_response);
    assert_eq!((publisher.publish(b"one".to_vec()), publisher.token()), (1, FencingToken(7)));
    wait_until("response of the receiver", || !responses.borrow().is_empty()).await;
    assert_eq!(*responses.borrow(), [b"seen one".to_vec()]);
}

/// Checks that the receiver rejects an effect with a stale token, an effect of an unknown lease, and a client of
/// another kind.
async fn check_rejections(receiver: SocketAddr) {
    let identity = ClientIdentity::LeaseHolder { name: "late".to_owned(), incarnation: 1 };
    let hello = ClientHello { schema_version: SCHEMA_VERSION, installation: "north".to_owned(), identity };
    let (mut connection, name) = Connection::connect(receiver, None, &hello).await.unwrap();
    assert_eq!(name, "receiver");
    let mut texts = Vec::new();
    for (lease, token) in [("list", 5), ("other", 5)] {
        let (lease, token) = (LeaseId::fleet(lease), FencingToken(token));
        let effect = Effect { lease: lease.clone(), token, sequence: 3, body: Vec::new() };
        connection.send(&effect).await.unwrap();
        match connection.receive().await.unwrap() {
            EffectResponse::Rejected(rejection) => texts.push(rejection.to_string()),
            EffectResponse::Accepted(_) => panic!("{lease} with token {} was accepted", token.0),
        }
    }
    assert_eq!(texts, ["the term has ended: the minimum token is 7", "the lease is unknown to the receiver"]);
    let operator = ClientHello { identity: ClientIdentity::Operator, ..hello };
    let error = Connection::connect(receiver, None, &operator).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "handshake rejected: the server does not accept clients of this kind at this address"
    );
}

/// Checks the operations that the lease holder requested and their order, without further renewals.
fn check_operations(mut operations: Vec<Operation>) {
    assert!(
        matches!(&operations[0], Operation::OpenSession { name, zone, .. } if name == "holder" && zone == "z1")
    );
    assert_eq!(
        operations[1],
        Operation::RenewSession { session: SessionId(5), known_view: 9, known_members: Some(0) }
    );
    operations.retain(|operation| !matches!(operation, Operation::RenewSession { .. }));
    assert_eq!(
        operations[1..],
        [
            Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(FencingToken(7)) },
            Operation::CloseSession { session: SessionId(5) }
        ]
    );
}

#[tokio::test]
async fn a_lease_holder_publishes_and_a_receiver_checks_tokens() {
    let folder = tempfile::tempdir().unwrap();
    let (holder_file, receiver_file) = (folder.path().join("holder"), folder.path().join("receiver"));
    let (coordinator, coordinator_address) = listen().await;
    let (receiver_coordinator, receiver_coordinator_address) = listen().await;
    let (effects, effects_address) = listen().await;
    let requested: Rc<RefCell<Vec<Operation>>> = Rc::default();
    let requests = requested.clone();
    let test = async {
        let (name, zone) = ("receiver".to_owned(), "z1".to_owned());
        let other = Peer { name, incarnation: 1, zone, address: effects_address.to_string() };
        spawn_local(simulate_coordinator(coordinator, move |request: &Request| {
            requests.borrow_mut().push(request.operation.clone());
            Some(respond_to_holder(request, &other))
        }));
        spawn_local(simulate_coordinator(receiver_coordinator, |request| Some(respond_to_receiver(request))));
        let receiver = member("receiver", effects_address, receiver_coordinator_address, &receiver_file);
        let holder = member("holder", coordinator_address, coordinator_address, &holder_file);
        let running =
            [holder.clone(), receiver.clone()].map(|member| spawn_local(async move { member.run().await }));
        spawn_local(serve_effects(receiver.clone(), effects, |effect| [b"seen ", &effect.body[..]].concat()));
        wait_until("member list of the holder", || !holder.members().is_empty()).await;
        wait_until("session of the receiver", || records(&receiver_file).contains("session")).await;
        let list = LeaseId::fleet("list");
        assert_eq!(holder.held_leases(), [HeldLease { lease: list.clone(), token: FencingToken(7) }]);
        assert!(holder.holds_lease(&list, FencingToken(7)) && receiver.held_leases().is_empty());

        publish_one_effect(&holder).await;
        check_rejections(effects_address).await;

        holder.release_lease(list, FencingToken(7));
        let released = |operation: &Operation| matches!(operation, Operation::ReleaseLease { .. });
        wait_until("release of the term", || requested.borrow().iter().any(released)).await;
        holder.leave();
        receiver.leave();
        for run in running {
            assert_eq!(timeout(TEST_TIMEOUT, run).await.unwrap().unwrap(), MembershipEnd::Left);
        }
    };
    timeout(TEST_TIMEOUT, LocalSet::new().run_until(test)).await.unwrap();
    check_operations(requested.take());
    let text = format!("holder\n{}receiver\n{}", records(&holder_file), records(&receiver_file));
    assert_pinned("session_records", &text);
}

/// A membership ends if the coordinator rejects the session or no replica is configured.
#[tokio::test]
async fn a_membership_ends_when_the_coordinator_rejects_it() {
    let folder = tempfile::tempdir().unwrap();
    for (reason, end) in [
        (CommandRejection::Superseded { incarnation: 9 }, MembershipEnd::Superseded { incarnation: 9 }),
        (
            CommandRejection::LimitExceeded("sessions".to_owned()),
            MembershipEnd::Rejected(CommandRejection::LimitExceeded("sessions".to_owned())),
        ),
    ] {
        let (coordinator, address) = listen().await;
        let member = member("d1", address, address, &folder.path().join("records"));
        let test = async {
            spawn_local(simulate_coordinator(coordinator, move |_| Some(Response::Rejected(reason.clone()))));
            member.run().await
        };
        assert_eq!(timeout(TEST_TIMEOUT, LocalSet::new().run_until(test)).await.unwrap(), end);
    }
    let (_, address) = listen().await;
    let mut config = member("d1", address, address, &folder.path().join("records")).config().clone();
    config.replicas.clear();
    let member = Member::new(config, LeaseClient::new(Timing::default()), Recorder::default());
    assert_eq!(member.run().await, MembershipEnd::NoReplicas);
}

/// Texts of the errors of calls, which operators read on the console.
#[tokio::test]
async fn errors_of_calls_name_the_cause() {
    let call = |respond: fn(&Request) -> Option<Response>, milliseconds: u64| async move {
        let (coordinator, address) = listen().await;
        let mut client =
            CoordinatorClient::new("north", ClientIdentity::Operator, BTreeMap::from([(1, address)]), None);
        let deadline = Instant::now() + Duration::from_millis(milliseconds);
        let test = async {
            spawn_local(simulate_coordinator(coordinator, respond));
            client.call(&Operation::Status, deadline).await.map_err(|error| error.to_string())
        };
        LocalSet::new().run_until(test).await
    };
    assert_eq!(call(|_| Some(Response::Done), 2_000).await, Ok(Response::Done));
    let rejected = Response::Rejected(CommandRejection::NoSuchSession);
    assert_eq!(
        call(|_| Some(Response::Rejected(CommandRejection::NoSuchSession)), 2_000).await,
        Ok(rejected)
    );
    let not_leading = |_: &Request| Some(Response::NotLeader { leader: None, address: None });
    assert_eq!(call(not_leading, 100).await, Err("no replica leads".to_owned()));
    assert_eq!(call(|_| Some(Response::Busy), 100).await, Err("the leader is busy".to_owned()));
    assert_eq!(call(|_| None, 100).await, Err("replica 1: no response".to_owned()));
    assert_eq!(
        call(|_| None, 0).await,
        Err("the deadline had passed before a replica was called".to_owned())
    );

    let (listener, address) = listen().await;
    drop(listener);
    let mut unreachable =
        CoordinatorClient::new("north", ClientIdentity::Operator, BTreeMap::from([(3, address)]), None);
    let deadline = Instant::now() + Duration::from_millis(100);
    let error = unreachable.call(&Operation::Status, deadline).await.unwrap_err().to_string();
    assert_eq!(error, "replica 3: Connection refused (os error 111)");
}

/// A call follows a leader hint to a replica that is not configured, and later calls go to the same leader.
#[tokio::test]
async fn a_call_follows_a_hint_to_an_unconfigured_leader() {
    let (first, first_address) = listen().await;
    let (second, second_address) = listen().await;
    let test = async {
        spawn_local(simulate_coordinator(first, move |_| {
            Some(Response::NotLeader { leader: Some(7), address: Some(second_address.to_string()) })
        }));
        spawn_local(simulate_coordinator(second, |_| Some(Response::Done)));
        let identity = ClientIdentity::Member { name: "d1".to_owned() };
        let mut client =
            CoordinatorClient::new("north", identity, BTreeMap::from([(1, first_address)]), None);
        let deadline = Instant::now() + TEST_TIMEOUT;
        assert_eq!(client.call(&Operation::Status, deadline).await.unwrap(), Response::Done);
        assert_eq!(client.call(&Operation::Status, deadline).await.unwrap(), Response::Done);
    };
    LocalSet::new().run_until(test).await;
}
