//! Exhaustive breadth-first exploration of a bounded specification.

use std::{
    collections::HashMap,
    fmt::{self, Debug},
    hash::{Hash, Hasher},
};

use pathfinding::prelude::{bfs, bfs_reach};

/// A bounded specification: its states, steps and invariants.
pub trait Model {
    /// One state; interchangeable parts are in a canonical order.
    type State: Clone + Eq + Ord + Hash + Debug;
    /// Label of a step in a trace.
    type Step: Copy + Debug;

    /// Name of the specification and of its broken rule, if any.
    fn name(&self) -> String;
    /// Readable bound of the exploration.
    fn bound(&self) -> String;
    /// Initial state.
    fn start(&self) -> Self::State;
    /// Every step that is possible in a state, with the state after it.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// Invariant that a state violates.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
    /// Whether the protocol has completed its work in a state.
    fn is_complete(&self, state: &Self::State) -> bool;
    /// Whether completion must be reachable from every state instead of only from the initial state.
    fn must_stay_completable(&self) -> bool;
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Report {
    /// Name of the specification and of its broken rule.
    pub name: String,
    /// Readable bound of the exploration.
    pub bound: String,
    /// States explored.
    pub states: usize,
    /// Steps from the initial state to the farthest state, or to the violation.
    pub depth: usize,
    /// Violated invariant.
    pub violated: Option<&'static str>,
    /// Shortest trace to the violation, one step a line.
    pub trace: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = self.violated.unwrap_or("holds");
        writeln!(
            f,
            "name={} states={} depth={} bound=\"{}\" verdict=\"{verdict}\"",
            self.name, self.states, self.depth, self.bound
        )?;
        self.trace.iter().enumerate().try_for_each(|(i, line)| writeln!(f, "  {:2}. {line}", i + 1))
    }
}

/// A state with its distance from the initial state; the distance is not compared or hashed.
#[derive(Clone)]
struct Node<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Invariant that a complete state is reachable.
pub const COMPLETABLE: &str = "a step can complete";

/// Explores every state within the bound, or up to the first violation.
pub fn explore<M: Model>(model: &M) -> Report {
    let start = Node { state: model.start(), depth: 0 };
    let successors = |node: &Node<M::State>| {
        let depth = node.depth + 1;
        model.steps(&node.state).into_iter().map(move |(_, state)| Node { state, depth })
    };
    let (mut states, mut depth, mut complete) = (0, 0, false);
    let mut violated = None;
    let mut all = Vec::new();
    for node in bfs_reach(start, successors) {
        states += 1;
        depth = node.depth;
        complete |= model.is_complete(&node.state);
        violated = model.violation(&node.state);
        if violated.is_some() {
            break;
        }
        if model.must_stay_completable() {
            all.push(node.state);
        }
    }
    let mut trace = Vec::new();
    if violated.is_some() {
        trace = shortest_trace(model, |state| model.violation(state).is_some());
    } else if !complete {
        violated = Some(COMPLETABLE);
    } else if model.must_stay_completable()
        && let Some(stuck) = first_stuck(model, &all)
    {
        violated = Some(COMPLETABLE);
        trace = shortest_trace(model, |state| *state == stuck);
        depth = trace.len();
    }
    Report { name: model.name(), bound: model.bound(), states, depth, violated, trace }
}

/// First state, in breadth-first order, from which no complete state is reachable.
fn first_stuck<M: Model>(model: &M, all: &[M::State]) -> Option<M::State> {
    let index: HashMap<&M::State, usize> = all.iter().enumerate().map(|(i, s)| (s, i)).collect();
    let mut predecessors = vec![Vec::new(); all.len()];
    for (i, state) in all.iter().enumerate() {
        for (_, after) in model.steps(state) {
            predecessors[index[&after]].push(i as u32);
        }
    }
    let mut pending: Vec<usize> = (0..all.len()).filter(|i| model.is_complete(&all[*i])).collect();
    let mut can_complete = vec![false; all.len()];
    pending.iter().for_each(|i| can_complete[*i] = true);
    while let Some(i) = pending.pop() {
        for b in &predecessors[i] {
            let b = *b as usize;
            if !std::mem::replace(&mut can_complete[b], true) {
                pending.push(b);
            }
        }
    }
    can_complete.iter().position(|can| !can).map(|i| all[i].clone())
}

fn shortest_trace<M: Model>(model: &M, is_target: impl Fn(&M::State) -> bool) -> Vec<String> {
    let next =
        |s: &M::State| model.steps(s).into_iter().map(|(_, state)| state).collect::<Vec<_>>();
    let path = bfs(&model.start(), next, is_target).unwrap_or_default();
    let label = |pair: &[M::State]| {
        let step = model.steps(&pair[0]).into_iter().find(|(_, state)| *state == pair[1]);
        step.map(|(step, _)| format!("{step:?}")).unwrap_or_default()
    };
    path.windows(2).map(label).collect()
}
