// Package faultmatrix brings about every fault at every step of a request, and pairs of
// faults, over the cores with small fakes at their interfaces and a virtual clock. An
// observer that reads none of the code's own counters judges the ten promises of the
// brief in every cell. The matrix is in the package's tests; docs/FAULT-MATRIX.md is
// generated from their run.
package faultmatrix
