// Package intaketest tests the processes of the commands entry and serve against
// uncontrolled clients: many connections that send large bodies or headers, and
// mostly stop short of the end. It starts the program on loopback addresses with
// the repository's stand-ins. The tests check memory, descriptors and that an
// ordinary request is answered; they check no times.
package intaketest
