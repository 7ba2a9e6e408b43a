// Package script holds scripted scenarios that drive the real commands, for
// each promise and each failure. The scripts are under testdata, in the small
// language of testscript.
package script
