//! Tests of the operator tool against stand-ins of the store and of VMs.

mod documents;
mod evacuation;
mod keys;
mod pages;
mod support;
mod vms;
