// Package script tests the commands of the project end to end. Each script under
// testdata, written for testscript, starts nodes and fakes as processes on
// loopback addresses, and checks what a guarantee or a failure looks like to
// callers and operators.
package script
