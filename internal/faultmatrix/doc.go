// Package faultmatrix injects every fault at every step of a request, and pairs of
// faults, into the core packages, which run against in-memory fakes under a virtual
// clock. An observer verifies the service's ten guarantees in every cell from what
// crosses the cores' interfaces; it reads none of their counters. The matrix is in the
// package's tests, whose run generates docs/FAULT-MATRIX.md.
package faultmatrix
