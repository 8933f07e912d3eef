//! Tests of counts, collectors and the begin of runs.

mod begin;
mod count;
mod order;
mod reporter;
