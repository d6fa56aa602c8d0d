//! Runs the scenario files; docs/design/replicated-log.md describes their format.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use quorum::event::{AnswerOutcome, Event};
use quorum::ids;
use support::cluster::SimulatedCluster;

struct ScenarioRun {
    cluster: SimulatedCluster,
    names: BTreeMap<String, ids::ReplicaId>,
    requests: BTreeMap<String, ids::RequestId>,
}

impl ScenarioRun {
    fn new(replicas: u64, seed: u64) -> Self {
        let mut cluster = SimulatedCluster::new(replicas, seed, None);
        cluster.bootstrap();
        for id in cluster.ids() {
            cluster.start(id);
        }
        cluster.run_for(Duration::from_secs(3)).unwrap();
        Self {
            cluster,
            names: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Returns the replica that the first word names, and stores it under the name after `as`.
    fn replica(&mut self, words: &[&str]) -> ids::ReplicaId {
        let leader = self.cluster.leader();
        let mut followers = self.cluster.ids();
        followers.retain(|id| Some(*id) != leader && self.cluster.is_active(*id));
        let id = match words[0] {
            "leader" => leader.expect("a leader"),
            "follower" => followers[0],
            name => self.names[name],
        };
        if let ["as", name] = words[1..] {
            self.names.insert(name.to_string(), id);
        }
        id
    }

    fn when(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["run", time] => {
                let time = time.strip_suffix("ms").expect("milliseconds");
                let time = Duration::from_millis(time.parse().unwrap());
                self.cluster.run_for(time).unwrap();
            }
            ["submit", name, "to", rest @ ..] => {
                let id = self.replica(rest);
                let request = self.cluster.propose(id, name.as_bytes()).unwrap();
                self.requests.insert((*name).to_string(), request);
            }
            ["read", name, "from", rest @ ..] => {
                let id = self.replica(rest);
                let request = self.cluster.read(id).unwrap();
                self.requests.insert((*name).to_string(), request);
            }
            ["kill", "all"] => self.for_all(SimulatedCluster::crash),
            ["start", "all"] => self.for_all(SimulatedCluster::start),
            ["kill", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.crash(id);
            }
            ["start", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.start(id);
            }
            ["lose-disk", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.lose_disk(id);
            }
            ["fail-disk", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.handle(id, Event::StorageFailed).unwrap();
            }
            ["cut", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.isolate(id);
            }
            ["hand-over", rest @ ..] => {
                let id = self.replica(rest);
                self.cluster.handle(id, Event::TransferLeadership).unwrap();
            }
            ["heal"] => self.cluster.heal(),
            other => panic!("unknown step {other:?}"),
        }
    }

    fn for_all(&mut self, step: fn(&mut SimulatedCluster, ids::ReplicaId)) {
        for id in self.cluster.ids() {
            step(&mut self.cluster, id);
        }
    }

    fn then(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        let observed = match words.as_slice() {
            ["answer", name] => self.answer(name),
            ["role", rest @ ..] => {
                let id = self.replica(rest);
                let role = self.cluster.role(id);
                role.map_or("down".to_string(), |role| role.to_string())
            }
            ["state", rest @ ..] => {
                let id = self.replica(rest);
                self.state(id)
            }
            ["replicas", "with", "the", "leader's", "state"] => {
                let leader = self.cluster.leader().expect("a leader");
                let state = self.state(leader);
                let ids = self.cluster.ids();
                let same = ids.into_iter().filter(|id| self.state(*id) == state);
                same.count().to_string()
            }
            ["leaders", "with", "a", "lease"] => {
                let now = self.cluster.now;
                let nodes = self.cluster.nodes.values();
                let machines = nodes.filter_map(|node| node.machine.as_ref());
                let leased = machines.filter(|machine| machine.has_lease(now));
                leased.count().to_string()
            }
            other => panic!("unknown question {other:?}"),
        };
        format!("{line}: {observed}\n")
    }

    fn answer(&self, name: &str) -> String {
        let outcome = self.cluster.outcomes.get(&self.requests[name]);
        match outcome {
            None => "none".to_string(),
            Some(AnswerOutcome::Committed { .. }) => "committed".to_string(),
            Some(AnswerOutcome::Confirmed) => "confirmed".to_string(),
            Some(AnswerOutcome::NotLeader { .. }) => "not leader".to_string(),
            Some(AnswerOutcome::Unknown) => "unknown".to_string(),
        }
    }

    fn state(&self, id: ids::ReplicaId) -> String {
        let commands = &self.cluster.nodes[&id].application.commands;
        let names: Vec<_> = commands
            .iter()
            .map(|c| String::from_utf8_lossy(c))
            .collect();
        names.join(" ")
    }
}

#[test]
fn scenarios_produce_the_expected_results() {
    datadriven::walk("tests/scenarios", |file| {
        let mut run = None;
        file.run(|case| match case.directive.as_str() {
            "given" => {
                let number = |name: &str| case.args[name][0].parse().unwrap();
                run = Some(ScenarioRun::new(number("replicas"), number("seed")));
                String::new()
            }
            "when" => {
                let run = run.as_mut().expect("given comes first");
                case.input.lines().for_each(|line| run.when(line));
                String::new()
            }
            "then" => {
                let run = run.as_mut().expect("given comes first");
                let observed: Vec<_> = case.input.lines().map(|line| run.then(line)).collect();
                observed.concat()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}
