//! Tests of runs, delivery, weights and peers with in-memory fakes.

mod delivery;
mod fakes;
mod hedging;
mod peers;
mod trainer;
mod weights;
