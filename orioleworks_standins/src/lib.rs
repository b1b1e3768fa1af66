//! Stand-ins with faults that tests inject, a load generator, and the driver of a local deployment.
//!
//! See `docs/design.md`, sections 9, 10 and 14.

pub mod announce;
pub mod capacity_control;
pub mod capacity_daemons;
pub mod capacity_election;
pub mod capacity_entry;
pub mod capacity_fakes;
pub mod capacity_fit;
pub mod capacity_protocol;
pub mod capacity_rollout;
pub mod client;
pub mod deployment;
pub mod engine;
pub mod engine_stream;
pub mod engine_weights;
pub mod failpoints;
pub mod fault;
pub mod host;
pub mod infrastructure;
pub mod judge;
pub mod layout;
pub mod load;
pub mod load_report;
pub mod measure;
pub mod measure_figures;
pub mod measure_policy;
pub mod measure_workload;
pub mod ports;
pub mod process;
pub mod provenance;
pub mod relay;
pub mod scenario;
pub mod scenario_clients;
pub mod service;
pub mod settings_files;
pub mod table;
pub mod trainer;
pub mod trainer_ledger;
pub mod weights;
